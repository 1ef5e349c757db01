// The table service's JSON protocol as text: the bodies of requests and the meaning of answers. No sockets.
// The point that matters is what an error says about effect; the mapping stands in answerError.
#pragma once

#include <LibNet/HttpMessages.h>
#include <LibSource/Ports.h>

#include <string>
#include <vector>

namespace Sagecrank::TableProtocol {

enum class Access : std::uint8_t { Read, Write };

std::string encodeGet(const std::string &table, const RowKey &key);
std::string encodePut(const std::string &table, const ConditionalPut &put);
std::string encodeTransaction(const std::string &table, const std::vector<ConditionalPut> &puts);
std::string encodeQuery(const std::string &table, const QueryRequest &request);
std::string encodeDelete(const std::string &table, const RowKey &key);

Result<std::optional<Row>> parseGetResponse(const HttpResponse &response);
Result<std::vector<Row>> parseQueryResponse(const HttpResponse &response);
Result<void> parseWriteResponse(const HttpResponse &response);
// `count` is the number of puts that were sent.
Result<TransactionResult> parseTransactionResponse(const HttpResponse &response, std::size_t count);

} // namespace Sagecrank::TableProtocol

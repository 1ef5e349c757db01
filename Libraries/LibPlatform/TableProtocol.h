// Encodes requests to the table service as JSON and decodes its responses, without I/O. Errors tell whether a
// write may have taken effect; see errorFromResponse() for the mapping.
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
// `count` is the number of puts in the transaction.
Result<TransactionResult> parseTransactionResponse(const HttpResponse &response, std::size_t count);

} // namespace Sagecrank::TableProtocol

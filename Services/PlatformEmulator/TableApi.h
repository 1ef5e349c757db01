// The table's JSON protocol: the subset of DynamoDB's API that the system uses. Parses a request into an
// Operation, which responds in the protocol's JSON.
#pragma once

#include <PlatformEmulator/Operation.h>
#include <PlatformEmulator/TableStore.h>

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace Sagecrank {

class TableApi
{
public:
    // `target` is the X-Amz-Target header. An invalid request becomes a read that responds with the
    // protocol's error, such as ValidationException.
    Operation parseRequest(std::string_view target, std::string_view body);

    static HttpResponse errorResponse(std::string_view type, std::string_view message, unsigned status = 400);

private:
    friend class TableRequestParser;

    struct CompletedTransaction
    {
        std::string body;
        HttpResponse response;
    };

    TableStore &table(const std::string &name) { return this->tables[name]; }
    HttpResponse applyOnce(const std::string &token, const std::string &body,
                           const std::function<HttpResponse()> &apply);

    std::map<std::string, TableStore> tables;
    // Applied transactions by their client request token. A repeated token gets the recorded response and
    // writes nothing. The oldest entries are evicted.
    std::map<std::string, CompletedTransaction> completedTransactions;
    std::deque<std::string> completionOrder;
};

} // namespace Sagecrank

// The table's protocol as the system relies on it: conditional writes, atomic transactions, and transactions
// made idempotent by a client request token.
#include <PlatformEmulator/TableApi.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

HttpResponse send(TableApi &api, std::string_view operation, std::string_view body)
{
    return api.parseRequest("DynamoDB_20120810." + std::string(operation), body).apply();
}

bool contains(const HttpResponse &response, std::string_view text)
{
    return response.body.find(text) != std::string::npos;
}

constexpr const char *putHead = R"({"TableName":"t","Item":{"pk":{"S":"head"},"sk":{"S":"head"},
    "version":{"N":"7"},"owner":{"S":"a"}}})";

struct ConditionCase
{
    const char *condition;
    bool holds; // For the item that putHead writes.
};

const ConditionCase conditionCases[] = {
    {"attribute_exists(pk)", true},
    {"attribute_not_exists(pk)", false},
    {"attribute_not_exists(missing)", true},
    {"version = :seven", true},
    {"version = :sevenAgain", true},
    {"version < :seven", false},
    {"version >= :seven", true},
    {"version <> :seven", false},
    {"owner = :seven", false},
    {"missing = :seven", false},
    {"#v = :seven", true},
    {"attribute_not_exists(pk) OR version = :seven", true},
    {"attribute_not_exists(pk) AND version = :seven", false},
    {"attribute_not_exists(pk) OR owner = :a AND version = :seven", true},
    {"(attribute_not_exists(pk) OR owner = :a) AND version < :seven", false},
    {"NOT version < :seven", true},
};

const char *const badConditions[] = {
    "version",
    "version =",
    "version = :unknown",
    "version == :seven",
    "(version = :seven",
    "version = :seven)",
    "attribute_exists(",
    "#unknown = :seven",
    "AND",
    "version = :seven OR",
};

struct RequestCase
{
    const char *operation;
    const char *body;
    unsigned status;
    const char *answer; // A substring of the body.
};

const RequestCase requestCases[] = {
    {"GetItem", R"({"TableName":"t","Key":{"pk":{"S":"head"},"sk":{"S":"head"}}})", 200,
     R"("version":{"N":"7"})"},
    {"GetItem", R"({"TableName":"t","Key":{"pk":{"S":"none"},"sk":{"S":"none"}}})", 200, "{}"},
    {"GetItem", R"({"TableName":"other","Key":{"pk":{"S":"head"},"sk":{"S":"head"}}})", 200, "{}"},
    {"GetItem", R"({"TableName":"t","Key":{"pk":{"S":"head"}}})", 400, "ValidationException"},
    {"GetItem", R"({"TableName":"t","Key":{"pk":{"N":"1"},"sk":{"S":"head"}}})", 400, "ValidationException"},
    {"GetItem", R"({"Key":{"pk":{"S":"head"},"sk":{"S":"head"}}})", 400, "ValidationException"},
    {"GetItem", "no json", 400, "SerializationException"},
    {"GetItem", "[]", 400, "SerializationException"},
    {"UpdateItem", R"({"TableName":"t"})", 400, "UnknownOperationException"},
    {"PutItem", R"({"TableName":"t","Item":{"pk":{"S":"x"},"sk":{"S":"x"},"v":{"X":"1"}}})", 400,
     "ValidationException"},
    {"DeleteItem", R"j({"TableName":"t","Key":{"pk":{"S":"head"},"sk":{"S":"head"}},
        "ConditionExpression":"attribute_not_exists(pk)"})j",
     400, "ConditionalCheckFailedException"},
    {"Query", R"({"TableName":"t","KeyConditionExpression":"pk = :p",
        "ExpressionAttributeValues":{":p":{"S":"head"}}})",
     200, R"("Count":1)"},
    {"Query", R"({"TableName":"t","KeyConditionExpression":"sk = :p",
        "ExpressionAttributeValues":{":p":{"S":"head"}}})",
     400, "ValidationException"},
    {"BatchGetItem", R"({"RequestItems":{"t":{"Keys":[{"pk":{"S":"head"},"sk":{"S":"head"}},
        {"pk":{"S":"none"},"sk":{"S":"none"}}]}}})",
     200, R"({"Responses":{"t":[{"owner")"},
    {"BatchGetItem", R"({"RequestItems":{}})", 400, "ValidationException"},
    {"TransactWriteItems", R"({"TransactItems":[]})", 400, "ValidationException"},
    {"TransactWriteItems",
     R"({"TransactItems":[{"Put":{"TableName":"t","Item":{"pk":{"S":"a"},"sk":{"S":"a"}}}},
        {"Put":{"TableName":"t","Item":{"pk":{"S":"a"},"sk":{"S":"a"}}}}]})",
     400, "ValidationException"},
};

constexpr const char *conditionalClaim = R"j({"ClientRequestToken":"token-1","TransactItems":[
    {"Put":{"TableName":"t","Item":{"pk":{"S":"claim#k"},"sk":{"S":"claim"},"attempt":{"S":"a1"}},
        "ConditionExpression":"attribute_not_exists(pk)"}},
    {"ConditionCheck":{"TableName":"t","Key":{"pk":{"S":"head"},"sk":{"S":"head"}},
        "ConditionExpression":"version = :v","ExpressionAttributeValues":{":v":{"N":"7"}}}}]})j";

constexpr const char *getClaim = R"({"TableName":"t","Key":{"pk":{"S":"claim#k"},"sk":{"S":"claim"}}})";

} // namespace

TABLE_TEST(tableApi, conditions, conditionCases)
{
    TableApi api;
    send(api, "PutItem", putHead);
    const std::string body =
        R"({"TableName":"t","Item":{"pk":{"S":"head"},"sk":{"S":"head"},"new":{"S":"yes"}},
        "ExpressionAttributeNames":{"#v":"version"},
        "ExpressionAttributeValues":{":seven":{"N":"7"},":sevenAgain":{"N":"7.0"},":a":{"S":"a"}},
        "ConditionExpression":")"
        + std::string(row.condition) + "\"}";
    const HttpResponse response = send(api, "PutItem", body);
    cr_assert(response.status == (row.holds ? 200 : 400), "%s", row.condition);
    const HttpResponse stored = send(api, "GetItem", requestCases[0].body);
    cr_assert(contains(stored, R"("new")") == row.holds, "the item changes only if the condition holds");
}

Test(tableApi, invalidConditionsAreRejected)
{
    for (const char *condition : badConditions) {
        TableApi api;
        const std::string body = R"({"TableName":"t","Item":{"pk":{"S":"x"},"sk":{"S":"x"}},
            "ExpressionAttributeValues":{":seven":{"N":"7"}},"ConditionExpression":")"
                                 + std::string(condition) + "\"}";
        cr_assert(contains(send(api, "PutItem", body), "ValidationException"), "%s", condition);
    }
    std::string nested(10'000, '(');
    TableApi api;
    const std::string body =
        R"({"TableName":"t","Item":{"pk":{"S":"x"},"sk":{"S":"x"}},"ConditionExpression":")" + nested + "\"}";
    cr_assert(contains(send(api, "PutItem", body), "ValidationException"));
}

TABLE_TEST(tableApi, requests, requestCases)
{
    TableApi api;
    send(api, "PutItem", putHead);
    const HttpResponse response = send(api, row.operation, row.body);
    cr_assert(response.status == row.status, "%s gave %u %s", row.body, response.status,
              response.body.c_str());
    cr_assert(contains(response, row.answer), "%s", response.body.c_str());
}

Test(tableApi, transactionIsAtomic)
{
    TableApi api;
    HttpResponse response = send(api, "TransactWriteItems", conditionalClaim);
    cr_assert(contains(response, "TransactionCanceledException"));
    cr_assert(contains(response, R"([{"Code":"None"},{"Code":"ConditionalCheckFailed")"), "%s",
              response.body.c_str());
    cr_assert(send(api, "GetItem", getClaim).body == "{}",
              "the put whose condition held is not applied either");

    send(api, "PutItem", putHead);
    cr_assert(send(api, "TransactWriteItems", conditionalClaim).status == 200);
    cr_assert(contains(send(api, "GetItem", getClaim), "a1"));
}

// A caller whose response was lost retries the same transaction. Without the token the retry would fail the
// condition on its own first write, and the caller would conclude that another caller had won.
Test(tableApi, repeatedTokenReturnsTheSameResponse)
{
    TableApi api;
    send(api, "PutItem", putHead);
    cr_assert(send(api, "TransactWriteItems", conditionalClaim).status == 200);
    cr_assert(send(api, "TransactWriteItems", conditionalClaim).status == 200);
    std::string other = conditionalClaim;
    other.replace(other.find("a1"), 2, "a2");
    cr_assert(contains(send(api, "TransactWriteItems", other), "IdempotentParameterMismatchException"));
}

Test(tableApi, failedConditionReturnsTheExistingItemOnRequest)
{
    TableApi api;
    send(api, "PutItem", putHead);
    const HttpResponse response = send(api, "PutItem", R"j({"TableName":"t",
        "Item":{"pk":{"S":"head"},"sk":{"S":"head"}},"ConditionExpression":"attribute_not_exists(pk)",
        "ReturnValuesOnConditionCheckFailure":"ALL_OLD"})j");
    cr_assert(contains(response, R"("owner":{"S":"a"})"), "%s", response.body.c_str());
}

Test(tableApi, queryReturnsPagesInDescendingOrder)
{
    TableApi api;
    for (const char *sort : {"3", "1", "2", "4"})
        send(api, "PutItem",
             R"({"TableName":"t","Item":{"pk":{"S":"history"},"sk":{"S":")" + std::string(sort) + R"("}}})");
    const std::string query = R"({"TableName":"t","KeyConditionExpression":"pk = :p","Limit":2,
        "ScanIndexForward":false,"ExpressionAttributeValues":{":p":{"S":"history"}})";
    const HttpResponse first = send(api, "Query", query + "}");
    cr_assert(contains(first, R"("sk":{"S":"4"}},{"pk":{"S":"history"},"sk":{"S":"3"}}])"), "%s",
              first.body.c_str());
    cr_assert(contains(first, R"("LastEvaluatedKey":{"pk":{"S":"history"},"sk":{"S":"3"}})"));
    const HttpResponse second =
        send(api, "Query", query + R"(,"ExclusiveStartKey":{"pk":{"S":"history"},"sk":{"S":"3"}}})");
    cr_assert(contains(second, R"("sk":{"S":"2"}},{"pk":{"S":"history"},"sk":{"S":"1"}}])"), "%s",
              second.body.c_str());
    cr_assert(!contains(second, "LastEvaluatedKey"));
}

// Tests how responses of the table service are decoded. The kind of an error decides whether a claim counts
// as free and whether an operator is told "refused", so every mapping is tested.
#include <LibPlatform/TableProtocol.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct ResponseRow
{
    const char *name;
    std::uint32_t status;
    std::string body;
    std::optional<ErrorKind> write; // Not set if the write took effect.
    std::optional<ErrorKind> read;
};

std::string errorBody(const std::string &type)
{
    return R"({"__type":"com.amazonaws.dynamodb.v20120810#)" + type + R"(","message":"m"})";
}

using Kind = ErrorKind;

const ResponseRow responseRows[] = {
    {"done", 200, "{}", std::nullopt, std::nullopt},
    {"done, with more", 200, R"({"ConsumedCapacity":{}})", std::nullopt, std::nullopt},
    {"no body", 200, "", Kind::Timeout, Kind::InvalidInput},
    {"a body that is no JSON", 200, "<html>", Kind::Timeout, Kind::InvalidInput},
    {"a part of a body", 200, R"({"ConsumedCapacity":{)", Kind::Timeout, Kind::InvalidInput},
    {"another success", 202, "{}", Kind::Timeout, Kind::Unavailable},
    {"condition failed", 400, errorBody("ConditionalCheckFailedException"), Kind::Conflict, Kind::Conflict},
    {"type without a prefix", 400, R"({"__type":"ConditionalCheckFailedException"})", Kind::Conflict,
     Kind::Conflict},
    {"throttled", 400, errorBody("ProvisionedThroughputExceededException"), Kind::Refused, Kind::Refused},
    {"throttled otherwise", 400, errorBody("ThrottlingException"), Kind::Refused, Kind::Refused},
    {"another transaction", 400, errorBody("TransactionConflictException"), Kind::Refused, Kind::Refused},
    {"an earlier copy runs", 400, errorBody("TransactionInProgressException"), Kind::Timeout, Kind::Timeout},
    {"bad request", 400, errorBody("ValidationException"), Kind::InvalidInput, Kind::InvalidInput},
    {"bad request without a body", 400, "", Kind::InvalidInput, Kind::InvalidInput},
    {"server fault", 500, errorBody("InternalServerError"), Kind::Timeout, Kind::Unavailable},
    {"something in front", 503, "service unavailable", Kind::Timeout, Kind::Unavailable},
    {"gateway gave up", 504, "", Kind::Timeout, Kind::Unavailable},
};

struct CancelRow
{
    const char *name;
    std::string reasons;
    std::optional<TransactionResult> outcomes; // Not set if the whole transaction is rejected.
};

using Outcome = PutOutcome;

const CancelRow cancelRows[] = {
    {"second failed", R"([{"Code":"None"},{"Code":"ConditionalCheckFailed","Message":"m"}])",
     TransactionResult{Outcome::NotApplied, Outcome::ConditionFailed}},
    {"both failed", R"([{"Code":"ConditionalCheckFailed"},{"Code":"ConditionalCheckFailed"}])",
     TransactionResult{Outcome::ConditionFailed, Outcome::ConditionFailed}},
    {"busy with others", R"([{"Code":"TransactionConflict"},{"Code":"None"}])",
     TransactionResult{Outcome::NotApplied, Outcome::NotApplied}},
    {"too few reasons", R"([{"Code":"None"}])", std::nullopt},
    {"no list", R"("none")", std::nullopt},
};

ConditionalPut samplePut()
{
    return {{{"claim#k", "claim"}, {{"attempt", std::string("a1")}, {"deadline", std::uint64_t{7}}}},
            {true, {{{"attempt", std::string("a1")}, {"claim_state", std::string("claimed")}}}}};
}

} // namespace

TABLE_TEST(tableProtocol, errorsTellWhetherWriteTookEffect, responseRows)
{
    const HttpResponse response{row.status, {}, row.body};
    const Result<void> write = TableProtocol::parseWriteResponse(response);
    cr_assert(write.has_value() == !row.write, "%s", row.name);
    if (row.write)
        cr_assert(write.error().kind == *row.write, "%s: %s", row.name, write.error().describe().c_str());
    const auto transaction = TableProtocol::parseTransactionResponse(response, 2);
    cr_assert(transaction.has_value() == !row.write, "%s", row.name);
    if (row.write)
        cr_assert(transaction.error().kind == *row.write, "%s", row.name);
    const auto read = TableProtocol::parseGetResponse(response);
    cr_assert(read.has_value() == !row.read, "%s", row.name);
    if (row.read)
        cr_assert(read.error().kind == *row.read, "%s", row.name);
}

TABLE_TEST(tableProtocol, parsesCancellationReasons, cancelRows)
{
    const std::string body =
        R"({"__type":"x#TransactionCanceledException","CancellationReasons":)" + row.reasons + "}";
    const auto result = TableProtocol::parseTransactionResponse({400, {}, body}, 2);
    cr_assert(result.has_value() == row.outcomes.has_value(), "%s", row.name);
    if (row.outcomes)
        cr_assert(result.value() == *row.outcomes, "%s", row.name);
    else
        cr_assert(result.error().kind == ErrorKind::Refused, "%s", row.name);
}

// Claims and the head depend on the condition, so its text is compared verbatim.
Test(tableProtocol, encodesCompleteConditions)
{
    const std::string body = TableProtocol::encodePut("t", samplePut());
    const std::string expected =
        R"j("ConditionExpression":"attribute_not_exists(pk) OR (#c0 = :c0 AND #c1 = :c1)",)j"
        R"j("ExpressionAttributeNames":{"#c0":"attempt","#c1":"claim_state"},)j"
        R"j("ExpressionAttributeValues":{":c0":{"S":"a1"},":c1":{"S":"claimed"}})j";
    cr_assert(body.find(expected) != std::string::npos, "%s", body.c_str());
    ConditionalPut either = samplePut();
    either.condition = {false, {{{"attempt", std::string("a")}}, {{"attempt", std::string("b")}}}};
    const std::string two = TableProtocol::encodePut("t", either);
    cr_assert(two.find(R"j("(#c0 = :c0) OR (#c1 = :c1)")j") != std::string::npos, "%s", two.c_str());
    either.condition = {};
    cr_assert(TableProtocol::encodePut("t", either).find("Condition") == std::string::npos);
}

Test(tableProtocol, decodesRows)
{
    const HttpResponse response{
        200,
        {},
        R"({"Item":{"pk":{"S":"claim#k"},"sk":{"S":"claim"},"attempt":{"S":"a1"},"deadline":{"N":"7"},"x":{"BOOL":true}}})"};
    const std::optional<Row> read = TableProtocol::parseGetResponse(response).value();
    cr_assert(*read == samplePut().row);
    cr_assert(!TableProtocol::parseGetResponse({200, {}, "{}"}).value());
    cr_assert(!TableProtocol::parseGetResponse({200, {}, R"({"Item":{"attempt":{"S":"a"}}})"}));
    cr_assert(!TableProtocol::parseQueryResponse({200, {}, "{}"}));
}

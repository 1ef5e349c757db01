// Implements the table service's protocol; see TableProtocol.h.
#include <LibPlatform/TableProtocol.h>

#include <boost/json.hpp>

#include <charconv>

namespace json = boost::json;

namespace Sagecrank::TableProtocol {

namespace {

constexpr std::uint32_t statusOk = 200;
constexpr std::uint32_t statusBadRequest = 400;

std::string_view view(const json::string &text)
{
    return {text.data(), text.size()};
}

json::object encodeAttribute(const Attribute &attribute)
{
    if (const auto *text = std::get_if<std::string>(&attribute))
        return {{"S", *text}};
    return {{"N", std::to_string(std::get<std::uint64_t>(attribute))}};
}

json::object encodeKey(const RowKey &key)
{
    return {{"pk", {{"S", key.partition}}}, {"sk", {{"S", key.sort}}}};
}

json::object encodeRow(const Row &row)
{
    json::object item = encodeKey(row.key);
    for (const auto &[name, value] : row.attributes)
        item[name] = encodeAttribute(value);
    return item;
}

// Uses placeholders for attribute names, because the service reserves many common words.
void encodeCondition(json::object &body, const PutCondition &condition)
{
    std::string expression = condition.absent ? "attribute_not_exists(pk)" : "";
    json::object names;
    json::object values;
    for (const Attributes &wanted : condition.anyOf) {
        std::string all;
        for (const auto &[name, value] : wanted) {
            const std::string index = std::to_string(names.size());
            names["#c" + index] = name;
            values[":c" + index] = encodeAttribute(value);
            all += (all.empty() ? "#c" : " AND #c") + index + " = :c" + index;
        }
        expression += (expression.empty() ? "(" : " OR (") + all + ")";
    }
    if (!expression.empty())
        body["ConditionExpression"] = expression;
    if (!names.empty()) {
        body["ExpressionAttributeNames"] = names;
        body["ExpressionAttributeValues"] = values;
    }
}

json::object encodeConditionalPut(const std::string &table, const ConditionalPut &put)
{
    json::object body{{"TableName", table}, {"Item", encodeRow(put.row)}};
    encodeCondition(body, put.condition);
    return body;
}

Error malformed(const std::string &message)
{
    return makeError(ErrorKind::InvalidInput, "read table response", "table", message);
}

Result<json::object> parseObject(const std::string &text)
{
    json::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object())
        return malformed("expected a JSON object");
    return std::move(value.as_object());
}

// Skips attributes of types that this system does not write, so foreign columns are harmless.
std::optional<Attribute> decodeAttribute(const json::value &value)
{
    if (!value.is_object())
        return std::nullopt;
    if (const json::value *text = value.as_object().if_contains("S"); text && text->is_string())
        return Attribute(std::string(view(text->as_string())));
    const json::value *number = value.as_object().if_contains("N");
    if (number == nullptr || !number->is_string())
        return std::nullopt;
    const std::string_view digits = view(number->as_string());
    std::uint64_t parsed = 0;
    const auto end = std::from_chars(digits.data(), digits.data() + digits.size(), parsed);
    if (end.ec != std::errc() || end.ptr != digits.data() + digits.size())
        return std::nullopt;
    return Attribute(parsed);
}

Result<Row> decodeRow(const json::value &value)
{
    if (!value.is_object())
        return malformed("an item is not an object");
    Row row;
    for (const auto &entry : value.as_object()) {
        std::optional<Attribute> attribute = decodeAttribute(entry.value());
        if (attribute)
            row.attributes.emplace(std::string(entry.key()), std::move(*attribute));
    }
    const std::string *partition = row.text("pk");
    const std::string *sort = row.text("sk");
    if (partition == nullptr || sort == nullptr)
        return malformed("an item has no key");
    row.key = {*partition, *sort};
    row.attributes.erase("pk");
    row.attributes.erase("sk");
    return row;
}

std::string errorType(const json::object &body)
{
    const json::value *type = body.if_contains("__type");
    if (type == nullptr || !type->is_string())
        return {};
    const std::string whole(view(type->as_string()));
    const std::size_t hash = whole.rfind('#');
    return hash == std::string::npos ? whole : whole.substr(hash + 1);
}

ErrorKind kindOf(const std::string &type)
{
    if (type == "ConditionalCheckFailedException")
        return ErrorKind::Conflict;
    if (type == "ProvisionedThroughputExceededException" || type == "ThrottlingException"
        || type == "RequestLimitExceeded" || type == "TransactionConflictException")
        return ErrorKind::Refused;
    if (type == "TransactionInProgressException")
        return ErrorKind::Timeout; // An earlier copy of the transaction may still take effect.
    return ErrorKind::InvalidInput;
}

// A write may have taken effect despite a status of 500 or above, because the service or a proxy had already
// accepted the request. Treating it as having no effect would make a claimed key look free, or report a
// publish as refused although it was accepted.
Error errorFromResponse(const HttpResponse &response, Access access)
{
    constexpr auto step = "use table";
    if (response.status != statusBadRequest) {
        const ErrorKind kind = access == Access::Write ? ErrorKind::Timeout : ErrorKind::Unavailable;
        return makeError(kind, step, "table", "answered status " + std::to_string(response.status));
    }
    const Result<json::object> body = parseObject(response.body);
    const std::string type = body ? errorType(body.assume_value()) : std::string();
    return makeError(kindOf(type), step, "table", type.empty() ? "answered status 400" : type);
}

PutOutcome outcomeOf(const json::value &reason)
{
    const json::value *code = reason.is_object() ? reason.as_object().if_contains("Code") : nullptr;
    if (code != nullptr && code->is_string() && view(code->as_string()) == "ConditionalCheckFailed")
        return PutOutcome::ConditionFailed;
    return PutOutcome::NotApplied;
}

// The table states a JSON object. Another body is that of something in front of it, which does not tell
// whether the write took effect.
Result<void> checkIsFromTable(const HttpResponse &response)
{
    const Result<json::object> body = parseObject(response.body);
    if (!body)
        return makeError(ErrorKind::Timeout, "use table", "table", body.error().message);
    return success();
}

} // namespace

std::string encodeGet(const std::string &table, const RowKey &key)
{
    return json::serialize(
        json::object{{"TableName", table}, {"Key", encodeKey(key)}, {"ConsistentRead", true}});
}

std::string encodePut(const std::string &table, const ConditionalPut &put)
{
    return json::serialize(encodeConditionalPut(table, put));
}

std::string encodeTransaction(const std::string &table, const std::vector<ConditionalPut> &puts)
{
    json::array items;
    for (const ConditionalPut &put : puts)
        items.emplace_back(json::object{{"Put", encodeConditionalPut(table, put)}});
    return json::serialize(json::object{{"TransactItems", std::move(items)}});
}

std::string encodeQuery(const std::string &table, const QueryRequest &request)
{
    return json::serialize(json::object{{"TableName", table},
                                        {"KeyConditionExpression", "pk = :p"},
                                        {"ExpressionAttributeValues", {{":p", {{"S", request.partition}}}}},
                                        {"ConsistentRead", true},
                                        {"ScanIndexForward", !request.newestFirst},
                                        {"Limit", static_cast<std::int64_t>(request.limit)}});
}

std::string encodeDelete(const std::string &table, const RowKey &key)
{
    return json::serialize(json::object{{"TableName", table}, {"Key", encodeKey(key)}});
}

Result<std::optional<Row>> parseGetResponse(const HttpResponse &response)
{
    if (response.status != statusOk)
        return errorFromResponse(response, Access::Read);
    const json::object body = TRY(parseObject(response.body));
    const json::value *item = body.if_contains("Item");
    if (item == nullptr)
        return std::optional<Row>();
    return std::optional<Row>(TRY(decodeRow(*item)));
}

Result<std::vector<Row>> parseQueryResponse(const HttpResponse &response)
{
    if (response.status != statusOk)
        return errorFromResponse(response, Access::Read);
    const json::object body = TRY(parseObject(response.body));
    const json::value *items = body.if_contains("Items");
    if (items == nullptr || !items->is_array())
        return malformed("the response to a query has no items");
    std::vector<Row> rows;
    for (const json::value &item : items->as_array())
        rows.push_back(TRY(decodeRow(item)));
    return rows;
}

Result<void> parseWriteResponse(const HttpResponse &response)
{
    if (response.status != statusOk)
        return errorFromResponse(response, Access::Write);
    return checkIsFromTable(response);
}

Result<TransactionResult> parseTransactionResponse(const HttpResponse &response, std::size_t count)
{
    if (response.status == statusOk) {
        TRY_VOID(checkIsFromTable(response));
        return TransactionResult(count, PutOutcome::Applied);
    }
    const Result<json::object> body = parseObject(response.body);
    if (response.status != statusBadRequest || !body
        || errorType(body.assume_value()) != "TransactionCanceledException")
        return errorFromResponse(response, Access::Write);
    const json::value *reasons = body.assume_value().if_contains("CancellationReasons");
    if (reasons == nullptr || !reasons->is_array() || reasons->as_array().size() != count)
        return makeError(ErrorKind::Refused, "use table", "table", "cancelled without usable reasons");
    TransactionResult result;
    for (const json::value &reason : reasons->as_array())
        result.push_back(outcomeOf(reason));
    return result;
}

} // namespace Sagecrank::TableProtocol

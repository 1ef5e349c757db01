// Parses the table's JSON requests and encodes its JSON responses.
#include <PlatformEmulator/TableApi.h>

#include <boost/json.hpp>

#include <algorithm>
#include <memory>
#include <set>

namespace Sagecrank {

namespace json = boost::json;

namespace {

constexpr std::string_view targetPrefix = "DynamoDB_20120810.";
constexpr std::string_view errorPrefix = "com.amazonaws.dynamodb.v20120810#";
constexpr const char *contentType = "application/x-amz-json-1.0";
constexpr std::size_t maximumTransactionItems = 100; // DynamoDB's limit.
constexpr std::size_t maximumBatchKeys = 100;
constexpr std::size_t maximumCompletedTransactions = 100'000;

Error invalid(std::string_view what)
{
    return makeError(ErrorKind::InvalidInput, "read table request", "", std::string(what));
}

HttpResponse jsonResponse(unsigned status, const json::value &body)
{
    return makeResponse(status, contentType, json::serialize(body));
}

Result<AttributeValue> parseAttributeValue(const json::value &value)
{
    if (!value.is_object() || value.as_object().size() != 1)
        return invalid("an attribute value must be an object with one type");
    const auto &[type, content] = *value.as_object().begin();
    if (type == "BOOL" && content.is_bool())
        return AttributeValue{AttributeType::Boolean, content.as_bool() ? "true" : "false"};
    if (!content.is_string())
        return invalid("an attribute value must be a string");
    const std::string text(content.as_string());
    if (type == "S")
        return AttributeValue{AttributeType::String, text};
    if (type == "N")
        return AttributeValue{AttributeType::Number, text};
    if (type == "B")
        return AttributeValue{AttributeType::Binary, text};
    return invalid("attribute values are S, N, B or BOOL");
}

json::value attributeValueToJson(const AttributeValue &value)
{
    switch (value.type) {
    case AttributeType::String:
        return {{"S", value.text}};
    case AttributeType::Number:
        return {{"N", value.text}};
    case AttributeType::Binary:
        return {{"B", value.text}};
    case AttributeType::Boolean:
        return {{"BOOL", value.text == "true"}};
    }
    return nullptr;
}

json::object itemToJson(const Item &item)
{
    json::object object;
    for (const auto &[name, value] : item)
        object[name] = attributeValueToJson(value);
    return object;
}

Result<Item> parseItem(const json::value *value)
{
    if (value == nullptr || !value->is_object())
        return invalid("an item or key must be an object");
    Item item;
    for (const auto &[name, content] : value->as_object())
        item[std::string(name)] = TRY(parseAttributeValue(content));
    return item;
}

Result<ItemKey> parseKey(const Item &item)
{
    const auto partition = item.find("pk");
    const auto sort = item.find("sk");
    if (partition == item.end() || sort == item.end() || partition->second.type != AttributeType::String
        || sort->second.type != AttributeType::String)
        return invalid("the key attributes pk and sk must be given as strings");
    return ItemKey{partition->second.text, sort->second.text};
}

std::string stringField(const json::object &request, std::string_view name)
{
    const json::value *value = request.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

Result<ExpressionAttributes> parseExpressionAttributes(const json::object &request)
{
    ExpressionAttributes attributes;
    if (const json::value *field = request.if_contains("ExpressionAttributeNames");
        field && field->is_object()) {
        for (const auto &[name, content] : field->as_object()) {
            if (!content.is_string())
                return invalid("an attribute name must be a string");
            attributes.names[std::string(name)] = std::string(content.as_string());
        }
    }
    if (const json::value *field = request.if_contains("ExpressionAttributeValues");
        field && field->is_object()) {
        for (const auto &[name, content] : field->as_object())
            attributes.values[std::string(name)] = TRY(parseAttributeValue(content));
    }
    return attributes;
}

struct ParsedWrite
{
    std::string table;
    TableWrite write;
    bool returnExistingItem = false; // Include the item that failed the condition in the response.
};

Result<ParsedWrite> parseWrite(const json::object &request, WriteKind kind)
{
    ParsedWrite result;
    result.table = stringField(request, "TableName");
    result.write.kind = kind;
    Item item = TRY(parseItem(request.if_contains(kind == WriteKind::Put ? "Item" : "Key")));
    result.write.key = TRY(parseKey(item));
    if (kind == WriteKind::Put)
        result.write.item = std::move(item);
    const std::string expression = stringField(request, "ConditionExpression");
    if (!expression.empty())
        result.write.condition = TRY(Condition::parse(expression, TRY(parseExpressionAttributes(request))));
    if (kind == WriteKind::ConditionCheck && !result.write.condition)
        return invalid("a condition check needs a condition");
    result.returnExistingItem = stringField(request, "ReturnValuesOnConditionCheckFailure") == "ALL_OLD";
    return result;
}

json::object errorBody(std::string_view type, std::string_view message)
{
    return {{"__type", std::string(errorPrefix) + std::string(type)}, {"message", std::string(message)}};
}

struct ParsedTransaction
{
    std::vector<ParsedWrite> writes;
};

Result<ParsedTransaction> parseTransaction(const json::object &request)
{
    const json::value *entries = request.if_contains("TransactItems");
    if (entries == nullptr || !entries->is_array() || entries->as_array().empty())
        return invalid("TransactItems must be a list");
    if (entries->as_array().size() > maximumTransactionItems)
        return invalid("a transaction holds at most 100 items");
    ParsedTransaction result;
    std::set<std::pair<std::string, ItemKey>> seenKeys;
    for (const json::value &entry : entries->as_array()) {
        if (!entry.is_object() || entry.as_object().size() != 1
            || !entry.as_object().begin()->value().is_object())
            return invalid("an entry must be one of Put, Delete and ConditionCheck");
        const auto &[name, content] = *entry.as_object().begin();
        WriteKind kind = WriteKind::Put;
        if (name == "Delete")
            kind = WriteKind::Delete;
        else if (name == "ConditionCheck")
            kind = WriteKind::ConditionCheck;
        else if (name != "Put")
            return invalid("an entry must be one of Put, Delete and ConditionCheck");
        ParsedWrite write = TRY(parseWrite(content.as_object(), kind));
        if (!seenKeys.insert({write.table, write.write.key}).second)
            return invalid("a transaction may name an item only once");
        if (write.table.empty())
            return invalid("TableName is missing");
        result.writes.push_back(std::move(write));
    }
    return result;
}

// Accepts "pk = :p" alone, or with "AND sk <relation> :s", "AND begins_with(sk, :s)" or "AND sk BETWEEN :a
// AND :b".
Result<QueryRange> parseKeyCondition(const json::object &request)
{
    const ExpressionAttributes attributes = TRY(parseExpressionAttributes(request));
    std::vector<std::string> words;
    for (const char character : stringField(request, "KeyConditionExpression")) {
        const bool separator = character == ' ' || character == '(' || character == ')' || character == ',';
        if (separator)
            words.emplace_back();
        else if (words.empty())
            words.emplace_back(1, character);
        else
            words.back() += character;
    }
    std::erase(words, std::string());
    for (std::string &word : words) {
        if (const auto found = attributes.names.find(word); found != attributes.names.end())
            word = found->second;
    }
    const auto value = [&](std::size_t at) -> Result<std::string> {
        const auto found = at < words.size() ? attributes.values.find(words[at]) : attributes.values.end();
        if (found == attributes.values.end())
            return invalid("a key condition names a value that is not given");
        return found->second.text;
    };
    if (words.size() < 3 || words[0] != "pk" || words[1] != "=")
        return invalid("a key condition starts with \"pk = :value\"");
    QueryRange range;
    range.partition = TRY(value(2));
    if (words.size() == 3)
        return range;
    if (words.size() < 7 || words[3] != "AND")
        return invalid("a key condition may add one condition on sk");
    if (words[4] == "begins_with" && words[5] == "sk") {
        range.firstSort = TRY(value(6));
        range.lastSort = range.firstSort + '\xff';
    } else if (words[4] == "sk" && words[5] == ">=") {
        range.firstSort = TRY(value(6));
    } else if (words[4] == "sk" && words[5] == ">") {
        range.firstSort = TRY(value(6)) + '\0';
    } else if (words[4] == "sk" && words[5] == "<=") {
        range.lastSort = TRY(value(6));
    } else if (words[4] == "sk" && words[5] == "=") {
        range.firstSort = TRY(value(6));
        range.lastSort = range.firstSort;
    } else if (words[4] == "sk" && words[5] == "BETWEEN" && words.size() == 9) {
        range.firstSort = TRY(value(6));
        range.lastSort = TRY(value(8));
    } else {
        return invalid("a condition on sk is =, >=, >, <=, BETWEEN or begins_with");
    }
    return range;
}

Result<QueryRange> parseQuery(const json::object &request)
{
    QueryRange range = TRY(parseKeyCondition(request));
    if (const json::value *forward = request.if_contains("ScanIndexForward"); forward && forward->is_bool())
        range.ascending = forward->as_bool();
    if (const json::value *limit = request.if_contains("Limit"); limit != nullptr) {
        if (!limit->is_int64() || limit->as_int64() < 1)
            return invalid("Limit must be a positive number");
        range.limit = static_cast<std::size_t>(limit->as_int64());
    }
    if (const json::value *start = request.if_contains("ExclusiveStartKey"); start != nullptr)
        range.afterSort = TRY(parseKey(TRY(parseItem(start)))).second;
    return range;
}

HttpResponse conditionFailedResponse(const ParsedWrite &write, const Item *existing)
{
    json::object body = errorBody("ConditionalCheckFailedException", "The conditional request failed");
    if (write.returnExistingItem && existing != nullptr)
        body["Item"] = itemToJson(*existing);
    return jsonResponse(400, body);
}

Operation errorOperation(std::string_view type, std::string_view message)
{
    return Operation{false, 1, [response = TableApi::errorResponse(type, message)] { return response; }};
}

} // namespace

// Parses one request for the API's tables. Separate from TableApi so that its header does not include JSON.
class TableRequestParser
{
public:
    TableRequestParser(TableApi &api, const json::object &request)
        : api(api)
        , request(request)
    {
    }

    Result<Operation> parse(std::string_view name, std::string_view body)
    {
        if (name == "TransactWriteItems")
            return this->parseTransactWriteItems(body);
        if (name == "BatchGetItem")
            return this->parseBatchGetItem();
        TableStore &table = this->api.table(TRY(this->tableName()));
        if (name == "GetItem")
            return this->parseGetItem(table);
        if (name == "PutItem")
            return this->parseSingleWrite(table, WriteKind::Put);
        if (name == "DeleteItem")
            return this->parseSingleWrite(table, WriteKind::Delete);
        if (name == "Query")
            return this->parseQueryRequest(table);
        return makeError(ErrorKind::NotFound, "read table request", "",
                         "unknown operation " + std::string(name));
    }

private:
    Result<std::string> tableName() const
    {
        std::string name = stringField(this->request, "TableName");
        if (name.empty())
            return invalid("TableName is missing");
        return name;
    }

    Result<Operation> parseGetItem(TableStore &table) const
    {
        const ItemKey key = TRY(parseKey(TRY(parseItem(this->request.if_contains("Key")))));
        return Operation{false, 1, [&table, key] {
                             json::object answer;
                             if (const Item *item = table.find(key))
                                 answer["Item"] = itemToJson(*item);
                             return jsonResponse(200, answer);
                         }};
    }

    Result<Operation> parseSingleWrite(TableStore &table, WriteKind kind) const
    {
        const auto shared = std::make_shared<ParsedWrite>(TRY(parseWrite(this->request, kind)));
        return Operation{true, 1, [&table, shared] {
                             if (table.write(shared->write) == WriteOutcome::Applied)
                                 return jsonResponse(200, json::object());
                             return conditionFailedResponse(*shared, table.find(shared->write.key));
                         }};
    }

    Result<Operation> parseQueryRequest(TableStore &table) const
    {
        const QueryRange range = TRY(parseQuery(this->request));
        const auto units =
            static_cast<std::uint32_t>(std::max<std::size_t>(1, table.query(range).items.size()));
        return Operation{false, units, [&table, range] {
                             const QueryPage page = table.query(range);
                             json::array items;
                             for (const Item &item : page.items)
                                 items.push_back(itemToJson(item));
                             json::object answer{{"Count", page.items.size()}};
                             answer["Items"] = std::move(items);
                             if (page.hasMore) {
                                 const Item &last = page.items.back();
                                 answer["LastEvaluatedKey"] = {{"pk", attributeValueToJson(last.at("pk"))},
                                                               {"sk", attributeValueToJson(last.at("sk"))}};
                             }
                             return jsonResponse(200, answer);
                         }};
    }

    Result<Operation> parseBatchGetItem() const
    {
        std::vector<std::pair<std::string, ItemKey>> keys;
        const json::value *tables = this->request.if_contains("RequestItems");
        if (tables == nullptr || !tables->is_object())
            return invalid("RequestItems must be an object");
        for (const auto &[name, content] : tables->as_object()) {
            const json::value *list = content.is_object() ? content.as_object().if_contains("Keys") : nullptr;
            if (list == nullptr || !list->is_array())
                return invalid("Keys must be a list");
            for (const json::value &key : list->as_array())
                keys.emplace_back(std::string(name), TRY(parseKey(TRY(parseItem(&key)))));
        }
        if (keys.empty() || keys.size() > maximumBatchKeys)
            return invalid("a batch names 1 to 100 keys");
        return Operation{false, static_cast<std::uint32_t>(keys.size()), [tableApi = &this->api, keys] {
                             json::object found;
                             for (const auto &[name, key] : keys) {
                                 json::value &list = found.emplace(name, json::array()).first->value();
                                 if (const Item *item = tableApi->table(name).find(key))
                                     list.as_array().push_back(itemToJson(*item));
                             }
                             json::object answer;
                             answer["Responses"] = std::move(found);
                             answer["UnprocessedKeys"] = json::object();
                             return jsonResponse(200, answer);
                         }};
    }

    Result<Operation> parseTransactWriteItems(std::string_view body) const
    {
        const auto shared = std::make_shared<ParsedTransaction>(TRY(parseTransaction(this->request)));
        const auto units = static_cast<std::uint32_t>(shared->writes.size());
        const std::string &name = shared->writes.front().table;
        for (const ParsedWrite &write : shared->writes) {
            if (write.table != name)
                return invalid("a transaction spans one table here");
        }
        const std::string token = stringField(this->request, "ClientRequestToken");
        return Operation{true, units, [api = &this->api, shared, token, body = std::string(body)] {
                             const auto apply = [&] { return transact(*api, *shared); };
                             return token.empty() ? apply() : api->applyOnce(token, body, apply);
                         }};
    }

    static HttpResponse transact(TableApi &api, const ParsedTransaction &transaction)
    {
        TableStore &table = api.table(transaction.writes.front().table);
        std::vector<TableWrite> writes;
        for (const ParsedWrite &write : transaction.writes)
            writes.push_back(write.write);
        const std::vector<WriteOutcome> outcomes = table.transact(writes);
        if (std::find(outcomes.begin(), outcomes.end(), WriteOutcome::ConditionFailed) == outcomes.end())
            return jsonResponse(200, json::object());
        json::array reasons;
        for (std::size_t at = 0; at < outcomes.size(); ++at) {
            if (outcomes[at] == WriteOutcome::Applied) {
                reasons.emplace_back(json::object{{"Code", "None"}});
                continue;
            }
            json::object reason{{"Code", "ConditionalCheckFailed"},
                                {"Message", "The conditional request failed"}};
            const Item *existing = table.find(writes[at].key);
            if (transaction.writes[at].returnExistingItem && existing != nullptr)
                reason["Item"] = itemToJson(*existing);
            reasons.push_back(std::move(reason));
        }
        json::object body = errorBody("TransactionCanceledException", "Transaction cancelled");
        body["CancellationReasons"] = std::move(reasons);
        return jsonResponse(400, body);
    }

    TableApi &api;
    const json::object &request;
};

Operation TableApi::parseRequest(std::string_view target, std::string_view body)
{
    if (!target.starts_with(targetPrefix))
        return errorOperation("UnknownOperationException", "X-Amz-Target is missing or unknown");
    json::error_code error;
    const json::value request = json::parse(json::string_view(body.data(), body.size()), error);
    if (error || !request.is_object())
        return errorOperation("SerializationException", "the body is no JSON object");
    Result<Operation> operation =
        TableRequestParser(*this, request.as_object()).parse(target.substr(targetPrefix.size()), body);
    if (operation)
        return std::move(operation).assume_value();
    if (operation.error().kind == ErrorKind::NotFound)
        return errorOperation("UnknownOperationException", operation.error().message);
    return errorOperation("ValidationException", operation.error().message);
}

HttpResponse TableApi::errorResponse(std::string_view type, std::string_view message, unsigned status)
{
    return jsonResponse(status, errorBody(type, message));
}

HttpResponse TableApi::applyOnce(const std::string &token, const std::string &body,
                                 const std::function<HttpResponse()> &apply)
{
    const auto found = this->completedTransactions.find(token);
    if (found != this->completedTransactions.end()) {
        if (found->second.body != body)
            return errorResponse("IdempotentParameterMismatchException",
                                 "the token was used with another request");
        return found->second.response;
    }
    HttpResponse response = apply();
    if (response.status != 200)
        return response;
    this->completedTransactions[token] = CompletedTransaction{body, response};
    this->completionOrder.push_back(token);
    if (this->completionOrder.size() > maximumCompletedTransactions) {
        this->completedTransactions.erase(this->completionOrder.front());
        this->completionOrder.pop_front();
    }
    return response;
}

} // namespace Sagecrank

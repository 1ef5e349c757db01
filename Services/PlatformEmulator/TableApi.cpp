// Reads the table's JSON requests and writes its JSON answers.
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
constexpr std::size_t maximumTransaction = 100; // The platform's own limit.
constexpr std::size_t maximumBatch = 100;
constexpr std::size_t rememberedTokens = 100'000;

Error invalid(std::string_view what)
{
    return makeError(ErrorKind::InvalidInput, "read table request", "", std::string(what));
}

HttpResponse jsonResponse(unsigned status, const json::value &body)
{
    return makeResponse(status, contentType, json::serialize(body));
}

Result<AttributeValue> readValue(const json::value &value)
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

json::value writeValue(const AttributeValue &value)
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

json::object writeItem(const Item &item)
{
    json::object object;
    for (const auto &[name, value] : item)
        object[name] = writeValue(value);
    return object;
}

Result<Item> readItem(const json::value *value)
{
    if (value == nullptr || !value->is_object())
        return invalid("an item or key must be an object");
    Item item;
    for (const auto &[name, content] : value->as_object())
        item[std::string(name)] = TRY(readValue(content));
    return item;
}

Result<ItemKey> keyOf(const Item &item)
{
    const auto partition = item.find("pk");
    const auto sort = item.find("sk");
    if (partition == item.end() || sort == item.end() || partition->second.type != AttributeType::String
        || sort->second.type != AttributeType::String)
        return invalid("the key attributes pk and sk must be given as strings");
    return ItemKey{partition->second.text, sort->second.text};
}

std::string text(const json::object &request, std::string_view name)
{
    const json::value *value = request.if_contains(json::string_view(name.data(), name.size()));
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

Result<ExpressionNames> readNames(const json::object &request)
{
    ExpressionNames names;
    if (const json::value *given = request.if_contains("ExpressionAttributeNames");
        given && given->is_object()) {
        for (const auto &[name, content] : given->as_object()) {
            if (!content.is_string())
                return invalid("an attribute name must be a string");
            names.names[std::string(name)] = std::string(content.as_string());
        }
    }
    if (const json::value *given = request.if_contains("ExpressionAttributeValues");
        given && given->is_object()) {
        for (const auto &[name, content] : given->as_object())
            names.values[std::string(name)] = TRY(readValue(content));
    }
    return names;
}

struct ReadWrite
{
    std::string table;
    TableWrite write;
    bool returnOld = false; // Give the item that failed the condition back.
};

Result<ReadWrite> readWrite(const json::object &request, WriteKind kind)
{
    ReadWrite result;
    result.table = text(request, "TableName");
    result.write.kind = kind;
    Item item = TRY(readItem(request.if_contains(kind == WriteKind::Put ? "Item" : "Key")));
    result.write.key = TRY(keyOf(item));
    if (kind == WriteKind::Put)
        result.write.item = std::move(item);
    const std::string expression = text(request, "ConditionExpression");
    if (!expression.empty())
        result.write.condition = TRY(Condition::parse(expression, TRY(readNames(request))));
    if (kind == WriteKind::ConditionCheck && !result.write.condition)
        return invalid("a condition check needs a condition");
    result.returnOld = text(request, "ReturnValuesOnConditionCheckFailure") == "ALL_OLD";
    return result;
}

json::object errorBody(std::string_view type, std::string_view message)
{
    return {{"__type", std::string(errorPrefix) + std::string(type)}, {"message", std::string(message)}};
}

struct ReadTransaction
{
    std::vector<ReadWrite> writes;
};

Result<ReadTransaction> readTransaction(const json::object &request)
{
    const json::value *entries = request.if_contains("TransactItems");
    if (entries == nullptr || !entries->is_array() || entries->as_array().empty())
        return invalid("TransactItems must be a list");
    if (entries->as_array().size() > maximumTransaction)
        return invalid("a transaction holds at most 100 items");
    ReadTransaction result;
    std::set<std::pair<std::string, ItemKey>> touched;
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
        ReadWrite write = TRY(readWrite(content.as_object(), kind));
        if (!touched.insert({write.table, write.write.key}).second)
            return invalid("a transaction may name an item only once");
        if (write.table.empty())
            return invalid("TableName is missing");
        result.writes.push_back(std::move(write));
    }
    return result;
}

// "pk = :p" alone, or with "AND sk <relation> :s", "AND begins_with(sk, :s)" or "AND sk BETWEEN :a AND :b".
Result<QueryRange> readRange(const json::object &request)
{
    const ExpressionNames names = TRY(readNames(request));
    std::vector<std::string> words;
    for (const char character : text(request, "KeyConditionExpression")) {
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
        if (const auto found = names.names.find(word); found != names.names.end())
            word = found->second;
    }
    const auto value = [&](std::size_t at) -> Result<std::string> {
        const auto found = at < words.size() ? names.values.find(words[at]) : names.values.end();
        if (found == names.values.end())
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
        range.first = TRY(value(6));
        range.last = range.first + '\xff';
    } else if (words[4] == "sk" && words[5] == ">=") {
        range.first = TRY(value(6));
    } else if (words[4] == "sk" && words[5] == ">") {
        range.first = TRY(value(6)) + '\0';
    } else if (words[4] == "sk" && words[5] == "<=") {
        range.last = TRY(value(6));
    } else if (words[4] == "sk" && words[5] == "=") {
        range.first = TRY(value(6));
        range.last = range.first;
    } else if (words[4] == "sk" && words[5] == "BETWEEN" && words.size() == 9) {
        range.first = TRY(value(6));
        range.last = TRY(value(8));
    } else {
        return invalid("a condition on sk is =, >=, >, <=, BETWEEN or begins_with");
    }
    return range;
}

Result<QueryRange> readQuery(const json::object &request)
{
    QueryRange range = TRY(readRange(request));
    if (const json::value *forward = request.if_contains("ScanIndexForward"); forward && forward->is_bool())
        range.ascending = forward->as_bool();
    if (const json::value *limit = request.if_contains("Limit"); limit != nullptr) {
        if (!limit->is_int64() || limit->as_int64() < 1)
            return invalid("Limit must be a positive number");
        range.limit = static_cast<std::size_t>(limit->as_int64());
    }
    if (const json::value *start = request.if_contains("ExclusiveStartKey"); start != nullptr)
        range.after = TRY(keyOf(TRY(readItem(start)))).second;
    return range;
}

HttpResponse conditionFailed(const ReadWrite &write, const Item *held)
{
    json::object body = errorBody("ConditionalCheckFailedException", "The conditional request failed");
    if (write.returnOld && held != nullptr)
        body["Item"] = writeItem(*held);
    return jsonResponse(400, body);
}

Operation refusal(std::string_view type, std::string_view message)
{
    return Operation{false, 1, [response = TableApi::error(type, message)] { return response; }};
}

} // namespace

// Reads one request against the API's tables; kept apart so that the header needs no JSON.
class TableRequest
{
public:
    TableRequest(TableApi &api, const json::object &request)
        : api(api)
        , request(request)
    {
    }

    Result<Operation> read(std::string_view name, std::string_view body)
    {
        if (name == "TransactWriteItems")
            return this->transaction(body);
        if (name == "BatchGetItem")
            return this->batchGet();
        TableStore &table = this->api.table(TRY(this->tableName()));
        if (name == "GetItem")
            return this->get(table);
        if (name == "PutItem")
            return this->write(table, WriteKind::Put);
        if (name == "DeleteItem")
            return this->write(table, WriteKind::Delete);
        if (name == "Query")
            return this->query(table);
        return makeError(ErrorKind::NotFound, "read table request", "",
                         "unknown operation " + std::string(name));
    }

private:
    Result<std::string> tableName() const
    {
        std::string name = text(this->request, "TableName");
        if (name.empty())
            return invalid("TableName is missing");
        return name;
    }

    Result<Operation> get(TableStore &table) const
    {
        const ItemKey key = TRY(keyOf(TRY(readItem(this->request.if_contains("Key")))));
        return Operation{false, 1, [&table, key] {
                             json::object answer;
                             if (const Item *item = table.item(key))
                                 answer["Item"] = writeItem(*item);
                             return jsonResponse(200, answer);
                         }};
    }

    Result<Operation> write(TableStore &table, WriteKind kind) const
    {
        const auto shared = std::make_shared<ReadWrite>(TRY(readWrite(this->request, kind)));
        return Operation{true, 1, [&table, shared] {
                             if (table.write(shared->write) == WriteOutcome::Applied)
                                 return jsonResponse(200, json::object());
                             return conditionFailed(*shared, table.item(shared->write.key));
                         }};
    }

    Result<Operation> query(TableStore &table) const
    {
        const QueryRange range = TRY(readQuery(this->request));
        const auto units =
            static_cast<std::uint32_t>(std::max<std::size_t>(1, table.query(range).items.size()));
        return Operation{false, units, [&table, range] {
                             const QueryPage page = table.query(range);
                             json::array items;
                             for (const Item &item : page.items)
                                 items.push_back(writeItem(item));
                             json::object answer{{"Count", page.items.size()}};
                             answer["Items"] = std::move(items);
                             if (page.more) {
                                 const Item &last = page.items.back();
                                 answer["LastEvaluatedKey"] = {{"pk", writeValue(last.at("pk"))},
                                                               {"sk", writeValue(last.at("sk"))}};
                             }
                             return jsonResponse(200, answer);
                         }};
    }

    Result<Operation> batchGet() const
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
                keys.emplace_back(std::string(name), TRY(keyOf(TRY(readItem(&key)))));
        }
        if (keys.empty() || keys.size() > maximumBatch)
            return invalid("a batch names 1 to 100 keys");
        return Operation{false, static_cast<std::uint32_t>(keys.size()), [this_ = &this->api, keys] {
                             json::object found;
                             for (const auto &[name, key] : keys) {
                                 json::value &list = found.emplace(name, json::array()).first->value();
                                 if (const Item *item = this_->table(name).item(key))
                                     list.as_array().push_back(writeItem(*item));
                             }
                             json::object answer;
                             answer["Responses"] = std::move(found);
                             answer["UnprocessedKeys"] = json::object();
                             return jsonResponse(200, answer);
                         }};
    }

    Result<Operation> transaction(std::string_view body) const
    {
        const auto shared = std::make_shared<ReadTransaction>(TRY(readTransaction(this->request)));
        const auto units = static_cast<std::uint32_t>(shared->writes.size());
        const std::string &name = shared->writes.front().table;
        for (const ReadWrite &write : shared->writes) {
            if (write.table != name)
                return invalid("a transaction spans one table here");
        }
        const std::string token = text(this->request, "ClientRequestToken");
        return Operation{true, units, [api = &this->api, shared, token, body = std::string(body)] {
                             const auto apply = [&] { return transact(*api, *shared); };
                             return token.empty() ? apply() : api->once(token, body, apply);
                         }};
    }

    static HttpResponse transact(TableApi &api, const ReadTransaction &transaction)
    {
        TableStore &table = api.table(transaction.writes.front().table);
        std::vector<TableWrite> writes;
        for (const ReadWrite &write : transaction.writes)
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
            const Item *held = table.item(writes[at].key);
            if (transaction.writes[at].returnOld && held != nullptr)
                reason["Item"] = writeItem(*held);
            reasons.push_back(std::move(reason));
        }
        json::object body = errorBody("TransactionCanceledException", "Transaction cancelled");
        body["CancellationReasons"] = std::move(reasons);
        return jsonResponse(400, body);
    }

    TableApi &api;
    const json::object &request;
};

Operation TableApi::operation(std::string_view target, std::string_view body)
{
    if (!target.starts_with(targetPrefix))
        return refusal("UnknownOperationException", "X-Amz-Target is missing or unknown");
    json::error_code error;
    const json::value request = json::parse(json::string_view(body.data(), body.size()), error);
    if (error || !request.is_object())
        return refusal("SerializationException", "the body is no JSON object");
    Result<Operation> operation =
        TableRequest(*this, request.as_object()).read(target.substr(targetPrefix.size()), body);
    if (operation)
        return std::move(operation).assume_value();
    if (operation.error().kind == ErrorKind::NotFound)
        return refusal("UnknownOperationException", operation.error().message);
    return refusal("ValidationException", operation.error().message);
}

HttpResponse TableApi::error(std::string_view type, std::string_view message, unsigned status)
{
    return jsonResponse(status, errorBody(type, message));
}

HttpResponse TableApi::once(const std::string &token, const std::string &body,
                            const std::function<HttpResponse()> &apply)
{
    const auto found = this->tokens.find(token);
    if (found != this->tokens.end()) {
        if (found->second.body != body)
            return error("IdempotentParameterMismatchException", "the token was used with another request");
        return found->second.response;
    }
    HttpResponse response = apply();
    if (response.status != 200)
        return response;
    this->tokens[token] = Remembered{body, response};
    this->tokenOrder.push_back(token);
    if (this->tokenOrder.size() > rememberedTokens) {
        this->tokens.erase(this->tokenOrder.front());
        this->tokenOrder.pop_front();
    }
    return response;
}

} // namespace Sagecrank

// The subset of DynamoDB's condition expressions that the system uses: attribute_exists(a),
// attribute_not_exists(a), comparisons of an attribute with a value, AND, OR, NOT and parentheses.
#pragma once

#include <LibCore/Error.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Sagecrank {

enum class AttributeType { String, Number, Binary, Boolean };

struct AttributeValue
{
    AttributeType type = AttributeType::String;
    std::string text; // Numbers keep their original spelling and are compared by value.

    bool operator==(const AttributeValue &) const = default;
};

using Item = std::map<std::string, AttributeValue, std::less<>>;

struct ExpressionAttributes
{
    std::map<std::string, std::string, std::less<>> names;     // "#n" to attribute name.
    std::map<std::string, AttributeValue, std::less<>> values; // ":v" to value.
};

class Condition
{
public:
    // Fails with InvalidInput, naming the unexpected token.
    static Result<Condition> parse(std::string_view expression, const ExpressionAttributes &attributes);

    // A null item does not exist; every comparison with it is false.
    bool isSatisfiedBy(const Item *item) const { return this->predicate(item); }

private:
    using Predicate = std::function<bool(const Item *)>;
    friend class ConditionParser;
    explicit Condition(Predicate predicate)
        : predicate(std::move(predicate))
    {
    }

    Predicate predicate;
};

} // namespace Sagecrank

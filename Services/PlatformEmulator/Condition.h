// The subset of the platform's condition expressions that the system uses: attribute_exists(a),
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
    std::string text; // Numbers are kept as they were written and compared by value.

    bool operator==(const AttributeValue &) const = default;
};

using Item = std::map<std::string, AttributeValue, std::less<>>;

struct ExpressionAttributes
{
    std::map<std::string, std::string, std::less<>> names;     // "#n" to the attribute's name.
    std::map<std::string, AttributeValue, std::less<>> values; // ":v" to a value.
};

class Condition
{
public:
    // Errors: InvalidInput with the place where the expression stops making sense.
    static Result<Condition> parse(std::string_view expression, const ExpressionAttributes &attributes);

    // A null item is one that is not there; every comparison with it is false.
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

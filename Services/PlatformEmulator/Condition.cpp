// Recursive-descent parser for condition expressions: OR binds weaker than AND, AND weaker than NOT.
#include <PlatformEmulator/Condition.h>

#include <cctype>
#include <cstdlib>
#include <optional>
#include <utility>

namespace Sagecrank {

namespace {

constexpr int maximumNestingDepth =
    32; // Deeper nesting is refused, so that hostile input cannot exhaust the stack.

int compare(const AttributeValue &left, const AttributeValue &right)
{
    if (left.type == AttributeType::Number) {
        const long double a = std::strtold(left.text.c_str(), nullptr);
        const long double b = std::strtold(right.text.c_str(), nullptr);
        return a < b ? -1 : (a > b ? 1 : 0);
    }
    return left.text.compare(right.text);
}

bool relationHolds(std::string_view relation, int order)
{
    if (relation == "=")
        return order == 0;
    if (relation == "<>")
        return order != 0;
    if (relation == "<")
        return order < 0;
    if (relation == "<=")
        return order <= 0;
    if (relation == ">")
        return order > 0;
    return order >= 0;
}

bool isWordCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_' || character == '#'
           || character == ':' || character == '.';
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    for (std::size_t at = 0; at < left.size(); ++at) {
        if (std::toupper(static_cast<unsigned char>(left[at]))
            != std::toupper(static_cast<unsigned char>(right[at])))
            return false;
    }
    return true;
}

} // namespace

class ConditionParser
{
public:
    using Predicate = Condition::Predicate;

    ConditionParser(std::string_view text, const ExpressionAttributes &attributes)
        : text(text)
        , attributes(attributes)
    {
        this->advance();
    }

    Result<Condition> parse()
    {
        Predicate predicate = TRY(this->parseOr(0));
        if (!this->token.empty())
            return this->unexpectedToken();
        return Condition(std::move(predicate));
    }

private:
    Result<Predicate> parseOr(int depth)
    {
        Predicate left = TRY(this->parseAnd(depth));
        while (equalsIgnoringCase(this->token, "OR")) {
            this->advance();
            Predicate right = TRY(this->parseAnd(depth));
            left = [left, right](const Item *item) { return left(item) || right(item); };
        }
        return left;
    }

    Result<Predicate> parseAnd(int depth)
    {
        Predicate left = TRY(this->parsePredicate(depth));
        while (equalsIgnoringCase(this->token, "AND")) {
            this->advance();
            Predicate right = TRY(this->parsePredicate(depth));
            left = [left, right](const Item *item) { return left(item) && right(item); };
        }
        return left;
    }

    Result<Predicate> parsePredicate(int depth)
    {
        if (depth > maximumNestingDepth)
            return this->unexpectedToken();
        if (equalsIgnoringCase(this->token, "NOT")) {
            this->advance();
            Predicate inner = TRY(this->parsePredicate(depth + 1));
            return Predicate([inner](const Item *item) { return !inner(item); });
        }
        if (this->token == "(") {
            this->advance();
            Predicate inner = TRY(this->parseOr(depth + 1));
            TRY_VOID(this->expect(")"));
            return inner;
        }
        if (this->token == "attribute_exists" || this->token == "attribute_not_exists")
            return this->parseExistence();
        return this->parseComparison();
    }

    Result<Predicate> parseExistence()
    {
        const bool wanted = this->token == "attribute_exists";
        this->advance();
        TRY_VOID(this->expect("("));
        std::string name = TRY(this->parseAttributeName());
        TRY_VOID(this->expect(")"));
        return Predicate([wanted, name = std::move(name)](const Item *item) {
            const bool exists = item != nullptr && item->find(name) != item->end();
            return exists == wanted;
        });
    }

    Result<Predicate> parseComparison()
    {
        std::string name = TRY(this->parseAttributeName());
        const std::string relation(this->token);
        if (relation != "=" && relation != "<>" && relation != "<" && relation != "<=" && relation != ">"
            && relation != ">=")
            return this->unexpectedToken();
        this->advance();
        const auto found = this->attributes.values.find(this->token);
        if (found == this->attributes.values.end())
            return this->unexpectedToken();
        this->advance();
        return Predicate([name = std::move(name), relation, value = found->second](const Item *item) {
            if (item == nullptr)
                return false;
            const auto existing = item->find(name);
            if (existing == item->end() || existing->second.type != value.type)
                return false;
            return relationHolds(relation, compare(existing->second, value));
        });
    }

    Result<std::string> parseAttributeName()
    {
        if (this->token.empty() || !isWordCharacter(this->token.front()) || this->token.front() == ':')
            return this->unexpectedToken();
        std::string name(this->token);
        if (name.front() == '#') {
            const auto found = this->attributes.names.find(name);
            if (found == this->attributes.names.end())
                return this->unexpectedToken();
            name = found->second;
        }
        this->advance();
        return name;
    }

    Result<void> expect(std::string_view wanted)
    {
        if (this->token != wanted)
            return this->unexpectedToken();
        this->advance();
        return success();
    }

    Error unexpectedToken() const
    {
        return makeError(ErrorKind::InvalidInput, "read condition", std::string(this->text),
                         this->token.empty() ? "the expression ends too early"
                                             : "unexpected \"" + std::string(this->token) + "\"");
    }

    void advance()
    {
        while (this->position < this->text.size()
               && std::isspace(static_cast<unsigned char>(this->text[this->position])) != 0)
            ++this->position;
        std::size_t end = this->position;
        if (end < this->text.size() && isWordCharacter(this->text[end])) {
            while (end < this->text.size() && isWordCharacter(this->text[end]))
                ++end;
        } else if (end < this->text.size()) {
            const std::string_view two = this->text.substr(end, 2);
            end += two == "<>" || two == "<=" || two == ">=" ? 2 : 1;
        }
        this->token = this->text.substr(this->position, end - this->position);
        this->position = end;
    }

    std::string_view text;
    const ExpressionAttributes &attributes;
    std::size_t position = 0;
    std::string_view token; // Empty at the end.
};

Result<Condition> Condition::parse(std::string_view expression, const ExpressionAttributes &attributes)
{
    return ConditionParser(expression, attributes).parse();
}

} // namespace Sagecrank

// Parses condition expressions by recursive descent: or-terms of and-terms of predicates.
#include <PlatformEmulator/Condition.h>

#include <cctype>
#include <cstdlib>
#include <optional>
#include <utility>

namespace Sagecrank {

namespace {

constexpr int maximumDepth = 32; // Deeper nesting is refused, so that hostile input cannot exhaust the stack.

int compare(const AttributeValue &left, const AttributeValue &right)
{
    if (left.type == AttributeType::Number) {
        const long double a = std::strtold(left.text.c_str(), nullptr);
        const long double b = std::strtold(right.text.c_str(), nullptr);
        return a < b ? -1 : (a > b ? 1 : 0);
    }
    return left.text.compare(right.text);
}

bool satisfies(std::string_view relation, int order)
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

bool sameWord(std::string_view left, std::string_view right)
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
    using Test = Condition::Test;

    ConditionParser(std::string_view text, const ExpressionNames &names)
        : text(text)
        , names(names)
    {
        this->advance();
    }

    Result<Condition> whole()
    {
        Test test = TRY(this->anyOf(0));
        if (!this->token.empty())
            return this->unexpected();
        return Condition(std::move(test));
    }

private:
    Result<Test> anyOf(int depth)
    {
        Test left = TRY(this->allOf(depth));
        while (sameWord(this->token, "OR")) {
            this->advance();
            Test right = TRY(this->allOf(depth));
            left = [left, right](const Item *item) { return left(item) || right(item); };
        }
        return left;
    }

    Result<Test> allOf(int depth)
    {
        Test left = TRY(this->predicate(depth));
        while (sameWord(this->token, "AND")) {
            this->advance();
            Test right = TRY(this->predicate(depth));
            left = [left, right](const Item *item) { return left(item) && right(item); };
        }
        return left;
    }

    Result<Test> predicate(int depth)
    {
        if (depth > maximumDepth)
            return this->unexpected();
        if (sameWord(this->token, "NOT")) {
            this->advance();
            Test inner = TRY(this->predicate(depth + 1));
            return Test([inner](const Item *item) { return !inner(item); });
        }
        if (this->token == "(") {
            this->advance();
            Test inner = TRY(this->anyOf(depth + 1));
            TRY_VOID(this->expect(")"));
            return inner;
        }
        if (this->token == "attribute_exists" || this->token == "attribute_not_exists")
            return this->existence();
        return this->comparison();
    }

    Result<Test> existence()
    {
        const bool wanted = this->token == "attribute_exists";
        this->advance();
        TRY_VOID(this->expect("("));
        std::string name = TRY(this->attributeName());
        TRY_VOID(this->expect(")"));
        return Test([wanted, name = std::move(name)](const Item *item) {
            const bool exists = item != nullptr && item->find(name) != item->end();
            return exists == wanted;
        });
    }

    Result<Test> comparison()
    {
        std::string name = TRY(this->attributeName());
        const std::string relation(this->token);
        if (relation != "=" && relation != "<>" && relation != "<" && relation != "<=" && relation != ">"
            && relation != ">=")
            return this->unexpected();
        this->advance();
        const auto found = this->names.values.find(this->token);
        if (found == this->names.values.end())
            return this->unexpected();
        this->advance();
        return Test([name = std::move(name), relation, value = found->second](const Item *item) {
            if (item == nullptr)
                return false;
            const auto held = item->find(name);
            if (held == item->end() || held->second.type != value.type)
                return false;
            return satisfies(relation, compare(held->second, value));
        });
    }

    Result<std::string> attributeName()
    {
        if (this->token.empty() || !isWordCharacter(this->token.front()) || this->token.front() == ':')
            return this->unexpected();
        std::string name(this->token);
        if (name.front() == '#') {
            const auto found = this->names.names.find(name);
            if (found == this->names.names.end())
                return this->unexpected();
            name = found->second;
        }
        this->advance();
        return name;
    }

    Result<void> expect(std::string_view wanted)
    {
        if (this->token != wanted)
            return this->unexpected();
        this->advance();
        return success();
    }

    Error unexpected() const
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
    const ExpressionNames &names;
    std::size_t position = 0;
    std::string_view token; // Empty at the end.
};

Result<Condition> Condition::parse(std::string_view expression, const ExpressionNames &names)
{
    return ConditionParser(expression, names).whole();
}

} // namespace Sagecrank

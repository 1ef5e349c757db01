// When the limit that an upstream names begins, changes and ends.
#include <LibDecide/NamedLimit.h>

#include <Support/TableTest.h>

#include <vector>

using namespace Sagecrank;

namespace {

struct Answer
{
    int sentAt; // Milliseconds.
    int answeredAt;
    LimitStatement statement;
};

struct Row
{
    const char *what;
    std::vector<Answer> answers;
    std::optional<double> limit;
};

const LimitStatement none{};
const LimitStatement ten{LimitStatementKind::Named, 10};
const LimitStatement five{LimitStatementKind::Named, 5};
const LimitStatement malformed{LimitStatementKind::Malformed, 0};

const Row rows[] = {
    {"an upstream that names none", {{0, 10, none}}, std::nullopt},
    {"a limit", {{0, 10, ten}}, 10},
    {"another limit", {{0, 10, ten}, {20, 30, five}}, 5},
    {"a limit that ends", {{0, 10, ten}, {20, 30, none}}, std::nullopt},
    {"a call sent before the limit was named, answered after it", {{0, 10, ten}, {5, 30, none}}, 10},
    {"a call sent before the limit was named again", {{0, 10, ten}, {20, 40, ten}, {30, 50, none}}, 10},
    {"no number", {{0, 10, ten}, {20, 30, malformed}}, 10},
    {"a limit that ends and begins again", {{0, 10, ten}, {20, 30, none}, {40, 50, five}}, 5},
};

} // namespace

TABLE_TEST(namedLimit, followsAnswers, rows)
{
    const Instant start{};
    NamedLimit limit;
    for (const Answer &answer : row.answers) {
        const std::optional<double> before = limit.callsPerSecond();
        const bool changed = limit.recordAnswer(start + Milliseconds(answer.sentAt),
                                                start + Milliseconds(answer.answeredAt), answer.statement);
        cr_assert(changed == (limit.callsPerSecond() != before), "%s", row.what);
    }
    cr_assert(limit.callsPerSecond() == row.limit, "%s", row.what);
}

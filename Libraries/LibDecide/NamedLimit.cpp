// Follows the limit that an upstream names.
#include <LibDecide/NamedLimit.h>

namespace Sagecrank {

// Answers of calls that ran side by side may overtake each other. Only the answer of a call that was sent
// after the limit was last named shows that the upstream names it no longer.
bool NamedLimit::recordAnswer(Instant sentAt, Instant now, const LimitStatement &statement)
{
    const std::optional<double> before = this->limit;
    switch (statement.kind) {
    case LimitStatementKind::Named:
        this->limit = statement.callsPerSecond;
        this->namedAt = now;
        break;
    case LimitStatementKind::None:
        if (this->limit && sentAt > this->namedAt)
            this->limit.reset();
        break;
    case LimitStatementKind::Malformed:
        break;
    }
    return this->limit != before;
}

} // namespace Sagecrank

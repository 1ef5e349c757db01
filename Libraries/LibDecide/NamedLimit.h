// The limit on calls per second that an upstream names in its answers, for as long as it names one. Uses no
// sockets or clocks.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <optional>

namespace Sagecrank {

enum class LimitStatementKind : std::uint8_t {
    None,      // The answer names no limit.
    Named,     // It names one.
    Malformed, // What it names is not a number of calls.
};

inline constexpr EnumNames<LimitStatementKind, 3> limitStatementKindNames{{
    {LimitStatementKind::None, "none"},
    {LimitStatementKind::Named, "named"},
    {LimitStatementKind::Malformed, "malformed"},
}};

// What one answer of an upstream says about its limit.
struct LimitStatement
{
    LimitStatementKind kind = LimitStatementKind::None;
    double callsPerSecond = 0; // Of a named limit, from the calls of all nodes together.

    bool operator==(const LimitStatement &) const = default;
};

// Not thread-safe. Knows one instance of an upstream; another instance begins without a limit.
class NamedLimit
{
public:
    // The upstream answered a call that was sent to it at `sentAt`. Returns whether the limit has changed.
    bool recordAnswer(Instant sentAt, Instant now, const LimitStatement &statement);

    std::optional<double> callsPerSecond() const { return this->limit; }

private:
    std::optional<double> limit;
    Instant namedAt = Instant::min(); // When the last answer that names a limit came.
};

} // namespace Sagecrank

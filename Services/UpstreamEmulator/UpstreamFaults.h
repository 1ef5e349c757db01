// The upstream's bad behaviour, switched on by command: slow, failing fast, shedding, hanging, closing
// without an answer, answers that are broken off, spoilt or doubled, and health that misleads.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <array>
#include <cstdint>
#include <random>
#include <string_view>

namespace Sagecrank {

// What becomes of one call.
enum class CallFault : std::uint8_t {
    None,
    Shed,           // Although slots are free.
    Failed,         // Answered 500 at once, after it began.
    Hung,           // It begins and never ends.
    Dropped,        // It runs, and its connection is then closed.
    Truncated,      // It runs, and its connection is closed in the midst of the answer.
    Malformed,      // It runs, and bytes come that are no answer.
    Unframed,       // It runs; its answer states no length and ends with the connection.
    Duplicated,     // It runs, and its answer comes twice.
    DuplicatedLate, // The same, the second time where the answer to the next call is expected.
    RefusedEarly,   // It is refused, not run, before its body is in; concerns calls with a body that comes
                    // later.
};

// As the commands name the share of each; Served is what is left.
inline constexpr EnumNames<CallFault, 10> callFaultShareKeys{{
    {CallFault::Shed, "shed_share"},
    {CallFault::Failed, "fail_share"},
    {CallFault::Hung, "hang_share"},
    {CallFault::Dropped, "drop_share"},
    {CallFault::Truncated, "cut_share"},
    {CallFault::Malformed, "spoil_share"},
    {CallFault::Unframed, "unframed_share"},
    {CallFault::Duplicated, "double_share"},
    {CallFault::DuplicatedLate, "double_late_share"},
    {CallFault::RefusedEarly, "early_share"},
}};

struct UpstreamFaultSettings
{
    double slowFactor = 1;                                      // Work takes this many times as long.
    std::array<double, callFaultShareKeys.size() + 1> shares{}; // Of calls, by CallFault; 0 to 1 together.
    bool misleadingHealth = false; // Health and announcements say ready and idle whatever is true.
    Milliseconds healthLag{0};     // Health and announcements tell of the state this long ago.
    bool silent = false;           // No announcements.
    std::uint64_t seed = 1;
};

// Reads the JSON of POST /emulator/faults. A key that is left out has its default, so "{}" mends everything.
Result<UpstreamFaultSettings> parseUpstreamFaultSettings(std::string_view json);

class UpstreamFaultInjector
{
public:
    const UpstreamFaultSettings &settings() const { return this->current; }

    CallFault drawCallFault();
    bool drawEarlyRefusal(); // For a call whose body is still coming.
    void set(const UpstreamFaultSettings &settings);

private:
    double share(CallFault callFault) const;

    UpstreamFaultSettings current;
    std::mt19937_64 random{1};
};

} // namespace Sagecrank

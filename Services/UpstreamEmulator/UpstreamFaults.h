// Fault injection for the upstream emulator: slow work, fast failures, shedding, hangs, connections closed
// without a response, truncated, malformed or duplicated responses, and misleading health reports.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <array>
#include <cstdint>
#include <random>
#include <string_view>

namespace Sagecrank {

// The fault injected into one call.
enum class CallFault : std::uint8_t {
    None,
    Shed,               // Shed even if slots are free.
    Failed,             // Starts and fails with 500 immediately.
    Hung,               // Starts and never ends.
    Dropped,            // Runs, then the connection closes without a response.
    Truncated,          // Runs, and the connection closes in the middle of the response.
    Malformed,          // Runs, and bytes are sent that are not an HTTP response.
    Unframed,           // Runs; the response has no Content-Length and ends when the connection closes.
    Duplicated,         // Runs, and the response is sent twice.
    DuplicatedLate,     // As Duplicated, but the copy is sent where the next call's response is expected.
    ShedDuplicatedLate, // Shed, and the copy of that response is sent where the next one is expected.
    Oversized,          // Runs; the response has a chunk extension of a megabyte.
    InvalidStatus,      // Runs; the status of the response is 000.
    FoldedHeader,       // Runs; the line with the length continues the line before it.
    RefusedEarly, // Refused without running before its body arrives; applies to calls whose body comes later.
};

// The key in the fault settings that holds the share of each fault; the remaining calls get None.
inline constexpr EnumNames<CallFault, 14> callFaultShareKeys{{
    {CallFault::Shed, "shed_share"},
    {CallFault::Failed, "fail_share"},
    {CallFault::Hung, "hang_share"},
    {CallFault::Dropped, "drop_share"},
    {CallFault::Truncated, "cut_share"},
    {CallFault::Malformed, "spoil_share"},
    {CallFault::Unframed, "unframed_share"},
    {CallFault::Duplicated, "double_share"},
    {CallFault::DuplicatedLate, "double_late_share"},
    {CallFault::ShedDuplicatedLate, "shed_double_late_share"},
    {CallFault::Oversized, "oversized_share"},
    {CallFault::InvalidStatus, "invalid_status_share"},
    {CallFault::FoldedHeader, "folded_share"},
    {CallFault::RefusedEarly, "early_share"},
}};

struct UpstreamFaultSettings
{
    double slowFactor = 1; // Multiplies service times.
    std::array<double, callFaultShareKeys.size() + 1>
        shares{};                  // Shares of calls, indexed by CallFault; meant to sum to at most 1.
    bool misleadingHealth = false; // Health and announcements always report ready and idle.
    Milliseconds healthLag{0};     // Health and announcements report the state from this long ago.
    bool silent = false;           // No announcements, not even of a drain.
    std::uint32_t namedLimit = 0;  // Calls per second that all answers ask for; 0: they name no limit.
    std::uint64_t seed = 1;
};

// Parses the body of POST /emulator/faults. Missing keys take their defaults, so "{}" clears all faults.
Result<UpstreamFaultSettings> parseUpstreamFaultSettings(std::string_view json);

class UpstreamFaultInjector
{
public:
    const UpstreamFaultSettings &settings() const { return this->current; }

    CallFault drawCallFault();
    bool drawEarlyRefusal(); // For a call whose body has not arrived yet.
    void set(const UpstreamFaultSettings &settings);

private:
    double share(CallFault callFault) const;

    UpstreamFaultSettings current;
    std::mt19937_64 random{1};
};

} // namespace Sagecrank

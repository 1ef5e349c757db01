// The crashes of the upstream beside this node, in the form in which they are persisted.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// A request that was running when the upstream crashed.
struct CrashRecord
{
    std::uint64_t request = 0;   // Fingerprint of the request.
    std::uint64_t crash = 0;     // Id of the crash.
    std::uint64_t expiresAt = 0; // Unix milliseconds.

    bool operator==(const CrashRecord &) const = default;
};

std::uint64_t unixMilliseconds();

// Only the newest are kept: more would not change which requests are quarantined, and the row stays small.
inline constexpr std::size_t maximumCrashRecords = 64;

class CrashHistory
{
public:
    // Commands.

    void add(const std::vector<CrashRecord> &crashes);
    bool remove(std::uint64_t request, std::uint64_t crash); // Returns whether it was present.
    void dropExpired(std::uint64_t nowMilliseconds);

    // Queries.

    const std::vector<CrashRecord> &crashes() const { return this->records; }
    std::string serialize() const;

    // Skips malformed entries.
    static CrashHistory parse(std::string_view text);

private:
    std::vector<CrashRecord> records; // Oldest first, without duplicates.
};

} // namespace Sagecrank

// Crashes of the upstream beside this node, in the form in which they are kept where they outlive the
// process.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// One request that ran at one crash.
struct CrashRecord
{
    std::uint64_t request = 0; // Its fingerprint.
    std::uint64_t crash = 0;
    std::uint64_t expiresAt = 0; // Unix milliseconds.

    bool operator==(const CrashRecord &) const = default;
};

std::uint64_t unixMilliseconds();

// The newest of them; more would not change what is refused, and the row stays small.
inline constexpr std::size_t maximumCrashRecords = 64;

class CrashHistory
{
public:
    // Commands.

    void add(const std::vector<CrashRecord> &crashes);
    bool remove(std::uint64_t request, std::uint64_t crash); // Whether it was there.
    void dropExpired(std::uint64_t nowMilliseconds);

    // Queries.

    const std::vector<CrashRecord> &crashes() const { return this->kept; }
    std::string serialize() const;

    // Entries that another writer has spoilt are left out.
    static CrashHistory parse(std::string_view text);

private:
    std::vector<CrashRecord> kept; // Oldest first, each once.
};

} // namespace Sagecrank

// The upstream's bad behaviour, switched on by command: slow, failing fast, shedding, hanging, closing
// without an answer, and health that misleads.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <random>
#include <string_view>

namespace Sagecrank {

struct UpstreamFaultSettings
{
    double slowFactor = 1;         // Work takes this many times as long.
    double failShare = 0;          // Share of calls that are answered 500 at once, after they began.
    double shedShare = 0;          // Share of calls that are shed although slots are free.
    double hangShare = 0;          // Share of calls that begin and never end.
    double dropShare = 0;          // Share of calls that run and whose connection is then closed.
    bool misleadingHealth = false; // Health and announcements say ready and idle whatever is true.
    Milliseconds healthLag{0};     // Health and announcements tell of the state this long ago.
    bool silent = false;           // No announcements.
    std::uint64_t seed = 1;
};

// Reads the JSON of POST /emulator/faults. A key that is left out has its default, so "{}" mends everything.
Result<UpstreamFaultSettings> readUpstreamFaults(std::string_view json);

enum class CallFate { Served, Failed, Shed, Hung, Dropped };

class UpstreamFaults
{
public:
    const UpstreamFaultSettings &settings() const { return this->current; }

    CallFate drawFate();
    void set(const UpstreamFaultSettings &settings);

private:
    UpstreamFaultSettings current;
    std::mt19937_64 random{1};
};

} // namespace Sagecrank

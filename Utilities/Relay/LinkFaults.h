// What a relay does to the bytes that pass, and the line commands that change it.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <random>
#include <string_view>

namespace Sagecrank {

enum class RelayDirection : std::uint8_t { Up, Down }; // Up is towards the address that is relayed to.

// Commands, one on a line:
//   pass                back to normal for new connections; those that were silenced stay silent
//   silence [up|down]   existing connections pass nothing more, in one direction or both; new ones work
//   hole                nothing passes on any connection, new ones included, until "pass"
//   cut                 existing connections are reset
//   refuse              new connections are reset until "pass"
//   delay up|down MS    what arrives from now on passes that much later
//   drop SHARE          that share of datagrams is left out
enum class RelayCommandKind : std::uint8_t { Pass, Silence, Hole, Cut, Refuse, Delay, Drop };

struct RelayCommand
{
    RelayCommandKind kind = RelayCommandKind::Pass;
    bool up = true; // Which directions it concerns.
    bool down = true;
    Milliseconds delay{0};
    double share = 0;
};

Result<RelayCommand> parseRelayCommand(std::string_view line);

// The state that every connection looks at. Used by one thread.
class LinkFaults
{
public:
    explicit LinkFaults(std::uint64_t seed)
        : random(seed)
    {
    }

    void apply(const RelayCommand &command);

    bool hole() const { return this->everythingSilent; }
    bool refusing() const { return this->refuseNew; }
    Milliseconds delay(RelayDirection direction) const
    {
        return direction == RelayDirection::Up ? this->upDelay : this->downDelay;
    }
    // Draws whether the next datagram is left out.
    bool drawDrop();

private:
    std::mt19937_64 random;
    bool everythingSilent = false;
    bool refuseNew = false;
    Milliseconds upDelay{0};
    Milliseconds downDelay{0};
    double dropShare = 0; // From 0 to 1.
};

} // namespace Sagecrank

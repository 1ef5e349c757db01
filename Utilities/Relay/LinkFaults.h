// The faults that a relay injects into its traffic, and the text commands that control them.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <random>
#include <string_view>

namespace Sagecrank {

enum class RelayDirection : std::uint8_t { Up, Down }; // Up is towards the target address.

// Commands, one per line:
//   pass                ends all faults, except that silenced connections stay silent
//   silence [up|down]   discards the traffic of existing connections in one direction or both; new ones work
//   hole                discards the traffic of all connections, including new ones, until "pass"
//   cut                 resets existing connections
//   refuse              resets new connections until "pass"
//   delay up|down MS    delays the data that arrives from now on
//   drop SHARE          drops this share of the datagrams
enum class RelayCommandKind : std::uint8_t { Pass, Silence, Hole, Cut, Refuse, Delay, Drop };

struct RelayCommand
{
    RelayCommandKind kind = RelayCommandKind::Pass;
    bool up = true; // The affected directions.
    bool down = true;
    Milliseconds delay{0};
    double share = 0;
};

Result<RelayCommand> parseRelayCommand(std::string_view line);

// The fault state that all connections share. Not thread-safe; used by one thread.
class LinkFaults
{
public:
    explicit LinkFaults(std::uint64_t seed)
        : random(seed)
    {
    }

    void apply(const RelayCommand &command);

    bool blackholed() const { return this->discardAll; }
    bool refusesNewConnections() const { return this->refuseNewConnections; }
    Milliseconds delay(RelayDirection direction) const
    {
        return direction == RelayDirection::Up ? this->upDelay : this->downDelay;
    }
    // Decides at random whether the next datagram is dropped.
    bool shouldDropDatagram();

private:
    std::mt19937_64 random;
    bool discardAll = false;
    bool refuseNewConnections = false;
    Milliseconds upDelay{0};
    Milliseconds downDelay{0};
    double dropShare = 0; // From 0 to 1.
};

} // namespace Sagecrank

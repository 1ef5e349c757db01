// Decides when a node exchanges member tables with another node over a stream, and with which one. A state
// machine without clocks or I/O.
//
// Datagrams carry about a dozen records each, and their budget is the same in a mesh of any size, so the time
// that a new node needs for a whole table grows with the mesh: 984 nodes that started together knew 729 of
// each other on average after 24 s. A stream carries all that two tables differ in, at a cost of 17 bytes for
// each record that both hold. Nodes that start together double what they know in each round, and only the
// representatives of a zone fetch the records of other zones.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Sagecrank {

struct TableExchangeSettings
{
    // Between two exchanges of a node that still learns or passes on records.
    Duration roundPause = Milliseconds(80);
    // After an exchange that failed or was rejected.
    Duration retryPause = Milliseconds(250);
    // Nodes of each zone that exchange with the other zones. Two, so that the loss of one delays nothing.
    std::uint32_t representativesPerZone = 2;
    // A node stops after `quietExchanges` in a row that moved no more records than this; datagrams carry the
    // rest. After a single one, its partner may have been as new as itself.
    std::size_t settledRecords = 4;
    std::uint32_t quietExchanges = 2;
};

// What a node knows when it decides.
struct TableExchangeView
{
    std::uint32_t rank = 0; // Among the nodes of its zone that represent it; 0 is the first.
    std::size_t zonePeers = 0;
    const std::vector<std::string> &otherZones; // Zones with at least one present member.
};

struct TableExchangeStep
{
    std::uint64_t partner = 0; // Id hash; zero: any member of the zone.
    std::string zone;          // Empty: the own zone.
};

class TableExchangePlan
{
public:
    TableExchangePlan(TableExchangeSettings settings, std::uint64_t seed);

    // Commands.

    // A comparison showed that this table and the partner's differ by more than datagrams carry soon.
    void require(Instant now, std::uint64_t partner);
    // Begins an exchange if one is due; ended() must follow.
    std::optional<TableExchangeStep> next(Instant now, const TableExchangeView &view);
    // `records`: sent and received in this exchange.
    void ended(Instant now, bool succeeded, std::size_t records);

    // Queries.
    // Whether the node still exchanges tables with its zone; datagrams need not carry them meanwhile.
    bool isCatchingUp() const { return this->ownZoneDue; }
    bool isOpen() const { return this->open.has_value(); }

private:
    std::optional<std::string> chooseZone(const TableExchangeView &view);
    void ownZoneEnded(std::size_t records);
    Duration jittered(Duration pause);

    const TableExchangeSettings settings;
    std::mt19937_64 random;
    std::optional<TableExchangeStep> open;
    bool ownZoneDue = true;           // A node that starts knows nobody.
    std::uint32_t quietExchanges = 0; // In a row, with the own zone.
    bool lastWasOwnZone = false;
    std::uint64_t requiredPartner = 0;
    Instant nextAt{};
    std::size_t zonePeersAtStep = 0;
    // Members of the own zone that were known when this node last exchanged with another zone, by its name.
    std::map<std::string, std::size_t> exchangedZones;
};

} // namespace Sagecrank

// The messages of the gossip protocol and their bounded encoding. Every datagram is small enough to travel
// unfragmented, and decoding reads no more than it was given: a hostile or damaged one costs its own length.
#pragma once

#include <LibCore/Error.h>
#include <LibMembership/Member.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// Below the smallest path size in common use, less the headers; a fragment lost is a datagram lost.
inline constexpr std::size_t maximumDatagramBytes = 1200;

// What the network adds to a datagram (IPv4 and UDP headers); counted in every budget.
inline constexpr std::size_t datagramOverheadBytes = 28;

inline constexpr std::size_t maximumTextBytes = 64;

enum class DatagramKind : std::uint8_t {
    Ping,
    Ack,
    PingRequest, // Asks the receiver to ping a third node and to hand on its answer.
    Gossip,
    Join,        // Asks for a first view.
    SyncDigest,  // One hash for each bucket of the sender's table.
    SyncEntries, // Incarnations of the buckets that differ.
    SyncRequest, // Asks for the records named in `wanted`.
};

inline constexpr EnumNames<DatagramKind, 8> datagramKindNames{{
    {DatagramKind::Ping, "ping"},
    {DatagramKind::Ack, "ack"},
    {DatagramKind::PingRequest, "ping_request"},
    {DatagramKind::Gossip, "gossip"},
    {DatagramKind::Join, "join"},
    {DatagramKind::SyncDigest, "sync_digest"},
    {DatagramKind::SyncEntries, "sync_entries"},
    {DatagramKind::SyncRequest, "sync_request"},
}};

// Names one accepted configuration version.
struct ConfigurationVersion
{
    std::uint64_t version = 0; // Zero is no version.
    std::uint64_t digestHigh = 0;
    std::uint64_t digestLow = 0;

    bool operator==(const ConfigurationVersion &) const = default;
};

// A change to a member that the receiver probably knows. A third of a whole record's size; a receiver that
// does not know the member, or knows it with other fixed facts, asks for the record.
struct MemberUpdate
{
    std::uint64_t idHash = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t staticFieldsHash = 0; // Of region, zone, site, addresses and cluster.
    MemberState state = MemberState::Alive;
    UpstreamState upstream = UpstreamState::None;
    std::uint16_t slots = 0;

    bool operator==(const MemberUpdate &) const = default;
};

struct SyncEntry
{
    std::uint64_t idHash = 0;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;

    bool operator==(const SyncEntry &) const = default;
};

// A fact that every node should hold for a while; what it means is its sender's and receiver's matter. Of
// the same subject and source, the higher state replaces the lower one.
struct Notice
{
    std::uint64_t subject = 0;
    std::uint64_t source = 0;
    std::uint8_t state = 0;
    std::uint16_t timeToLiveSeconds = 0; // Until it may be forgotten.

    bool operator==(const Notice &) const = default;
};

// One message. Lists that its kind does not use stay empty and cost a byte each.
struct Datagram
{
    DatagramKind kind = DatagramKind::Ping;
    std::uint32_t sequence = 0; // Pairs an acknowledgement with its ping.
    std::string sender;         // Id.
    std::uint64_t senderIncarnation = 0;
    std::uint64_t heldVersion = 0; // The configuration version that the sender holds.
    ConfigurationVersion head;     // The highest accepted version that the sender has heard of.
    std::uint64_t storeEra = 0;    // The highest that the sender knows of; zero: none. See StoreEra.
    std::string target;            // Id; only in a ping (who is meant) and a ping request.
    std::string targetAddress;     // Only in a ping request.
    std::vector<std::uint32_t> bucketHashes;
    std::vector<std::uint8_t> buckets; // Which buckets `entries` covers whole.
    std::vector<SyncEntry> entries;
    std::vector<std::uint64_t> wanted; // Hashes of ids.
    std::vector<MemberUpdate> updates;
    std::vector<Member> members;
    std::vector<Notice> notices;
};

std::string encodeDatagram(const Datagram &datagram);

// The bytes that a record takes in a datagram.
std::size_t encodedSize(const Member &member);
inline constexpr std::size_t encodedUpdateSize = 24;
inline constexpr std::size_t encodedEntrySize = 17;
inline constexpr std::size_t encodedNoticeSize = 19;

// Never throws and never allocates more than a small multiple of the input. Error: InvalidInput or TooLarge.
Result<Datagram> decodeDatagram(std::string_view bytes, const std::string &peer);

} // namespace Sagecrank

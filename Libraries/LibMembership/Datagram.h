// The messages of the gossip protocol and their bounded encoding. A datagram is small enough to avoid IP
// fragmentation. Decoding allocates no more than a small multiple of the input, whatever the input is.
#pragma once

#include <LibCore/Error.h>
#include <LibMembership/Member.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// Fits the smallest common path MTU with its headers: losing one fragment loses the whole datagram.
inline constexpr std::size_t maximumDatagramBytes = 1200;

// IPv4 and UDP headers; counted against every bandwidth budget.
inline constexpr std::size_t datagramOverheadBytes = 28;

inline constexpr std::size_t maximumTextBytes = 64;

enum class DatagramKind : std::uint8_t {
    Ping,
    Ack,
    PingRequest, // Asks the receiver to ping a third node and to forward its acknowledgement.
    Gossip,
    Join,        // Asks for an initial member list.
    SyncDigest,  // One hash for each bucket of the sender's member table.
    SyncEntries, // Ids, incarnations and states of the members in the buckets that differ.
    SyncRequest, // Asks for the records listed in `wanted`.
    Report,      // A payload for the receiver alone.
};

inline constexpr EnumNames<DatagramKind, 9> datagramKindNames{{
    {DatagramKind::Ping, "ping"},
    {DatagramKind::Ack, "ack"},
    {DatagramKind::PingRequest, "ping_request"},
    {DatagramKind::Gossip, "gossip"},
    {DatagramKind::Join, "join"},
    {DatagramKind::SyncDigest, "sync_digest"},
    {DatagramKind::SyncEntries, "sync_entries"},
    {DatagramKind::SyncRequest, "sync_request"},
    {DatagramKind::Report, "report"},
}};

// Number and content digest of an accepted configuration version.
struct ConfigurationVersion
{
    std::uint64_t version = 0; // Zero: no version.
    std::uint64_t digestHigh = 0;
    std::uint64_t digestLow = 0;

    bool operator==(const ConfigurationVersion &) const = default;
};

// Compact form of a change to a member, a third of the size of a full record. A receiver that does not know
// the member, or knows it with other static fields, requests the full record.
struct MemberUpdate
{
    std::uint64_t idHash = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t staticFieldsHash = 0; // See hashStaticFields().
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

// A short-lived fact that is broadcast to every node; this library does not interpret its fields. For the
// same subject and source, a higher state replaces a lower one.
struct Notice
{
    std::uint64_t subject = 0;
    std::uint64_t source = 0;
    std::uint8_t state = 0;
    std::uint16_t timeToLiveSeconds = 0;

    bool operator==(const Notice &) const = default;
};

// A small text that is broadcast to every node; this library does not interpret its payload. For the same
// topic, one with a higher sequence, or with the same and a higher state, replaces another.
struct Bulletin
{
    std::string topic;
    std::uint64_t sequence = 0;
    std::uint8_t state = 0;
    std::uint16_t timeToLiveSeconds = 0;
    std::string payload; // At most `maximumBulletinBytes`.

    bool operator==(const Bulletin &) const = default;
};

inline constexpr std::size_t maximumBulletinBytes = 300;
inline constexpr std::size_t maximumReportBytes = 900;

// At this time of the platform store's clock, the version was the newest one. Means the same on every node.
struct HeadProof
{
    std::uint64_t version = 0;
    std::uint64_t storeMilliseconds = 0; // Zero: no proof.

    bool operator==(const HeadProof &) const = default;
};

// One message. Fields that its kind does not use stay empty; an empty list or text costs one byte.
struct Datagram
{
    DatagramKind kind = DatagramKind::Ping;
    std::uint32_t sequence = 0; // Matches an acknowledgement to its ping.
    std::string sender;         // Id.
    std::uint64_t senderIncarnation = 0;
    std::uint64_t heldVersion = 0; // Configuration version that the sender holds.
    ConfigurationVersion head;     // Highest accepted version known to the sender.
    std::uint64_t storeEra = 0;    // Highest era known to the sender; zero: none. See StoreEra.
    std::string target;            // Id of the node to ping; set in pings and ping requests only.
    std::string targetAddress;     // Set in ping requests only.
    std::vector<std::uint32_t> bucketHashes;
    std::vector<std::uint8_t> buckets; // Buckets of which `entries` lists every member.
    std::vector<SyncEntry> entries;
    std::vector<std::uint64_t> wanted; // Id hashes of the requested records.
    std::vector<MemberUpdate> updates;
    std::vector<Member> members;
    std::vector<Notice> notices;
    std::vector<Bulletin> bulletins;
    std::string report;  // Set in reports only.
    HeadProof headProof; // Absent where no proofs are wanted.
};

std::string encodeDatagram(const Datagram &datagram);

// Encoded sizes of list items, in bytes.
std::size_t encodedSize(const Member &member);
std::size_t encodedSize(const Bulletin &bulletin);
inline constexpr std::size_t encodedUpdateSize = 24;
inline constexpr std::size_t encodedEntrySize = 17;
inline constexpr std::size_t encodedNoticeSize = 19;

// Never throws. Error: InvalidInput or TooLarge.
Result<Datagram> decodeDatagram(std::string_view bytes, const std::string &peer);

} // namespace Sagecrank

// Membership of the mesh as one node sees it: a SWIM-style gossip protocol as a state machine without
// sockets, clocks or threads. Datagrams and ticks drive it, and it reports through hooks.
//
// Each node probes one member per interval, usually in its own zone and at times in another. A member that
// answers neither directly nor through other nodes becomes suspect, and dead if it does not refute that in
// time. Member changes are piggybacked on every datagram. Periodic anti-entropy sync compares member tables,
// so that a node that missed changes catches up. All traffic is paid from one budget of bytes per second.
#pragma once

#include <LibMembership/BulletinTable.h>
#include <LibMembership/Dissemination.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/NoticeTable.h>
#include <LibMembership/TableExchangePlan.h>
#include <LibMembership/TokenBucket.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Sagecrank {

struct MembershipSettings
{
    Duration probeInterval = Milliseconds(1000);
    // Well above the round trip between regions; scaled up by the node's own health score.
    Duration probeTimeout = Milliseconds(300);
    std::uint32_t indirectProbes = 3;
    // Every fourth interval also probes a member of another zone: a zone that failed as a whole has no member
    // left to detect it.
    std::uint32_t crossZoneProbePeriods = 4;
    // Expected number of nodes of one zone that gossip, probe and sync across zones in one round. Each node
    // draws at random whether it is one of them; a zone with fewer nodes uses all of them. Without this limit
    // the traffic between zones, which is the expensive one, grows with the square of the nodes: 204 KB for
    // each restart of a node in a mesh of 180 in three zones.
    double crossZoneGossipersPerZone = 4; // Each gossip round.
    double crossZoneProbersPerZone = 5;   // Each probe interval; two suspects make the whole zone probe.
    double crossZoneSyncersPerZone = 2;   // Each sync round.
    // A suspicion lasts this many probe intervals times the decimal logarithm of the member count, which is
    // how the rounds grow that a suspicion and its refutation need to spread.
    double suspicionFactor = 3;
    Duration gossipInterval = Milliseconds(200);
    std::uint32_t gossipFanout = 3; // All but one stay in the zone.
    Duration syncInterval = Milliseconds(10000);
    // An answer is at most four datagrams, so a node that catches up receives at most 12 KB per second.
    Duration catchUpInterval = Milliseconds(400);
    Duration reconnectInterval = Milliseconds(5000);
    // Longer than the longest expected partition (an hour), so that partitioned members are still known when
    // it heals and outdated records from a paused node are recognised.
    Duration tombstoneRetention = std::chrono::hours(2);
    // A tick this late means that the process was paused and its view of other members is out of date.
    Duration pauseThreshold = Milliseconds(3000);
    // Sent bytes. Less than half of the 13 KB per second that a node may use, since it receives as much as it
    // sends.
    double bytesPerSecond = 6000;
    double burstBytes = 12000;
    // Sent bytes that a new process may spend at once, so that nodes that start together know their members
    // before calls arrive.
    double initialBurstBytes = 96000;
    // Sent bytes to other zones, as a part of the budget above.
    double crossZoneBytesPerSecond = 3000;
    double crossZoneBurstBytes = 6000;
    // Received bytes above which a node that catches up delays its next sync. Unsolicited datagrams are not
    // limited, so sent and received bytes together stay near 13 KB per second.
    double catchUpBytesPerSecond = 6000;
    std::vector<std::string> seeds; // Gossip addresses.
    TableExchangeSettings tableExchange;
};

struct MembershipHooks
{
    std::function<void(const std::string &address, const std::string &bytes)> send;
    // A record's state, upstream or static fields changed. Not called for the held version.
    std::function<void(const Member &)> memberChanged;
    std::function<void(const ConfigurationVersion &)> headAdvanced;
    std::function<void(const Member &holder)> heldVersionAdvanced;
    // Receives all current notices after they changed.
    std::function<void(const std::vector<Notice> &)> noticesChanged;
    std::function<void(std::uint64_t era)> storeEraAdvanced;
    std::function<void(const HeadProof &)> headProofReceived; // May be older than the own one.
    std::function<void(const Bulletin &)> bulletinReceived;   // A new or later one, of another node.
    std::function<void(const std::string &sender, const std::string &report)> reportReceived;
    // Exchanges tables with this member over a stream; tableExchangeEnded() must follow. See TableStream.
    // Without this hook, tables are compared by datagrams alone.
    std::function<void(const Member &partner)> exchangeTables;
    // Rank of this node among those of its zone that may represent it; needed with `exchangeTables`.
    std::function<std::uint32_t()> zoneRank;
};

struct KindCounters
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
};

struct MembershipCounters
{
    std::array<KindCounters, 9> kinds{}; // By DatagramKind; bytes include IP and UDP headers.
    std::uint64_t malformed = 0;
    std::uint64_t suppressed = 0; // Datagrams not sent, mostly because the budget was spent.
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
    std::uint64_t removedTombstones = 0;

    std::uint64_t sentBytes() const;
    std::uint64_t receivedBytes() const;
};

// The answer to one datagram of a table exchange.
struct TableAnswer
{
    std::vector<std::string> datagrams;
    std::size_t entriesSent = 0;
    std::size_t recordsSent = 0;
    std::size_t recordsReceived = 0;
};

// Differences of more records than this take datagrams many rounds, so the tables are exchanged over a
// stream.
inline constexpr std::size_t largeTableDifference = 32;

class Membership
{
public:
    // `self.incarnation` must be above all earlier ones of the same id. Wall clock time in milliseconds
    // works: if the clock was set back, the node takes a higher incarnation as soon as a peer reports the old
    // one.
    Membership(MembershipSettings settings, Member self, MembershipHooks hooks, std::uint64_t seed);

    // Commands.
    void tick(Instant now); // About every 100 ms.
    void receive(Instant now, const std::string &from, std::string_view bytes);
    void setUpstream(Instant now, const std::string &cluster, UpstreamState state, std::uint32_t slots,
                     const std::string &version = {});
    void setConfiguration(std::uint64_t heldVersion, const ConfigurationVersion &head);
    // Records the platform store's era and gossips it if it rose. A lower era is ignored.
    void noteStoreEra(std::uint64_t era);
    // Sets the proof that datagrams carry; a proof without a time stops that.
    void setHeadProof(const HeadProof &proof);
    // Adds seeds and contacts those at whose address no member is known.
    void addSeeds(Instant now, const std::vector<std::string> &addresses, bool ownZone);
    void announce(Instant now, const Notice &notice); // Broadcasts it to every node.
    void announce(Instant now, const Bulletin &bulletin);
    // Sends a payload of at most `maximumReportBytes` to one member; it may be lost.
    void sendReport(const std::string &memberId, const std::string &report);
    // Table exchanges over streams; see TableStream.
    std::string openTableExchange(); // Returns the datagram that opens one.
    // Merges one datagram of a stream and answers it, whatever the budgets of datagrams hold. Error:
    // InvalidInput unless it is a datagram of the sync protocol.
    Result<TableAnswer> receiveStreamed(Instant now, std::string_view bytes);
    void tableExchangeEnded(Instant now, bool succeeded, std::size_t records);
    void leave(Instant now); // Announces the departure; keep calling tick() until leaveComplete().

    // Queries.
    const MemberTable &members() const { return this->table; }
    const Member &self() const { return this->own; }
    const ConfigurationVersion &head() const { return this->highestHead; }
    std::vector<Notice> notices() const { return this->noticeTable.list(this->lastTick); }
    std::vector<Bulletin> bulletins() const { return this->bulletinTable.list(this->lastTick); }
    std::uint64_t highestStoreEra() const { return this->storeEra; }
    const MembershipCounters &counters() const { return this->counts; }
    // The gossip addresses that belong to a present member; the views point into `addresses`.
    std::unordered_set<std::string_view> membersAt(const std::vector<std::string> &addresses) const;
    // A peer was heard from, or there are no seeds, or none of them answered several join attempts.
    bool hasView() const;
    // The table holds about all nodes of the own zone that its peers know.
    bool knowsZone() const;
    bool leaveComplete() const { return this->leaving && this->leaveRounds == 0; }
    std::uint32_t healthScore() const { return this->health; }
    Duration suspicionTime() const;

private:
    struct Probe
    {
        std::uint64_t target = 0;
        Instant started;
        bool indirectSent = false;
    };
    // Last direct probes of a suspect before it is declared dead.
    struct FinalProbes
    {
        Instant deadline; // Of the suspicion that they belong to.
        int sent = 0;
    };
    // Contact attempts to one seed.
    struct SeedContact
    {
        Instant next;
        Duration backoff;
        bool known = false; // A member was present at the address at the last check.
    };
    // An indirect probe that this node makes for another.
    struct Relay
    {
        std::string requester; // Address.
        std::uint32_t sequence = 0;
        Instant started;
    };

    // Receiving (Membership.cpp).
    void handle(Instant now, const std::string &from, const Datagram &datagram);
    void noteSender(Instant now, const std::string &from, const Datagram &datagram);
    void noteHeldVersion(const MemberRecord &record, std::uint64_t version);
    void applyChanges(Instant now, const std::string &from, const Datagram &datagram);
    void mergeRecords(Instant now, const std::vector<Member> &members, bool fromSync);
    // Returns whether the record is this node's own; refutes it if it contradicts the local one.
    bool refuteIfOwn(Instant now, std::uint64_t idHash, std::uint64_t incarnation, MemberState state);
    void afterMerge(Instant now, std::uint64_t idHash, MergeOutcome outcome);
    void queueChange(std::uint64_t idHash, MergeOutcome outcome, bool fullRecord);
    void noteHead(const ConfigurationVersion &head);
    void mergeNotices(Instant now, const std::vector<Notice> &notices);
    void notifyNoticesChanged();
    void mergeBulletins(Instant now, const std::vector<Bulletin> &bulletins, bool notify);
    std::uint32_t transmissionLimit() const; // Of heads, store eras and notices.
    void scheduleHeadGossip();               // At the next tick.
    bool isProofGossipDue() const;
    void publishOwn(Instant now, bool urgent, bool fullRecord);

    // Probing (MembershipProbe.cpp).
    void startProbe(Instant now, std::uint64_t target);
    void probeNext(Instant now);
    std::uint64_t nextInRing(std::vector<std::uint64_t> &ring, const std::vector<std::uint64_t> &members);
    void checkProbes(Instant now);
    void sendIndirectProbes(Instant now, std::uint32_t sequence, const Probe &probe);
    void suspect(Instant now, std::uint64_t target);
    void checkSuspects(Instant now);
    void sendFinalProbe(Instant now, const MemberRecord &record);
    void ping(const MemberRecord &record);
    void detectFailingZone(const Member &suspect);
    bool probeFailingZone(Instant now); // False if no member of another zone is alive.
    void reconnect(Instant now);
    void handlePing(Instant now, const std::string &from, const Datagram &datagram);
    void handlePingRequest(Instant now, const Datagram &datagram, const std::string &from);
    void handleAck(Instant now, const Datagram &datagram);
    void resumeAfterPause(Instant now);
    void raiseHealthScore(std::uint32_t by);

    // Table exchanges (MembershipExchange.cpp).
    struct TableDifference
    {
        std::vector<std::uint64_t> wanted; // Id hashes.
        std::vector<const MemberRecord *> offered;
    };
    void exchangeTables(Instant now); // Begins one if it is due.
    std::uint64_t pickExchangePartner(const TableExchangeStep &step);
    bool isExchangingTables() const; // With its zone, until its table is about as complete as theirs.
    bool isLargeDifference(std::size_t records) const;
    void answerStreamedDigest(const Datagram &digest, TableAnswer &answer);
    void answerStreamedEntries(Instant now, const Datagram &entries, TableAnswer &answer);
    std::vector<const MemberRecord *> recordsOf(const std::vector<std::uint64_t> &idHashes) const;
    void addRecords(TableAnswer &answer, const std::vector<const MemberRecord *> &records) const;

    // Gossip, joining and sync (MembershipSync.cpp).
    void gossip(Instant now);
    void join(Instant now);
    void contactUnknownSeeds(Instant now);
    std::vector<std::string> takeDueSeeds(Instant now);
    Duration maximumSeedBackoff() const;
    void startSync(Instant now);
    Datagram makeSyncDigest();
    void catchUp(Instant now); // Syncs faster for some rounds, since there may be more to learn.
    void handleJoin(Instant now, const std::string &from, const Datagram &datagram);
    void handleSyncDigest(Instant now, const std::string &from, const Datagram &datagram);
    void handleSyncEntries(Instant now, const std::string &from, const Datagram &datagram);
    void handleSyncRequest(Instant now, const std::string &from, const Datagram &datagram);
    // Refutes what contradicts this node's own record.
    TableDifference compareEntries(Instant now, const Datagram &datagram);
    void requestRecords(Instant now, const std::string &address, const std::vector<std::uint64_t> &wanted);
    void sendNotices(const std::string &address, bool ownZone);
    void sendBulletins(const std::string &address, bool ownZone);
    void sendRecords(const std::string &address, bool ownZone,
                     const std::vector<const MemberRecord *> &records, std::size_t maximumDatagrams);
    // Fills one datagram with records from `next` on, and advances it.
    Datagram fillRecords(const std::vector<const MemberRecord *> &records, std::size_t &next) const;
    std::uint64_t pickPeer(bool ownZone);
    std::uint64_t nextSyncPeer();
    bool drawCrossZoneTurn(double nodesPerZone); // Random at each call.

    // Sending (Membership.cpp). Datagrams that answer nobody are suppressed once the budget is spent.
    bool hasBudget(double reservedShare, bool ownZone = true) const;
    bool isInOwnZone(const MemberRecord *record) const; // False for a null record.
    Duration catchUpPace() const;
    bool isInboundOverBudget(Instant now) const; // Delays the next sync of a node that catches up.
    Datagram makeDatagram(DatagramKind kind, std::uint32_t sequence = 0) const;
    void sendWithChanges(const std::string &address, bool ownZone, Datagram datagram);
    void transmit(const std::string &address, const Datagram &datagram, bool ownZone = true);
    Duration jittered(Duration interval);

    MembershipSettings settings;
    Member own; // Only this node raises its incarnation.
    std::uint64_t ownHash;
    MembershipHooks hooks;
    std::mt19937_64 random;
    MemberTable table;
    Dissemination changes;
    NoticeTable noticeTable;
    BulletinTable bulletinTable;
    TokenBucket budget;          // Sent bytes.
    TokenBucket crossZoneBudget; // Sent bytes to other zones.
    TableExchangePlan exchangePlan;
    TokenBucket inboundBudget; // Received bytes; only delays syncs that can wait.
    MembershipCounters counts;

    ConfigurationVersion highestHead; // Never decreases.
    std::uint64_t storeEra = 0;       // Never decreases; zero: unknown.
    bool storeEraChanged = false;     // It rose after it was first known.
    std::uint64_t heldVersion = 0;
    HeadProof headProof;
    std::uint64_t gossipedProofMilliseconds = 0; // Time of the proof that the last proof gossip carried.
    std::uint32_t headTransmissions = 0; // Gossip datagrams since the head, the held version or the era rose.

    std::map<std::uint32_t, Probe> probes;                      // By sequence.
    std::map<std::uint32_t, Relay> relays;                      // By the sequence of the relayed ping.
    std::unordered_map<std::uint64_t, FinalProbes> finalProbes; // By suspect; dropped with the suspicion.
    std::unordered_map<std::uint64_t, Instant> requestedAt;     // Time of the last request for a record.
    std::uint32_t lastSequence = 0;
    std::uint32_t probeRounds = 0;
    std::vector<std::uint64_t> zoneRing; // Members still to probe in this pass; reshuffled for each pass.
    std::vector<std::uint64_t> otherZoneRing;
    std::vector<std::uint64_t> syncRing; // The same for syncs.

    std::string failingZone;             // Another zone with several suspects.
    std::uint32_t failingZoneProbes = 0; // Extra probes still to send to it.

    // From 0 (healthy) to 8. Rises with its own failed probes, with refutations and pauses, and falls with
    // answers. The higher it is, the longer the node waits before it suspects others, since it may itself be
    // the slow one.
    std::uint32_t health = 0;

    Instant lastTick{};
    Instant nextProbe{};
    Instant nextGossip{};
    Instant nextSync{};
    Instant nextReconnect{};
    Instant nextTombstoneRemoval{};
    Instant nextJoin{};
    Duration joinBackoff;
    std::uint32_t catchUpRounds = 0; // Sync rounds still to make at the faster pace.
    std::uint32_t joinAttempts = 0;
    bool heardFromPeer = false;
    bool leaving = false;
    std::uint32_t leaveRounds = 0;     // Gossip rounds left until the departure has been announced.
    std::uint32_t ownChangeRounds = 0; // Gossip rounds that still send its own change to another zone.
    std::map<std::string, SeedContact> seedContacts; // By seed address.
    std::vector<std::string> zoneSeeds;              // Seeds that are known to be in its own zone.
};

} // namespace Sagecrank

// Who is part of the mesh, as one node sees it: a gossip protocol as a state machine without sockets, clocks
// or threads. It is driven by datagrams and ticks, and answers through hooks.
//
// Each node probes one member a period, mostly of its own zone and now and then of another. A member that
// answers neither directly nor through others becomes suspect and, when it does not refute that in time,
// dead. Changes ride on every datagram; tables are compared now and then, so that a node that missed changes
// catches up. All of it is paid for from one budget of bytes a second.
#pragma once

#include <LibMembership/Dissemination.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/NoticeTable.h>
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
    // Well above the round trip between regions; a loaded node is given more by its own health score.
    Duration probeTimeout = Milliseconds(300);
    std::uint32_t indirectProbes = 3;
    // Every fourth period another zone's member is probed too: a lost zone has nobody left inside to notice.
    std::uint32_t crossZoneProbePeriods = 4;
    // Load: every node tells other zones its news, probes there and compares tables there. Harm: bytes
    // between zones, which are the dear ones, grow with the square of the nodes: 204 KB for each node's
    // restart in a mesh of 180 in three zones. So in a zone of many only some do so, drawn anew each time;
    // these are the numbers for a zone together. A zone of few is as before.
    double crossZoneGossipersPerZone = 4; // Each gossip round.
    double crossZoneProbersPerZone = 5; // Each probe interval; two suspects call for the whole zone's probes.
    double crossZoneSyncersPerZone = 2; // Each round of comparisons.
    // Suspicion lasts this many periods times the decimal logarithm of the members, so that a refutation has
    // the rounds it needs to travel both ways.
    double suspicionFactor = 3;
    Duration gossipInterval = Milliseconds(200);
    std::uint32_t gossipFanout = 3; // All but one stay in the zone.
    Duration syncInterval = Milliseconds(10000);
    // An answer is at most four datagrams, so a node that catches up receives at most 12 KB a second.
    Duration catchUpInterval = Milliseconds(400);
    Duration reconnectInterval = Milliseconds(5000);
    // Longer than the longest split expected (an hour), so that a split member is still known when it heals
    // and an old record from a paused node is still recognised as old.
    Duration tombstoneRetention = std::chrono::hours(2);
    // A tick this late means that the process was paused: what it thinks of others is out of date.
    Duration pauseThreshold = Milliseconds(3000);
    // Sent bytes. Under half of a node's 13 KB a second, because as many arrive as leave.
    double bytesPerSecond = 6000;
    double burstBytes = 12000;
    // Sent bytes that a new process may spend at once, so that a fleet that starts together learns its
    // members before callers need them.
    double initialBurstBytes = 96000;
    // Sent bytes to other zones, as a part of the above.
    double crossZoneBytesPerSecond = 3000;
    double crossZoneBurstBytes = 6000;
    // Received bytes above which a node that catches up asks for no more. What others send by themselves is
    // not held back, so the sum of both ways stays near 13 KB a second.
    double catchUpBytesPerSecond = 6000;
    std::vector<std::string> seeds; // Gossip addresses.
};

struct MembershipHooks
{
    std::function<void(const std::string &address, const std::string &bytes)> send;
    // A record changed: state, upstream or facts. Not called for the held version.
    std::function<void(const Member &)> memberChanged;
    std::function<void(const ConfigurationVersion &)> headAdvanced;
    std::function<void(const Member &holder)> heldVersionAdvanced;
    // The notices that this node holds, after they changed.
    std::function<void(const std::vector<Notice> &)> noticesChanged;
    std::function<void(std::uint64_t era)> storeEraAdvanced;
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
    std::array<KindCounters, 8> kinds{}; // By DatagramKind; bytes include the network's headers.
    std::uint64_t malformed = 0;
    std::uint64_t suppressed = 0; // Datagrams not sent because the budget was spent.
    std::uint64_t suspicions = 0;
    std::uint64_t deaths = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
    std::uint64_t removedTombstones = 0;

    std::uint64_t sentBytes() const;
    std::uint64_t receivedBytes() const;
};

class Membership
{
public:
    // `self.incarnation` must be above every earlier one of the same id; wall clock time in milliseconds
    // serves, and a clock that was set back is mended by refutation as soon as a peer answers.
    Membership(MembershipSettings settings, Member self, MembershipHooks hooks, std::uint64_t seed);

    // Commands.
    void tick(Instant now); // Every 100 ms or so.
    void receive(Instant now, const std::string &from, std::string_view bytes);
    void setUpstream(Instant now, const std::string &cluster, UpstreamState state, std::uint32_t slots);
    void setConfiguration(std::uint64_t heldVersion, const ConfigurationVersion &head);
    // Which life of the platform's store this node knows of; all others hear of it. A lower one is ignored.
    void noteStoreEra(std::uint64_t era);
    // Greets those that no member is known at.
    void addSeeds(Instant now, const std::vector<std::string> &addresses, bool ownZone);
    void announce(Instant now, const Notice &notice); // Every node is to hold it.
    void leave(Instant now);                          // Says goodbye; keep ticking until leaveComplete().

    // Queries.
    const MemberTable &members() const { return this->table; }
    const Member &self() const { return this->own; }
    const ConfigurationVersion &head() const { return this->headMark; }
    std::vector<Notice> notices() const { return this->board.list(this->lastTick); }
    std::uint64_t highestStoreEra() const { return this->storeEra; }
    const MembershipCounters &counters() const { return this->counts; }
    // Which of the gossip addresses a present member stands at; the views point into `addresses`.
    std::unordered_set<std::string_view> membersAt(const std::vector<std::string> &addresses) const;
    bool hasView() const; // Somebody answered, or there is nobody to ask, or nobody answered for long.
    bool leaveComplete() const { return this->leaving && this->goodbyeRounds == 0; }
    std::uint32_t healthScore() const { return this->health; }
    Duration suspicionTime() const;

private:
    struct Probe
    {
        std::uint64_t target = 0;
        Instant started;
        bool askedOthers = false;
    };
    // What a node does for a suspect before it holds it for dead.
    struct LastCalls
    {
        Instant deadline; // Of the suspicion that they belong to.
        int made = 0;
    };
    // A seed while no member is known at its address.
    struct Greeting
    {
        Instant next;
        Duration backoff;
        bool met = false; // When last looked at.
    };
    struct Relay
    {
        std::string requester; // Address.
        std::uint32_t sequence = 0;
        Instant started;
    };

    // Receiving (Membership.cpp).
    void handle(Instant now, const std::string &from, const Datagram &datagram);
    void noteSender(Instant now, const std::string &from, const Datagram &datagram);
    void takeChanges(Instant now, const std::string &from, const Datagram &datagram);
    bool concernsOwn(Instant now, std::uint64_t idHash, std::uint64_t incarnation, MemberState state);
    void afterMerge(Instant now, std::uint64_t idHash, MergeOutcome outcome);
    void spread(std::uint64_t idHash, MergeOutcome outcome, bool whole);
    void noteHead(const ConfigurationVersion &head);
    void takeNotices(Instant now, const std::vector<Notice> &notices);
    void noticesChanged();
    std::uint32_t newsTellLimit() const;
    void tellHead(); // From the next tick on.
    void publishOwn(Instant now, bool urgent, bool whole);

    // Probing (MembershipProbe.cpp).
    void startProbe(Instant now, std::uint64_t target);
    void probeNext(Instant now);
    std::uint64_t nextInRing(std::vector<std::uint64_t> &ring, const std::vector<std::uint64_t> &members);
    void checkProbes(Instant now);
    void askOthers(Instant now, std::uint32_t sequence, const Probe &probe);
    void suspect(Instant now, std::uint64_t target);
    void checkSuspects(Instant now);
    void callSuspect(Instant now, const MemberRecord &record);
    void ping(const MemberRecord &record);
    void noteTroubledZone(const Member &suspect);
    bool probeTroubledZone(Instant now); // False when there is nobody left to probe in it.
    void reconnect(Instant now);
    void handlePing(Instant now, const std::string &from, const Datagram &datagram);
    void handlePingRequest(Instant now, const Datagram &datagram, const std::string &from);
    void handleAck(Instant now, const Datagram &datagram);
    void wake(Instant now);
    void raiseHealth(std::uint32_t by);

    // Spreading and comparing (MembershipSync.cpp).
    void gossip(Instant now);
    void join(Instant now);
    void greetStrangers(Instant now);
    std::vector<std::string> dueStrangers(Instant now);
    Duration longestBackoffOfGreetings() const;
    void startSync(Instant now);
    Datagram makeSyncDigest();
    void catchUp(Instant now); // There was news; there may be more.
    void handleJoin(Instant now, const std::string &from, const Datagram &datagram);
    void handleSyncDigest(Instant now, const std::string &from, const Datagram &datagram);
    void handleSyncEntries(Instant now, const std::string &from, const Datagram &datagram);
    void handleSyncRequest(Instant now, const std::string &from, const Datagram &datagram);
    void request(Instant now, const std::string &address, const std::vector<std::uint64_t> &wanted);
    void sendNotices(const std::string &address, bool ownZone);
    void sendRecords(const std::string &address, bool ownZone,
                     const std::vector<const MemberRecord *> &records, std::size_t maximumDatagrams);
    std::uint64_t pickPeer(bool ownZone);
    std::uint64_t nextToCompare();
    bool isMyTurnAcross(double ofTheZone); // Drawn anew each time.

    // Sending (Membership.cpp). A datagram that is not owed to anyone is held back when the budget is spent.
    bool maySpend(double share, bool ownZone = true) const;
    bool isOfOwnZone(const MemberRecord *record) const; // False when there is none.
    Duration paceOfCatchUp() const;
    bool mustAwaitInbound(Instant now) const; // Too much has arrived for the next comparison to begin yet.
    Datagram makeDatagram(DatagramKind kind, std::uint32_t sequence = 0) const;
    void sendWithChanges(const std::string &address, bool ownZone, Datagram datagram);
    void transmit(const std::string &address, const Datagram &datagram, bool ownZone = true);
    Duration jittered(Duration interval);

    MembershipSettings settings;
    Member own; // The only record whose incarnation this node raises.
    std::uint64_t ownHash;
    MembershipHooks hooks;
    std::mt19937_64 random;
    MemberTable table;
    Dissemination changes;
    NoticeTable board;
    TokenBucket budget;       // Of sent bytes.
    TokenBucket acrossBudget; // Of bytes sent to other zones.
    TokenBucket inbound;      // Of received bytes; only comparisons that can wait look at it.
    MembershipCounters counts;

    ConfigurationVersion headMark; // Never goes down.
    std::uint64_t storeEra = 0;    // The same; zero: none is known.
    bool eraRose = false;          // From one that was known.
    std::uint64_t heldVersion = 0;
    std::uint32_t headTold = 0; // Gossip datagrams since the head, the held version or the era rose.

    std::map<std::uint32_t, Probe> probes; // By sequence.
    std::map<std::uint32_t, Relay> relays; // By the sequence of the ping sent on another's behalf.
    std::unordered_map<std::uint64_t, LastCalls> lastCalls; // By suspect; dropped with the suspicion.
    std::unordered_map<std::uint64_t, Instant> requested;   // When a record was last asked for.
    std::uint32_t lastSequence = 0;
    std::uint32_t probeRounds = 0;
    std::vector<std::uint64_t> zoneRing; // Still to be probed in this pass; each pass is shuffled anew.
    std::vector<std::uint64_t> otherRing;
    std::vector<std::uint64_t> compareRing; // As zoneRing, for comparisons.

    std::string troubledZone;         // Another zone with several suspects.
    std::uint32_t troubledProbes = 0; // Extra probes still to be sent into it.

    // From 0 (well) to 8: raised by its own failed probes, by refutations and pauses, lowered by answers. A
    // node that is itself slow waits longer before it suspects others.
    std::uint32_t health = 0;

    Instant lastTick{};
    Instant nextProbe{};
    Instant nextGossip{};
    Instant nextSync{};
    Instant nextReconnect{};
    Instant nextForget{};
    Instant nextJoin{};
    Duration joinBackoff;
    std::uint32_t catchUpRounds = 0; // Comparisons still to be made at the faster pace.
    std::uint32_t joinAttempts = 0;
    bool heardAnyone = false;
    bool leaving = false;
    std::uint32_t goodbyeRounds = 0;
    std::uint32_t ownNewsRounds = 0; // Rounds of gossip that still cross to another zone for its own news.
    std::map<std::string, Greeting> greetings; // By seed.
    std::vector<std::string> zoneSeeds;        // Those of the seeds that are known to be of its zone.
};

} // namespace Sagecrank

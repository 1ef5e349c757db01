// A node's part in the roll-outs of new versions: takes orders from the store, passes records on by gossip,
// tells the request path which versions get calls, observes the upstream beside the node, and, if this node
// is one of the judges, decides and records how a roll-out goes on.
//
// No node leads. Every node can become a judge; the first three by rendezvous hashing are. Later ones wait a
// little before they act, so that usually only the first one does.
#pragma once

#include "RolloutLog.h"
#include <Node/Callers/UpstreamView.h>
#include <Node/Upstream/UpstreamPresence.h>

#include <LibMembership/Datagram.h>
#include <LibRollout/CanarySelection.h>
#include <LibRollout/RolloutBook.h>
#include <LibRollout/RolloutPlan.h>
#include <LibRollout/RolloutPort.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sagecrank {

struct RolloutSettings
{
    std::string nodeId;
    // The largest part of a service's calls that a version on trial may get.
    double exposureShare = 0.1;
};

struct RolloutHooks
{
    std::function<Instant()> now;
    std::function<void(const Bulletin &)> announce; // To all nodes.
    std::function<void(const std::string &memberId, const std::string &report)> sendReport;
    std::function<void()> versionsChanged; // trafficFor() may return something else.
    std::function<void(UpstreamUse)> useUpstream;
    std::function<UpstreamAnnouncement()> upstream; // Beside this node.
    std::function<bool()> upstreamIdle; // No call is waiting or running at the upstream beside this node.
};

// Used on the control thread, except recordOutcome().
class RolloutControl
{
public:
    RolloutControl(RolloutSettings settings, RolloutPort port, RolloutHooks hooks, EventLog &log);

    // Commands.
    void start();
    void advance(Instant now); // About every 100 ms.
    void membersChanged(const std::vector<Member> &members);
    void bulletinReceived(Instant now, const Bulletin &bulletin);
    void reportReceived(Instant now, const std::string &sender, const std::string &report);
    // A call has run at the upstream beside this node. Thread-safe.
    void recordOutcome(const UpstreamOutcome &outcome);

    // Queries.
    const std::vector<Member> &knownMembers() const { return this->members; }
    UpstreamTraffic trafficFor(const Member &member) const;
    double trialShare(const std::string &cluster) const; // 0 without a version on trial.

private:
    // The nodes that take part in one roll-out.
    struct Participants
    {
        std::set<std::string> canaries;
        std::set<std::string> comparisons;
        std::vector<std::string> judges; // In the order in which they act.
    };

    // What this node does as a judge of one roll-out.
    struct Judging
    {
        Judging(std::uint64_t sequence, const RolloutRecord &record)
            : sequence(sequence)
            , judge(record.order.target)
        {
        }

        std::uint64_t sequence;
        RolloutJudge judge;
        bool startRecorded = false;
        bool recording = false; // A call to the store is under way.
        Instant nextRecordAt{};
        std::optional<RolloutStage> proposed; // The next step, and since when it is due.
        Instant proposedAt{};
    };

    void orderRead(Instant now, const Result<RolloutOrderChange> &change);
    void recordChanged(Instant now, const std::string &cluster);
    void announce(Instant now, const RolloutRecord &record);
    void selectParticipants(const RolloutRecord &record);
    void judge(Instant now, const RolloutRecord &record);
    void propose(Instant now, Judging &judging, const RolloutRecord &record, std::size_t rank);
    void recordStart(Instant now, Judging &judging, const RolloutRecord &record, std::size_t rank);
    void record(Instant now, Judging &judging, const RolloutRecord &record, RolloutStage stage);
    Judging &judgingOf(const RolloutRecord &record);
    RolloutUpstreams upstreamsOf(const RolloutRecord &record) const;
    std::optional<std::size_t> judgeRank(const std::string &cluster) const;
    void refreshOwnUpstream();
    void updateUpstreamUse(Instant now);
    UpstreamUse upstreamUse(Instant now) const;
    void observeOwnUpstream(Instant now);
    UpstreamReport makeReport(const RolloutRecord &record);
    bool takesPart(const RolloutRecord &record) const;

    const RolloutSettings settings;
    const RolloutPort port;
    const RolloutHooks hooks;
    RolloutLog log;
    RolloutBook book;
    std::vector<Member> members;
    std::map<std::string, Participants> participants; // By service with a roll-out.
    std::map<std::string, std::unique_ptr<Judging>> judgings;
    UpstreamAnnouncement own; // The upstream beside this node, as last seen.
    UpstreamUse use = UpstreamUse::Serving;
    Instant startedAt{};
    Instant nextReportAt{};

    std::atomic<bool> observing = false;
    std::mutex tallyMutex; // Guards the tally.
    UpstreamTally tally;
    std::uint64_t tallySequence = 0; // Of the order that the tally belongs to.
    std::uint32_t reportNumber = 0;
};

} // namespace Sagecrank

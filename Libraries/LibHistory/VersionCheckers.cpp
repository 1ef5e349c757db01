// Checks the configuration of each node: its version never decreases, is applied completely, and refers to
// nothing that the node lacks.
#include <LibHistory/Checkers.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace Sagecrank {

namespace {

std::string versionText(std::uint64_t version)
{
    return "version " + std::to_string(version);
}

// The state of one node in one process lifetime, as its records show it.
struct NodeState
{
    struct KnownMember
    {
        const HistoryRecord *record = nullptr; // Of the latest node.member.
        std::string_view cluster;              // Empty when the member cannot receive work.
        // When the member lost each of its previous clusters. All of them are kept, since several changes can
        // occur while a thread still uses the snapshot from before the first.
        std::map<std::string_view, std::uint64_t> lostAt;
    };

    std::map<std::uint64_t, const HistoryRecord *> swaps; // By version.
    const HistoryRecord *latestSwap = nullptr;
    std::map<std::string_view, const HistoryRecord *> firstPlacements; // By call.
    std::map<std::string_view, KnownMember> members;
};

// Returns the cluster whose work the member can receive; empty when it is dead, has left or has no upstream.
std::string_view usableCluster(const NodeMember &member)
{
    const bool present = member.state == "alive" || member.state == "suspect";
    const bool hasUpstream = member.upstream != "none" && member.upstream != "gone";
    return present && hasUpstream ? std::string_view(member.cluster) : std::string_view();
}

void updateMember(NodeState &state, const HistoryRecord &record, const NodeMember &member)
{
    NodeState::KnownMember &known = state.members[member.member];
    const std::string_view cluster = usableCluster(member);
    if (known.cluster != cluster)
        known.lostAt[known.cluster] = record.time;
    known.cluster = cluster;
    known.record = &record;
}

void checkRouteTargets(CheckResult &result, const HistoryRecord &record, const NodeSwapped &swap)
{
    const std::set<std::string_view> clusters(swap.clusters.begin(), swap.clusters.end());
    for (const std::string &target : swap.routeClusters) {
        if (!clusters.contains(target)) {
            result.violations.push_back({versionText(swap.version) + " on " + record.process
                                             + " has a route to " + target + ", which it does not have",
                                         {&record}});
        }
    }
}

// A call is routed by the version in force when it arrives. All later attempts use the same version, however
// long the first one took.
void checkRoutingVersion(CheckResult &result, NodeState &state, const HistoryRecord &record,
                         const NodePlaced &placed, std::uint64_t staleRead)
{
    const auto [first, isFirst] = state.firstPlacements.try_emplace(placed.call, &record);
    if (!isFirst) {
        if (std::get<NodePlaced>(first->second->event).version != placed.version)
            result.violations.push_back({record.process + " routed call " + placed.call + " by two versions",
                                         {first->second, &record}});
        return;
    }
    const bool replaced = std::get<NodeSwapped>(state.latestSwap->event).version != placed.version;
    if (replaced && record.time > state.latestSwap->time + staleRead) {
        result.violations.push_back(
            {record.process + " routed by " + versionText(placed.version) + " after it had been replaced",
             {state.latestSwap, &record}});
    }
}

void checkPlacement(CheckResult &result, NodeState &state, const HistoryRecord &record,
                    const NodePlaced &placed, std::uint64_t staleRead)
{
    const auto found = state.swaps.find(placed.version);
    if (found == state.swaps.end()) {
        result.violations.push_back(
            {record.process + " routed by " + versionText(placed.version) + ", which it never held",
             {&record}});
        return;
    }
    const auto &clusters = std::get<NodeSwapped>(found->second->event).clusters;
    if (std::find(clusters.begin(), clusters.end(), placed.cluster) == clusters.end()) {
        result.violations.push_back(
            {record.process + " routed to cluster " + placed.cluster + ", which its version does not have",
             {found->second, &record}});
    }
    checkRoutingVersion(result, state, record, placed, staleRead);
    const auto member = state.members.find(placed.member);
    if (member == state.members.end()) {
        result.violations.push_back(
            {record.process + " sent work to " + placed.member + ", which it has never seen", {&record}});
        return;
    }
    const NodeState::KnownMember &known = member->second;
    const auto lost = known.lostAt.find(placed.cluster);
    const bool justLost = lost != known.lostAt.end() && record.time <= lost->second + staleRead;
    if (known.cluster != placed.cluster && !justLost) {
        result.violations.push_back({record.process + " sent work for " + placed.cluster + " to "
                                         + placed.member + ", which has no upstream of it",
                                     {known.record, &record}});
    }
}

using OfferKey = std::pair<std::uint64_t, std::string_view>; // Version and digest.

// Returns the versions accepted at any time of the run: a node may receive a version before the operator
// learns that it was accepted.
std::set<std::uint64_t> acceptedVersions(const History &history)
{
    std::set<std::uint64_t> versions;
    for (const HistoryRecord &record : history.records) {
        if (const auto *accepted = std::get_if<PublishAccepted>(&record.event))
            versions.insert(accepted->version);
    }
    return versions;
}

// Checks that two nodes of one site have the same content for the same version.
void checkSameContent(CheckResult &result, const HistoryRecord &first, const HistoryRecord &other)
{
    const auto &expected = std::get<NodeSwapped>(first.event);
    const auto &found = std::get<NodeSwapped>(other.event);
    if (expected.digest != found.digest || expected.clusters != found.clusters
        || expected.routeClusters != found.routeClusters) {
        result.violations.push_back({versionText(found.version) + " of site " + found.site
                                         + " differs between " + first.process + " and " + other.process,
                                     {&first, &other}});
    }
}

} // namespace

CheckResult checkVersionNeverBack(const History &history, const CheckLimits &)
{
    CheckResult result{Invariant::VersionNeverBack, 0, {}, {}};
    std::map<std::string_view, const HistoryRecord *> highestByNode; // Across restarts.
    std::map<std::size_t, const HistoryRecord *> latestByLifetime;
    for (const HistoryRecord &record : history.records) {
        const auto *swap = std::get_if<NodeSwapped>(&record.event);
        if (swap == nullptr)
            continue;
        ++result.eventsChecked;
        const HistoryRecord *&latest = latestByLifetime[record.lifetime];
        const std::uint64_t held = latest ? std::get<NodeSwapped>(latest->event).version : 0;
        if (swap->previous != held) {
            result.violations.push_back({record.process + " says that it replaced "
                                             + versionText(swap->previous) + " but held " + versionText(held),
                                         latest ? std::vector{latest, &record} : std::vector{&record}});
        }
        latest = &record;
        const HistoryRecord *&highest = highestByNode[record.process];
        if (highest == nullptr) {
            highest = &record;
            continue;
        }
        const bool sameLifetime = highest->lifetime == record.lifetime;
        const std::uint64_t highestVersion = std::get<NodeSwapped>(highest->event).version;
        // A restarted process may load the version that its predecessor held; one process never applies the
        // same version twice.
        if (swap->version < highestVersion || (sameLifetime && swap->version == highestVersion)) {
            result.violations.push_back({record.process + " went from " + versionText(highestVersion) + " to "
                                             + versionText(swap->version)
                                             + (sameLifetime ? "" : " across a restart"),
                                         {highest, &record}});
        } else {
            highest = &record;
        }
    }
    return result;
}

CheckResult checkNoDanglingRoute(const History &history, const CheckLimits &limits)
{
    CheckResult result{Invariant::NoDanglingRoute, 0, {}, {}};
    std::map<std::size_t, NodeState> states; // By lifetime.
    std::size_t placements = 0;
    for (const HistoryRecord &record : history.records) {
        if (const auto *swap = std::get_if<NodeSwapped>(&record.event)) {
            ++result.eventsChecked;
            checkRouteTargets(result, record, *swap);
            NodeState &state = states[record.lifetime];
            state.swaps[swap->version] = &record;
            state.latestSwap = &record;
        } else if (const auto *member = std::get_if<NodeMember>(&record.event)) {
            updateMember(states[record.lifetime], record, *member);
        } else if (const auto *placed = std::get_if<NodePlaced>(&record.event)) {
            ++result.eventsChecked;
            ++placements;
            checkPlacement(result, states[record.lifetime], record, *placed,
                           std::uint64_t(limits.staleRead.count()));
        }
    }
    result.note = std::to_string(placements) + " placements";
    return result;
}

CheckResult checkWholeVersions(const History &history, const CheckLimits &)
{
    const std::set<std::uint64_t> accepted = acceptedVersions(history);
    CheckResult result{Invariant::WholeVersions, 0, {}, {}};
    std::map<std::size_t, std::map<OfferKey, const HistoryRecord *>> offersByLifetime;
    std::map<std::pair<std::string_view, std::uint64_t>, const HistoryRecord *> contentBySiteVersion;
    std::size_t refused = 0;
    for (const HistoryRecord &record : history.records) {
        if (const auto *offered = std::get_if<NodeOffered>(&record.event)) {
            offersByLifetime[record.lifetime][{offered->version, offered->digest}] = &record;
            refused += offered->valid ? 0 : 1;
            continue;
        }
        const auto *swap = std::get_if<NodeSwapped>(&record.event);
        if (swap == nullptr)
            continue;
        ++result.eventsChecked;
        const auto &offers = offersByLifetime[record.lifetime];
        const auto offer = offers.find({swap->version, swap->digest});
        if (offer == offers.end()) {
            result.violations.push_back(
                {record.process + " holds " + versionText(swap->version) + " without having checked it",
                 {&record}});
        } else if (!std::get<NodeOffered>(offer->second->event).valid) {
            result.violations.push_back(
                {record.process + " holds " + versionText(swap->version) + ", which it had found bad",
                 {offer->second, &record}});
        }
        if (!accepted.contains(swap->version))
            result.violations.push_back(
                {record.process + " holds " + versionText(swap->version) + ", which was never accepted",
                 {&record}});
        const auto [first, inserted] = contentBySiteVersion.try_emplace({swap->site, swap->version}, &record);
        if (!inserted)
            checkSameContent(result, *first->second, record);
    }
    result.note = std::to_string(refused) + " bad offers";
    return result;
}

} // namespace Sagecrank

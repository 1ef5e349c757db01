// Judges what each node holds: versions only go up, come whole, and point at nothing that is missing.
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

// What one node has in its current lifetime.
struct NodePicture
{
    struct KnownMember
    {
        const HistoryRecord *record = nullptr; // Of the latest node.member.
        std::string_view cluster;              // Empty when it cannot be sent work.
        // When it stopped to have each of the clusters that it had before. One change may follow another
        // within the time in which a thread still places by the picture before both.
        std::map<std::string_view, std::uint64_t> endedAt;
    };

    std::map<std::uint64_t, const HistoryRecord *> swaps; // By version.
    const HistoryRecord *latestSwap = nullptr;
    std::map<std::string_view, const HistoryRecord *> firstPlacements; // By call.
    std::map<std::string_view, KnownMember> members;
};

// The cluster that a member can be sent work for; empty when it is dead, has left or has no upstream.
std::string_view usableCluster(const NodeMember &member)
{
    const bool present = member.state == "alive" || member.state == "suspect";
    const bool hasUpstream = member.upstream != "none" && member.upstream != "gone";
    return present && hasUpstream ? std::string_view(member.cluster) : std::string_view();
}

void learnMember(NodePicture &picture, const HistoryRecord &record, const NodeMember &member)
{
    NodePicture::KnownMember &known = picture.members[member.member];
    const std::string_view cluster = usableCluster(member);
    if (known.cluster != cluster)
        known.endedAt[known.cluster] = record.time;
    known.cluster = cluster;
    known.record = &record;
}

void judgeSwapTargets(CheckResult &verdict, const HistoryRecord &record, const NodeSwapped &swap)
{
    const std::set<std::string_view> clusters(swap.clusters.begin(), swap.clusters.end());
    for (const std::string &target : swap.routeClusters) {
        if (!clusters.contains(target)) {
            verdict.violations.push_back({versionText(swap.version) + " on " + record.process
                                              + " has a route to " + target + ", which it does not have",
                                          {&record}});
        }
    }
}

// A call is routed once, by the version in force when it arrives; an attempt that follows goes on by that
// version and no other, however long the first one took.
void judgeRoutingVersion(CheckResult &verdict, NodePicture &picture, const HistoryRecord &record,
                         const NodePlaced &placed, std::uint64_t staleRead)
{
    const auto [first, isFirst] = picture.firstPlacements.try_emplace(placed.call, &record);
    if (!isFirst) {
        if (std::get<NodePlaced>(first->second->event).version != placed.version)
            verdict.violations.push_back({record.process + " routed call " + placed.call + " by two versions",
                                          {first->second, &record}});
        return;
    }
    const bool replaced = std::get<NodeSwapped>(picture.latestSwap->event).version != placed.version;
    if (replaced && record.time > picture.latestSwap->time + staleRead) {
        verdict.violations.push_back(
            {record.process + " routed by " + versionText(placed.version) + " after it had been replaced",
             {picture.latestSwap, &record}});
    }
}

void judgePlacement(CheckResult &verdict, NodePicture &picture, const HistoryRecord &record,
                    const NodePlaced &placed, std::uint64_t staleRead)
{
    const auto found = picture.swaps.find(placed.version);
    if (found == picture.swaps.end()) {
        verdict.violations.push_back(
            {record.process + " routed by " + versionText(placed.version) + ", which it never held",
             {&record}});
        return;
    }
    const auto &clusters = std::get<NodeSwapped>(found->second->event).clusters;
    if (std::find(clusters.begin(), clusters.end(), placed.cluster) == clusters.end()) {
        verdict.violations.push_back(
            {record.process + " routed to cluster " + placed.cluster + ", which its version does not have",
             {found->second, &record}});
    }
    judgeRoutingVersion(verdict, picture, record, placed, staleRead);
    const auto member = picture.members.find(placed.member);
    if (member == picture.members.end()) {
        verdict.violations.push_back(
            {record.process + " sent work to " + placed.member + ", which it has never seen", {&record}});
        return;
    }
    const NodePicture::KnownMember &known = member->second;
    const auto ended = known.endedAt.find(placed.cluster);
    const bool justEnded = ended != known.endedAt.end() && record.time <= ended->second + staleRead;
    if (known.cluster != placed.cluster && !justEnded) {
        verdict.violations.push_back({record.process + " sent work for " + placed.cluster + " to "
                                          + placed.member + ", which has no upstream of it",
                                      {known.record, &record}});
    }
}

using Offer = std::pair<std::uint64_t, std::string_view>; // Version and digest.

// At any time of the run: a node may hear of a version before its operator does.
std::set<std::uint64_t> acceptedVersions(const History &history)
{
    std::set<std::uint64_t> versions;
    for (const HistoryRecord &record : history.records) {
        if (const auto *accepted = std::get_if<PublishAccepted>(&record.event))
            versions.insert(accepted->version);
    }
    return versions;
}

// Two nodes of one site that hold the same version must hold the same content.
void compareContent(CheckResult &verdict, const HistoryRecord &first, const HistoryRecord &other)
{
    const auto &expected = std::get<NodeSwapped>(first.event);
    const auto &found = std::get<NodeSwapped>(other.event);
    if (expected.digest != found.digest || expected.clusters != found.clusters
        || expected.routeClusters != found.routeClusters) {
        verdict.violations.push_back({versionText(found.version) + " of site " + found.site
                                          + " differs between " + first.process + " and " + other.process,
                                      {&first, &other}});
    }
}

} // namespace

CheckResult checkVersionNeverBack(const History &history, const CheckLimits &)
{
    CheckResult verdict{Invariant::VersionNeverBack, 0, {}, {}};
    std::map<std::string_view, const HistoryRecord *> highestByNode; // Across restarts.
    std::map<std::size_t, const HistoryRecord *> latestByLifetime;
    for (const HistoryRecord &record : history.records) {
        const auto *swap = std::get_if<NodeSwapped>(&record.event);
        if (swap == nullptr)
            continue;
        ++verdict.eventsChecked;
        const HistoryRecord *&latest = latestByLifetime[record.lifetime];
        const std::uint64_t held = latest ? std::get<NodeSwapped>(latest->event).version : 0;
        if (swap->previous != held) {
            verdict.violations.push_back({record.process + " says that it replaced "
                                              + versionText(swap->previous) + " but held "
                                              + versionText(held),
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
        // A fresh process may come back to the version that its predecessor held; one process never takes the
        // same version twice.
        if (swap->version < highestVersion || (sameLifetime && swap->version == highestVersion)) {
            verdict.violations.push_back({record.process + " went from " + versionText(highestVersion)
                                              + " to " + versionText(swap->version)
                                              + (sameLifetime ? "" : " across a restart"),
                                          {highest, &record}});
        } else {
            highest = &record;
        }
    }
    return verdict;
}

CheckResult checkNoDanglingRoute(const History &history, const CheckLimits &limits)
{
    CheckResult verdict{Invariant::NoDanglingRoute, 0, {}, {}};
    std::map<std::size_t, NodePicture> pictures; // By lifetime.
    std::size_t placements = 0;
    for (const HistoryRecord &record : history.records) {
        if (const auto *swap = std::get_if<NodeSwapped>(&record.event)) {
            ++verdict.eventsChecked;
            judgeSwapTargets(verdict, record, *swap);
            NodePicture &picture = pictures[record.lifetime];
            picture.swaps[swap->version] = &record;
            picture.latestSwap = &record;
        } else if (const auto *member = std::get_if<NodeMember>(&record.event)) {
            learnMember(pictures[record.lifetime], record, *member);
        } else if (const auto *placed = std::get_if<NodePlaced>(&record.event)) {
            ++verdict.eventsChecked;
            ++placements;
            judgePlacement(verdict, pictures[record.lifetime], record, *placed,
                           std::uint64_t(limits.staleRead.count()));
        }
    }
    verdict.note = std::to_string(placements) + " placements";
    return verdict;
}

CheckResult checkWholeVersions(const History &history, const CheckLimits &)
{
    const std::set<std::uint64_t> accepted = acceptedVersions(history);
    CheckResult verdict{Invariant::WholeVersions, 0, {}, {}};
    std::map<std::size_t, std::map<Offer, const HistoryRecord *>> offersByLifetime;
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
        ++verdict.eventsChecked;
        const auto &offers = offersByLifetime[record.lifetime];
        const auto offer = offers.find({swap->version, swap->digest});
        if (offer == offers.end()) {
            verdict.violations.push_back(
                {record.process + " holds " + versionText(swap->version) + " without having checked it",
                 {&record}});
        } else if (!std::get<NodeOffered>(offer->second->event).valid) {
            verdict.violations.push_back(
                {record.process + " holds " + versionText(swap->version) + ", which it had found bad",
                 {offer->second, &record}});
        }
        if (!accepted.contains(swap->version))
            verdict.violations.push_back(
                {record.process + " holds " + versionText(swap->version) + ", which was never accepted",
                 {&record}});
        const auto [first, inserted] = contentBySiteVersion.try_emplace({swap->site, swap->version}, &record);
        if (!inserted)
            compareContent(verdict, *first->second, record);
    }
    verdict.note = std::to_string(refused) + " bad offers";
    return verdict;
}

} // namespace Sagecrank

// Keeps the records of roll-outs and the established versions.
#include <LibRollout/RolloutBook.h>

#include <algorithm>

namespace Sagecrank {

bool VersionRule::serves(const std::string &version) const
{
    const bool isEstablished = !this->established || version == *this->established;
    if (!this->stage)
        return isEstablished;
    switch (*this->stage) {
    case RolloutStage::Moving:
        return isEstablished || version == this->target;
    case RolloutStage::Completed:
        return version == this->target;
    case RolloutStage::Probing:
    case RolloutStage::Loading:
    case RolloutStage::Watching:
    case RolloutStage::RollingBack:
    case RolloutStage::RolledBack:
        break;
    }
    return isEstablished && version != this->target;
}

bool VersionRule::isOnTrial(const std::string &version) const
{
    return this->stage && isTrial(*this->stage) && version == this->target;
}

bool RolloutBook::recordOrder(Instant now, const RolloutOrder &order)
{
    const auto ended = this->endedSequences.find(order.cluster);
    if (ended != this->endedSequences.end() && order.sequence <= ended->second)
        return false;
    const auto known = this->rollouts.find(order.cluster);
    if (known != this->rollouts.end() && order.sequence <= known->second.order.sequence)
        return false;
    RolloutRecord record;
    record.order = order;
    record.deadline = now + order.duration;
    record.stageSince = now;
    const auto serving = this->established.find(order.cluster);
    if (serving != this->established.end())
        record.established = serving->second;
    // Nothing is left to move; only its end must be recorded.
    if (record.established == order.target)
        record.stage = RolloutStage::Moving;
    this->rollouts.insert_or_assign(order.cluster, record);
    return true;
}

bool RolloutBook::withdrawOrder(Instant now, const std::string &cluster)
{
    const auto known = this->rollouts.find(cluster);
    return known != this->rollouts.end()
           && this->raiseStage(now, cluster, known->second.order.sequence, RolloutStage::RollingBack);
}

bool RolloutBook::merge(Instant now, const RolloutRecord &remote)
{
    const auto known = this->rollouts.find(remote.order.cluster);
    const auto ended = this->endedSequences.find(remote.order.cluster);
    if (ended != this->endedSequences.end() && remote.order.sequence <= ended->second)
        return false;
    if (known == this->rollouts.end() || known->second.order.sequence < remote.order.sequence) {
        RolloutRecord record = remote;
        const auto serving = this->established.find(record.order.cluster);
        if (record.established.empty() && serving != this->established.end())
            record.established = serving->second;
        if (record.stage == RolloutStage::Completed)
            this->established[record.order.cluster] = record.order.target;
        this->rollouts.insert_or_assign(record.order.cluster, record);
        return true;
    }
    RolloutRecord &record = known->second;
    if (record.order.sequence != remote.order.sequence)
        return false;
    // A node that read the order late would otherwise wait beyond the deadline of the others.
    record.deadline = std::min(record.deadline, remote.deadline);
    if (record.established.empty())
        record.established = remote.established;
    return this->raiseStage(now, remote.order.cluster, remote.order.sequence, remote.stage);
}

bool RolloutBook::raiseStage(Instant now, const std::string &cluster, std::uint64_t sequence,
                             RolloutStage stage)
{
    const auto known = this->rollouts.find(cluster);
    if (known == this->rollouts.end() || known->second.order.sequence != sequence
        || stage <= known->second.stage)
        return false;
    known->second.stage = stage;
    known->second.stageSince = now;
    if (stage == RolloutStage::Completed)
        this->established[cluster] = known->second.order.target;
    return true;
}

void RolloutBook::observeUpstreams(const std::vector<VersionedUpstream> &upstreams)
{
    std::map<std::string_view, VersionCounts> clusters;
    for (const VersionedUpstream &upstream : upstreams) {
        if (upstream.available)
            ++clusters[upstream.cluster][upstream.version];
    }
    for (const auto &[cluster, counts] : clusters)
        this->updateEstablished(std::string(cluster), counts);
}

// The established version stays while one of its upstreams is available. Otherwise it is the one with the
// most upstreams, so that nodes that see the same upstreams agree. The target of a roll-out is never chosen.
void RolloutBook::updateEstablished(const std::string &cluster, const VersionCounts &counts)
{
    const auto rollout = this->rollouts.find(cluster);
    const bool underWay = rollout != this->rollouts.end() && rollout->second.stage != RolloutStage::Completed;
    const auto serving = this->established.find(cluster);
    if (serving != this->established.end() && (underWay || counts.contains(serving->second)))
        return;
    std::string_view best;
    std::size_t most = 0;
    for (const auto &[version, count] : counts) {
        const bool isTarget = underWay && version == rollout->second.order.target;
        if (!isTarget && count > most) {
            best = version;
            most = count;
        }
    }
    if (most == 0)
        return;
    this->established[cluster] = best;
    if (underWay && rollout->second.established.empty())
        rollout->second.established = best;
}

bool RolloutBook::forgetEnded(Instant before)
{
    return std::erase_if(this->rollouts,
                         [&](const auto &entry) {
                             const RolloutRecord &record = entry.second;
                             if (!isRecordedEnd(record.stage) || record.stageSince >= before)
                                 return false;
                             this->endedSequences[entry.first] = record.order.sequence;
                             return true;
                         })
           > 0;
}

const RolloutRecord *RolloutBook::find(const std::string &cluster) const
{
    const auto known = this->rollouts.find(cluster);
    return known == this->rollouts.end() ? nullptr : &known->second;
}

const std::string *RolloutBook::establishedVersion(const std::string &cluster) const
{
    const auto serving = this->established.find(cluster);
    return serving == this->established.end() ? nullptr : &serving->second;
}

VersionRule RolloutBook::rule(const std::string &cluster) const
{
    VersionRule rule;
    if (const std::string *version = this->establishedVersion(cluster))
        rule.established = *version;
    if (const RolloutRecord *record = this->find(cluster)) {
        rule.target = record->order.target;
        rule.stage = record->stage;
        // The record's established version was fixed when the order was first seen.
        if (!record->established.empty() && record->stage != RolloutStage::Completed)
            rule.established = record->established;
    }
    return rule;
}

} // namespace Sagecrank

// Connects the roll-out decisions to gossip, the store and the upstream beside the node.
#include "RolloutControl.h"

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr std::string_view topicPrefix = "rollout/";

// Long enough for the nodes that are cut off or restarted meanwhile to learn of the end.
constexpr Duration endedRetention = std::chrono::seconds(60);
constexpr std::uint16_t bulletinSeconds = 600;

// From the start of a move until the upstreams of the established version close their gates. A node that had
// not learned of the move by then would find no upstream.
constexpr Duration closeDelay = Milliseconds(700);

constexpr Duration reportInterval = Milliseconds(400);

// Each judge gives those before it this long to act.
constexpr Duration delayPerJudge = Milliseconds(500);

// A node that has just started knows few members and would take itself for a judge.
constexpr Duration judgingDelay = std::chrono::seconds(2);

constexpr Duration recordRetryInterval = Milliseconds(500);

// Shares of the permitted exposure. The rest allows for calls that are sent again.
constexpr double probingShare = 0.2;
constexpr double loadingShare = 0.8;

bool takesCalls(const Member &member)
{
    return member.state != MemberState::Dead && member.state != MemberState::Left
           && (member.upstream == UpstreamState::Ready || member.upstream == UpstreamState::Warming);
}

bool isPresentMember(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

} // namespace

RolloutControl::RolloutControl(RolloutSettings settings, RolloutPort port, RolloutHooks hooks, EventLog &log)
    : settings(std::move(settings))
    , port(std::move(port))
    , hooks(std::move(hooks))
    , log(log)
{
}

void RolloutControl::start()
{
    this->startedAt = this->hooks.now();
    if (this->port.setOrderListener)
        this->port.setOrderListener(
            [this](const Result<RolloutOrderChange> &change) { this->orderRead(this->hooks.now(), change); });
}

void RolloutControl::orderRead(Instant now, const Result<RolloutOrderChange> &change)
{
    if (!change)
        return this->log.orderRefused(change.error());
    const RolloutOrderChange &read = change.value();
    const bool changed =
        read.order ? this->book.recordOrder(now, *read.order) : this->book.withdrawOrder(now, read.cluster);
    if (!changed)
        return;
    if (read.order)
        this->log.ordered(*this->book.find(read.cluster));
    this->recordChanged(now, read.cluster);
}

void RolloutControl::bulletinReceived(Instant now, const Bulletin &bulletin)
{
    if (!bulletin.topic.starts_with(topicPrefix))
        return;
    const Result<RolloutRecord> record = decodeRecord(bulletin.payload, now, bulletin.topic);
    if (!record)
        return this->log.messageRefused(record.error());
    if (this->book.merge(now, record.value()))
        this->recordChanged(now, record.value().order.cluster);
}

void RolloutControl::recordChanged(Instant now, const std::string &cluster)
{
    const RolloutRecord &record = *this->book.find(cluster);
    this->log.stageChanged(record);
    this->announce(now, record);
    this->selectParticipants(record);
    this->refreshOwnUpstream();
    this->updateUpstreamUse(now);
    this->hooks.versionsChanged();
}

void RolloutControl::announce(Instant now, const RolloutRecord &record)
{
    Bulletin bulletin;
    bulletin.topic = std::string(topicPrefix) + record.order.cluster;
    bulletin.sequence = record.order.sequence;
    bulletin.state = static_cast<std::uint8_t>(record.stage);
    bulletin.timeToLiveSeconds = bulletinSeconds;
    bulletin.payload = encodeRecord(record, now);
    this->hooks.announce(bulletin);
}

void RolloutControl::membersChanged(const std::vector<Member> &current)
{
    this->members = current;
    std::vector<VersionedUpstream> upstreams;
    upstreams.reserve(current.size());
    for (const Member &member : current) {
        if (!member.cluster.empty())
            upstreams.push_back({member.cluster, member.version, takesCalls(member)});
    }
    this->book.observeUpstreams(upstreams);
    for (const auto &[cluster, record] : this->book.records())
        this->selectParticipants(record);
}

void RolloutControl::selectParticipants(const RolloutRecord &record)
{
    std::vector<std::string> targets;
    std::vector<std::string> established;
    std::vector<std::string> alive;
    for (const Member &member : this->members) {
        if (member.state == MemberState::Alive)
            alive.push_back(member.id);
        if (member.cluster != record.order.cluster || !takesCalls(member))
            continue;
        if (member.version == record.order.target)
            targets.push_back(member.id);
        else if (member.version == record.established)
            established.push_back(member.id);
    }
    const double share = loadingShare * this->settings.exposureShare;
    const auto canaries = selectForRole(record.order, RolloutRole::Canary, targets,
                                        canaryCount(record.stage, targets.size(), share));
    const auto comparisons =
        selectForRole(record.order, RolloutRole::Comparison, established, maximumComparisons);
    Participants &selected = this->participants[record.order.cluster];
    selected.canaries = {canaries.begin(), canaries.end()};
    selected.comparisons = {comparisons.begin(), comparisons.end()};
    selected.judges = selectForRole(record.order, RolloutRole::Judge, alive, judgesPerRollout);
}

// Called for each member whenever the view of the upstreams is rebuilt, so services without a roll-out are
// decided without copies.
UpstreamTraffic RolloutControl::trafficFor(const Member &member) const
{
    if (this->book.find(member.cluster) == nullptr) {
        const std::string *established = this->book.establishedVersion(member.cluster);
        const bool serves = established == nullptr || *established == member.version;
        return serves ? UpstreamTraffic::Full : UpstreamTraffic::None;
    }
    const VersionRule rule = this->book.rule(member.cluster);
    if (rule.serves(member.version))
        return UpstreamTraffic::Full;
    const auto selected = this->participants.find(member.cluster);
    const bool isCanary =
        selected != this->participants.end() && selected->second.canaries.contains(member.id);
    return isCanary && rule.isOnTrial(member.version) ? UpstreamTraffic::Trial : UpstreamTraffic::None;
}

double RolloutControl::trialShare(const std::string &cluster) const
{
    const RolloutRecord *record = this->book.find(cluster);
    if (record == nullptr || !isTrial(record->stage))
        return 0;
    const bool loading = record->stage == RolloutStage::Loading;
    return (loading ? loadingShare : probingShare) * this->settings.exposureShare;
}

void RolloutControl::refreshOwnUpstream()
{
    const UpstreamAnnouncement current = this->hooks.upstream();
    const bool isSame = current.instance == this->own.instance && current.startedAt == this->own.startedAt
                        && current.version == this->own.version;
    this->own = current;
    if (isSame)
        return;
    const std::lock_guard guard(this->tallyMutex);
    this->tally.reset();
    this->reportNumber = 0;
}

// The gate beside an upstream enforces what holds for its version, whatever the senders know.
void RolloutControl::updateUpstreamUse(Instant now)
{
    const UpstreamUse next = this->upstreamUse(now);
    if (next == this->use)
        return;
    this->use = next;
    this->hooks.useUpstream(next);
}

// The upstreams of the established version are stopped as soon as the roll-out is recorded as completed. So
// each closes its gate, after the other nodes had time to learn of the move, and reports when its calls have
// ended.
UpstreamUse RolloutControl::upstreamUse(Instant now) const
{
    const RolloutRecord *record = this->book.find(this->own.cluster);
    if (record == nullptr)
        return UpstreamUse::Serving;
    const bool isTarget = this->own.version == record->order.target;
    const bool isClosed = this->use != UpstreamUse::Serving;
    switch (record->stage) {
    case RolloutStage::Moving:
        if (isTarget || now - record->stageSince < closeDelay)
            return UpstreamUse::Serving;
        // A call that arrived before the gate was closed may not be counted yet.
        return isClosed && this->hooks.upstreamIdle() ? UpstreamUse::Finished : UpstreamUse::Finishing;
    case RolloutStage::Completed:
        return isTarget ? UpstreamUse::Serving : UpstreamUse::Finished;
    case RolloutStage::RollingBack:
    case RolloutStage::RolledBack:
        return isTarget ? UpstreamUse::Finishing : UpstreamUse::Serving;
    case RolloutStage::Probing:
    case RolloutStage::Loading:
    case RolloutStage::Watching:
        break;
    }
    return UpstreamUse::Serving;
}

bool RolloutControl::takesPart(const RolloutRecord &record) const
{
    if (isRecordedEnd(record.stage) || record.order.cluster != this->own.cluster
        || this->own.condition != UpstreamCondition::Ready)
        return false;
    const auto selected = this->participants.find(record.order.cluster);
    return selected != this->participants.end()
           && (selected->second.canaries.contains(this->settings.nodeId)
               || selected->second.comparisons.contains(this->settings.nodeId));
}

void RolloutControl::recordOutcome(const UpstreamOutcome &outcome)
{
    if (!this->observing)
        return;
    const std::lock_guard guard(this->tallyMutex);
    this->tally.record(outcome.kind, outcome.failed, outcome.runTime);
}

void RolloutControl::observeOwnUpstream(Instant now)
{
    const RolloutRecord *record = this->book.find(this->own.cluster);
    const bool takesPart = record != nullptr && this->takesPart(*record);
    this->observing = takesPart;
    if (!takesPart || now < this->nextReportAt)
        return;
    this->nextReportAt = now + reportInterval;
    const UpstreamReport report = this->makeReport(*record);
    if (report.routes.empty())
        return;
    const std::string encoded = encodeReport(report);
    for (const std::string &judge : this->participants[record->order.cluster].judges) {
        if (judge == this->settings.nodeId)
            this->reportReceived(now, judge, encoded);
        else
            this->hooks.sendReport(judge, encoded);
    }
}

UpstreamReport RolloutControl::makeReport(const RolloutRecord &record)
{
    const std::lock_guard guard(this->tallyMutex);
    if (this->tallySequence != record.order.sequence) {
        this->tallySequence = record.order.sequence;
        this->tally.reset();
        this->reportNumber = 0;
    }
    return {record.order.cluster, record.order.sequence, this->own.version, ++this->reportNumber,
            this->tally.figures()};
}

void RolloutControl::reportReceived(Instant now, const std::string &sender, const std::string &report)
{
    const Result<UpstreamReport> decoded = decodeReport(report, sender);
    if (!decoded)
        return this->log.messageRefused(decoded.error());
    const RolloutRecord *record = this->book.find(decoded.value().cluster);
    if (record != nullptr && record->order.sequence == decoded.value().sequence)
        this->judgingOf(*record).judge.addReport(now, sender, decoded.value());
}

RolloutControl::Judging &RolloutControl::judgingOf(const RolloutRecord &record)
{
    std::unique_ptr<Judging> &judging = this->judgings[record.order.cluster];
    if (!judging || judging->sequence != record.order.sequence)
        judging = std::make_unique<Judging>(record.order.sequence, record);
    return *judging;
}

void RolloutControl::advance(Instant now)
{
    // A gate that was closed for a roll-out is opened again once its record is forgotten.
    if (this->book.records().empty() && this->use == UpstreamUse::Serving)
        return;
    this->refreshOwnUpstream();
    this->updateUpstreamUse(now);
    this->observeOwnUpstream(now);
    std::vector<std::string> clusters;
    for (const auto &[cluster, record] : this->book.records())
        clusters.push_back(cluster);
    for (const std::string &cluster : clusters)
        this->judge(now, *this->book.find(cluster));
    if (!this->book.forgetEnded(now - endedRetention))
        return;
    std::erase_if(this->participants, [this](const auto &entry) { return !this->book.find(entry.first); });
    std::erase_if(this->judgings, [this](const auto &entry) { return !this->book.find(entry.first); });
    this->hooks.versionsChanged();
}

std::optional<std::size_t> RolloutControl::judgeRank(const std::string &cluster) const
{
    const auto selected = this->participants.find(cluster);
    if (selected == this->participants.end())
        return std::nullopt;
    const std::vector<std::string> &judges = selected->second.judges;
    const auto self = std::ranges::find(judges, this->settings.nodeId);
    if (self == judges.end())
        return std::nullopt;
    return static_cast<std::size_t>(self - judges.begin());
}

void RolloutControl::judge(Instant now, const RolloutRecord &record)
{
    const std::optional<std::size_t> rank = this->judgeRank(record.order.cluster);
    if (!rank || isRecordedEnd(record.stage) || now - this->startedAt < judgingDelay)
        return;
    Judging &judging = this->judgingOf(record);
    this->recordStart(now, judging, record, *rank);
    this->propose(now, judging, record, *rank);
}

// A step is taken once it has been due for as long as the judges before this one may need.
void RolloutControl::propose(Instant now, Judging &judging, const RolloutRecord &record, std::size_t rank)
{
    const RolloutUpstreams upstreams = this->upstreamsOf(record);
    const RolloutAssessment assessment = judging.judge.assess(upstreams.targetAvailable);
    const std::optional<RolloutStep> step = nextStep(now, record, assessment, upstreams);
    if (!step) {
        judging.proposed.reset();
        return;
    }
    if (judging.proposed != step->stage) {
        judging.proposed = step->stage;
        judging.proposedAt = now;
    }
    if (now - judging.proposedAt < static_cast<std::int64_t>(rank) * delayPerJudge)
        return;
    if (isRecordedEnd(step->stage)) {
        if (judging.recording || now < judging.nextRecordAt)
            return;
        this->log.decided(record, *step, assessment, upstreams);
        return this->record(now, judging, record, step->stage);
    }
    this->log.decided(record, *step, assessment, upstreams);
    if (this->book.raiseStage(now, record.order.cluster, record.order.sequence, step->stage))
        this->recordChanged(now, record.order.cluster);
}

// The store also tells a node that was restarted, or learned of the order late, how it ended.
void RolloutControl::recordStart(Instant now, Judging &judging, const RolloutRecord &record, std::size_t rank)
{
    const Instant ordered = record.deadline - record.order.duration;
    const bool isTurn = now - ordered >= static_cast<std::int64_t>(rank) * 2 * delayPerJudge;
    if (!judging.startRecorded && !judging.recording && isTurn && now >= judging.nextRecordAt)
        this->record(now, judging, record, RolloutStage::Probing);
}

void RolloutControl::record(Instant now, Judging &judging, const RolloutRecord &record, RolloutStage stage)
{
    if (!this->port.record)
        return;
    judging.recording = true;
    judging.nextRecordAt = now + recordRetryInterval;
    this->port.record(
        record.order, stage, [this, order = record.order, stage](const Result<RolloutStage> &result) {
            const auto found = this->judgings.find(order.cluster);
            if (found == this->judgings.end() || found->second->sequence != order.sequence)
                return;
            found->second->recording = false;
            if (!result)
                return this->log.recordFailed(order, stage, result.error());
            found->second->startRecorded = true;
            this->log.recorded(order, result.value());
            if (isRecordedEnd(result.value())
                && this->book.raiseStage(this->hooks.now(), order.cluster, order.sequence, result.value()))
                this->recordChanged(this->hooks.now(), order.cluster);
        });
}

RolloutUpstreams RolloutControl::upstreamsOf(const RolloutRecord &record) const
{
    RolloutUpstreams upstreams;
    for (const Member &member : this->members) {
        if (member.cluster != record.order.cluster || !isPresentMember(member))
            continue;
        const bool available = takesCalls(member);
        if (member.version == record.order.target) {
            upstreams.targetAvailable += available ? 1 : 0;
            upstreams.targetSlots += available ? member.slots : 0;
        } else {
            upstreams.establishedAvailable += available ? 1 : 0;
            upstreams.establishedSlots += available ? member.slots : 0;
            upstreams.establishedBusy += available || member.upstream == UpstreamState::Draining ? 1 : 0;
        }
    }
    return upstreams;
}

} // namespace Sagecrank

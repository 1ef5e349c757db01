// Polls the head, pulls versions from peers and the platform, and serves them to peers.
#include "ControlFollower.h"

#include "ControlClient.h"

#include <LibConfig/Delta.h>

#include <algorithm>
#include <span>

namespace Sagecrank {

namespace {

constexpr Duration advanceInterval = Milliseconds(100);

// At one change every 11 s, eight versions cover about 90 s; a peer that is further behind gets a full copy.
// Each version takes about 0.5 MB at 820 services.
constexpr std::size_t maximumRecentVersions = 8;

// A new node falls back to the version of its peers only after the newest one has had time to reach them.
constexpr Duration agreedVersionDelay = Milliseconds(3000);

std::string toString(const std::vector<std::byte> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::span<const std::byte> asBytes(const std::string &text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

// The base of the first delta of a node that holds no version.
SiteConfiguration emptySite(const std::string &site)
{
    SiteConfiguration empty;
    empty.manifest.site = site;
    return empty;
}

PullFailure pullFailureOf(const Error &error)
{
    switch (error.kind) {
    case ErrorKind::InvalidInput:
    case ErrorKind::TooLarge:
    case ErrorKind::Conflict:
        return PullFailure::Invalid;
    case ErrorKind::NotFound:
        return PullFailure::Missing;
    default:
        return PullFailure::Unreachable;
    }
}

} // namespace

ControlFollower::ControlFollower(boost::asio::io_context &context, std::string nodeId, std::string site,
                                 VersionSource source, FollowerSettings settings, FollowerHooks hooks,
                                 std::uint64_t seed)
    : context(context)
    , pollTimer(context)
    , advanceTimer(context)
    , nodeId(std::move(nodeId))
    , site(std::move(site))
    , source(std::move(source))
    , hooks(std::move(hooks))
    , poll(settings.poll, seed)
    , plan(settings.pull, seed + 1)
{
}

void ControlFollower::start()
{
    this->startedAt = SteadyClock::now();
    this->sourceAnsweredAt = this->startedAt;
    this->poll.start(this->startedAt, this->hooks.hasView());
    this->schedulePoll();
    this->advance();
}

void ControlFollower::stop()
{
    this->stopped = true;
    this->pollTimer.cancel();
    this->advanceTimer.cancel();
}

void ControlFollower::readHeadFirst()
{
    this->poll.readFirst(SteadyClock::now());
    this->schedulePoll();
}

void ControlFollower::versionAnnounced(const ConfigurationVersion &version)
{
    this->plan.setTarget(version, SteadyClock::now());
    this->pullIfNeeded();
}

std::uint64_t ControlFollower::heldVersion() const
{
    return this->recent.empty() ? 0 : this->recent.back()->manifest.version;
}

HeadPoller ControlFollower::poller() const
{
    const bool knowsVersion = this->plan.targetVersion().version != 0;
    return {this->hooks.rank(), this->hooks.knowsPeers(), this->hooks.knowsZone(), knowsVersion};
}

void ControlFollower::pollHead()
{
    const HeadStep step = this->poll.next(SteadyClock::now(), this->poller());
    for (const OverdueRead &read : step.overdue) {
        ++this->counts.headReadFailures;
        this->reportSourceFailure(makeError(ErrorKind::Timeout, "read head", "", "no answer in time"),
                                  read.waited, read.failures);
    }
    if (step.begin)
        this->readHead(*step.begin);
    this->schedulePoll();
}

void ControlFollower::schedulePoll()
{
    this->pollTimer.expires_at(this->poll.wakeAt());
    this->pollTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->stopped)
            this->pollHead();
    });
}

void ControlFollower::readHead(const HeadRead &read)
{
    const std::uint64_t known = this->plan.targetVersion().version;
    HeadQuery query;
    // Only the fast pollers use long polling; the others read once, to spare the source.
    if (read.longPoll)
        query.knownVersion = known;
    query.maximumWait = read.hold;
    query.freshConnection = read.isRetry;
    this->source.readHead(query, [this, read, known, begun = SteadyClock::now()](Result<Head> head) {
        if (this->stopped)
            return;
        if (head)
            this->headRead(read, known, head.assume_value());
        else
            this->headReadFailed(read, head.assume_error(), SteadyClock::now() - begun);
        this->schedulePoll();
    });
}

void ControlFollower::headRead(const HeadRead &read, std::uint64_t known, const Head &found)
{
    const Instant now = SteadyClock::now();
    if (this->poll.consecutiveFailures() != 0 && this->hooks.sourceRecovered)
        this->hooks.sourceRecovered(
            {now - this->sourceAnsweredAt, this->poll.consecutiveFailures(), found.version});
    this->sourceAnsweredAt = now;
    this->poll.answered(now, this->poller(), read.number, found.version > known);
    const ConfigurationVersion head{found.version, found.digest.high, found.digest.low};
    this->plan.sourceReported(head, now);
    if (found.storeTime && this->hooks.headProven)
        this->hooks.headProven(head.version, *found.storeTime);
    if (head.version != 0)
        this->hooks.headRead(head);
}

void ControlFollower::headReadFailed(const HeadRead &read, const Error &error, Duration waited)
{
    if (!this->poll.failed(SteadyClock::now(), this->poller(), read.number))
        return; // Already reported as overdue.
    ++this->counts.headReadFailures;
    // The source answers, but with a head that cannot be decoded. No new version is applied until it is
    // repaired, and only this log line says why.
    if (error.kind == ErrorKind::InvalidInput)
        this->hooks.failed(error);
    else
        this->reportSourceFailure(error, waited, this->poll.consecutiveFailures());
}

void ControlFollower::reportSourceFailure(const Error &error, Duration waited, std::uint32_t failures)
{
    const Duration retryIn = std::max(this->poll.wakeAt() - SteadyClock::now(), Duration::zero());
    if (this->hooks.sourceFailed)
        this->hooks.sourceFailed({error, waited, failures, retryIn});
}

Duration ControlFollower::sourceAge() const
{
    return SteadyClock::now() - this->sourceAnsweredAt;
}

void ControlFollower::advance()
{
    if (this->stopped)
        return;
    const Instant now = SteadyClock::now();
    const std::uint64_t held = this->heldVersion();
    if (held == 0 && now - this->startedAt > agreedVersionDelay && !this->plan.hasOpenPulls())
        this->fallBackToAgreedVersion(now);
    this->pullIfNeeded();
    this->updatePollRank(now);
    this->advanceTimer.expires_after(advanceInterval);
    this->advanceTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->advance();
    });
}

void ControlFollower::updatePollRank(Instant now)
{
    const Instant before = this->poll.wakeAt();
    this->poll.rankChanged(now, this->poller());
    if (this->poll.wakeAt() != before)
        this->schedulePoll();
}

void ControlFollower::pullIfNeeded()
{
    const std::uint64_t held = this->heldVersion();
    if (this->stopped || this->plan.targetVersion().version <= held)
        return;
    const Instant now = SteadyClock::now();
    for (const OverduePull &pull : this->plan.takeOverdue(now))
        this->reportOverduePull(pull);
    // Accepts any peer that holds a newer version than this node, not only holders of the target version.
    // When versions are published faster than gossip spreads who holds the newest, no holder of it may be
    // known, and the node would stay many versions behind for as long as that lasts.
    const auto holders = this->hooks.holders(held + 1);
    const PullStep step = this->plan.next(now, held, this->hooks.rank(), holders);
    if (step.source == PullSource::Platform)
        this->pullFromPlatform(step);
    else if (step.source != PullSource::None)
        this->pullFromPeer(step);
}

void ControlFollower::reportOverduePull(const OverduePull &pull)
{
    const std::string waited = std::to_string(wholeMilliseconds(pull.waited));
    this->hooks.failed(makeError(ErrorKind::Timeout, "pull version", pull.step.holder.id,
                                 "no response after " + waited + " ms; trying another source"));
}

// A node that starts during an outage of the platform would serve no calls until the outage ends. A version
// that two peers in the zone hold was accepted, so the node may use that one, and moves to a newer version
// once a peer has it.
void ControlFollower::fallBackToAgreedVersion(Instant now)
{
    if (this->hooks.holders(this->plan.targetVersion().version).empty())
        this->plan.setInterimTarget({corroboratedVersion(this->hooks.zoneVersions()), 0, 0}, now);
}

void ControlFollower::pullFromPlatform(const PullStep &step)
{
    ++this->counts.platformPulls;
    const auto held = this->recent.empty() ? nullptr : this->recent.back();
    this->source.readSite(held, [this, number = step.number](Result<SiteConfiguration> configuration) {
        if (this->stopped || !this->plan.isOpen(number))
            return;
        const Result<void> applied = this->applyPlatformResponse(std::move(configuration));
        if (applied) {
            this->plan.succeeded(number);
            return;
        }
        // An invalid version never becomes valid, so it is rejected permanently. A store that does not answer
        // is asked again later.
        const ErrorKind kind = applied.error().kind;
        const bool invalid = kind == ErrorKind::InvalidInput || kind == ErrorKind::TooLarge;
        this->pullFailed(number, applied.error(), invalid ? PullFailure::Invalid : PullFailure::Unreachable);
    });
}

// The source may hold a newer version than the target.
Result<void> ControlFollower::applyPlatformResponse(Result<SiteConfiguration> configuration)
{
    SiteConfiguration found = TRY(std::move(configuration));
    this->plan.setTarget({found.manifest.version, 0, 0}, SteadyClock::now());
    return this->apply(std::move(found));
}

void ControlFollower::pullFromPeer(const PullStep &step)
{
    ++this->counts.peerPulls;
    const std::uint64_t held = this->heldVersion();
    const PullRequest request{this->nodeId, this->site, held + 1, held};
    const std::string peer = step.holder.controlAddress;
    const std::uint64_t number = step.number;
    Sagecrank::pullFromPeer(this->context, peer, request, [this, peer, number](Result<PullResult> answer) {
        if (this->stopped || !this->plan.isOpen(number))
            return;
        if (!answer)
            return this->pullFailed(number, answer.assume_error(), PullFailure::Unreachable);
        const PullResult &pulled = answer.assume_value();
        this->counts.pulledBytes += pulled.receivedBytes;
        const PullResponse &response = pulled.response;
        const auto pause = Milliseconds(std::min(response.retryAfterMilliseconds, std::uint32_t{5000}));
        if (response.answer == PullAnswer::Busy) {
            this->plan.failed(SteadyClock::now(), number, PullFailure::Busy, pause);
            return;
        }
        if (response.answer == PullAnswer::Missing) {
            this->plan.failed(SteadyClock::now(), number, PullFailure::Missing, {});
            return;
        }
        const Result<void> applied = this->applyPeerResponse(response);
        if (applied) {
            this->plan.succeeded(number);
            return;
        }
        Error error = applied.error();
        error.peer = peer;
        this->pullFailed(number, error, pullFailureOf(error));
    });
}

Result<void> ControlFollower::applyPeerResponse(const PullResponse &response)
{
    const SiteDelta delta = TRY(decodeDelta(asBytes(response.payload)));
    if (response.answer == PullAnswer::Delta && !this->recent.empty())
        return this->apply(TRY(applyDelta(*this->recent.back(), delta)));
    ++this->counts.wholePulls;
    return this->apply(TRY(applyDelta(emptySite(this->site), delta)));
}

Result<void> ControlFollower::apply(SiteConfiguration configuration)
{
    auto applied = std::make_shared<const SiteConfiguration>(configuration);
    TRY_VOID(this->hooks.offer(std::move(configuration)));
    this->recent.push_back(applied);
    if (this->recent.size() > maximumRecentVersions)
        this->recent.pop_front();
    this->deltas.clear();
    this->hooks.versionApplied(applied->manifest.version);
    return success();
}

void ControlFollower::pullFailed(std::uint64_t number, const Error &error, PullFailure failure)
{
    ++this->counts.pullFailures;
    const ConfigurationVersion target = this->plan.targetVersion();
    this->plan.failed(SteadyClock::now(), number, failure, {});
    if (this->plan.isRejected(target))
        ++this->counts.refusedVersions;
    this->hooks.failed(error);
}

PullResponse ControlFollower::serve(const PullRequest &request)
{
    PullResponse response;
    const std::uint64_t held = this->heldVersion();
    if (held == 0 || request.site != this->site || held < request.wantedVersion
        || request.baseVersion >= held)
        return response;
    SiteConfiguration empty = emptySite(this->site);
    const SiteConfiguration *base = &empty;
    for (const auto &version : this->recent) {
        if (version->manifest.version == request.baseVersion)
            base = version.get();
    }
    response.answer = base == &empty ? PullAnswer::Full : PullAnswer::Delta;
    response.version = held;
    std::string &payload = this->deltas[base->manifest.version];
    if (payload.empty())
        payload = toString(encodeDelta(makeDelta(*base, *this->recent.back())));
    response.payload = payload;
    return response;
}

} // namespace Sagecrank

// Reading the head, pulling from peers, taking in and serving.
#include "ControlFollower.h"

#include "ControlClient.h"

#include <LibConfig/Delta.h>

#include <algorithm>
#include <span>

namespace Sagecrank {

namespace {

constexpr Duration advanceInterval = Milliseconds(100);

// At a change each eleven seconds, eight versions are a minute and a half; who is further behind gets the
// whole. Each costs about half a megabyte at 820 services.
constexpr std::size_t recentVersions = 8;

// A fresh node settles for what its peers hold only after the newest version had time to reach them.
constexpr Duration settleAfter = Milliseconds(3000);

std::string asText(const std::vector<std::byte> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::span<const std::byte> asBytes(const std::string &text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

// What a node that holds nothing starts a delta from.
SiteConfiguration emptySite(const std::string &site)
{
    SiteConfiguration empty;
    empty.manifest.site = site;
    return empty;
}

PullFailure failureOf(const Error &error)
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
    this->started = SteadyClock::now();
    this->sourceAnswered = this->started;
    this->poll.start(this->started, this->hooks.hasView());
    this->pollLater();
    this->advance();
}

void ControlFollower::stop()
{
    this->stopped = true;
    this->pollTimer.cancel();
    this->advanceTimer.cancel();
}

void ControlFollower::versionAnnounced(const ConfigurationVersion &mark)
{
    this->plan.setTarget(mark, SteadyClock::now());
    this->pullIfNeeded();
}

std::uint64_t ControlFollower::heldVersion() const
{
    return this->recent.empty() ? 0 : this->recent.back()->manifest.version;
}

HeadPoller ControlFollower::poller() const
{
    return {this->hooks.rank(), this->hooks.knowsPeers()};
}

void ControlFollower::pollHead()
{
    const HeadStep step = this->poll.next(SteadyClock::now(), this->poller());
    for (const OverdueRead &read : step.overdue) {
        ++this->counts.headReadFailures;
        this->tellSourceFailed(makeError(ErrorKind::Timeout, "read head", "", "no answer in time"),
                               read.waited, read.failures);
    }
    if (step.begin)
        this->readHead(*step.begin);
    this->pollLater();
}

void ControlFollower::pollLater()
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
    // Only those who read often wait for news; the others look once and leave the source alone.
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
        this->pollLater();
    });
}

void ControlFollower::headRead(const HeadRead &read, std::uint64_t known, const Head &found)
{
    const Instant now = SteadyClock::now();
    if (this->poll.consecutiveFailures() != 0 && this->hooks.sourceRecovered)
        this->hooks.sourceRecovered(
            {now - this->sourceAnswered, this->poll.consecutiveFailures(), found.version});
    this->sourceAnswered = now;
    this->poll.answered(now, this->poller(), read.number, found.version > known);
    const ConfigurationVersion mark{found.version, found.digest.high, found.digest.low};
    this->plan.sourceReported(mark, now);
    if (mark.version != 0)
        this->hooks.headRead(mark);
}

void ControlFollower::headReadFailed(const HeadRead &read, const Error &error, Duration waited)
{
    if (!this->poll.failed(SteadyClock::now(), this->poller(), read.number))
        return; // Told when it was overdue.
    ++this->counts.headReadFailures;
    // It answers, with something that cannot be read: nothing new comes into force until it is mended, and
    // only this line says why.
    if (error.kind == ErrorKind::InvalidInput)
        this->hooks.failed(error);
    else
        this->tellSourceFailed(error, waited, this->poll.consecutiveFailures());
}

void ControlFollower::tellSourceFailed(const Error &error, Duration waited, std::uint32_t failures)
{
    const Duration retryIn = std::max(this->poll.wakeAt() - SteadyClock::now(), Duration::zero());
    if (this->hooks.sourceFailed)
        this->hooks.sourceFailed({error, waited, failures, retryIn});
}

Duration ControlFollower::sourceAge() const
{
    return SteadyClock::now() - this->sourceAnswered;
}

void ControlFollower::advance()
{
    if (this->stopped)
        return;
    const Instant now = SteadyClock::now();
    const std::uint64_t held = this->heldVersion();
    if (held == 0 && now - this->started > settleAfter && !this->plan.hasOpenPulls())
        this->wantAgreedVersion(now);
    this->pullIfNeeded();
    this->considerRank(now);
    this->advanceTimer.expires_after(advanceInterval);
    this->advanceTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->advance();
    });
}

void ControlFollower::considerRank(Instant now)
{
    const Instant before = this->poll.wakeAt();
    this->poll.rankChanged(now, this->poller());
    if (this->poll.wakeAt() != before)
        this->pollLater();
}

void ControlFollower::pullIfNeeded()
{
    const std::uint64_t held = this->heldVersion();
    if (this->stopped || this->plan.targetVersion().version <= held)
        return;
    const Instant now = SteadyClock::now();
    for (const OverduePull &pull : this->plan.takeOverdue(now))
        this->tellOverdue(pull);
    // Failure: versions come faster than nodes hear who holds the newest. Symptom: nobody known holds the one
    // that is wanted, and a node stays behind by many versions for as long as that lasts. Whoever holds a
    // newer one than this node brings it closer.
    const auto holders = this->hooks.holders(held + 1);
    const PullStep step = this->plan.next(now, held, this->hooks.rank(), holders);
    if (step.source == PullSource::Platform)
        this->pullFromPlatform(step);
    else if (step.source != PullSource::None)
        this->pullFromPeer(step);
}

void ControlFollower::tellOverdue(const OverduePull &pull)
{
    const std::string waited = std::to_string(wholeMilliseconds(pull.waited));
    this->hooks.failed(makeError(ErrorKind::Timeout, "pull version", pull.step.holder.id,
                                 "no answer after " + waited + " ms; it is asked elsewhere"));
}

// Load: hosts are replaced while the platform is out. Harm: a node without a configuration serves nobody for
// the whole of the outage. The version that two peers of the zone hold was accepted, so it may take that, and
// goes on to a newer one once somebody has it.
void ControlFollower::wantAgreedVersion(Instant now)
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
        const Result<void> taken = this->takePlatformAnswer(std::move(configuration));
        if (taken) {
            this->plan.succeeded(number);
            return;
        }
        // A version that does not check will not check tomorrow: it is refused whole and for good. A store
        // that does not answer is asked again later.
        const ErrorKind kind = taken.error().kind;
        const bool invalid = kind == ErrorKind::InvalidInput || kind == ErrorKind::TooLarge;
        this->fail(number, taken.error(), invalid ? PullFailure::Invalid : PullFailure::Unreachable);
    });
}

// The source may have gone on since the version that was wanted was heard of.
Result<void> ControlFollower::takePlatformAnswer(Result<SiteConfiguration> configuration)
{
    SiteConfiguration found = TRY(std::move(configuration));
    this->plan.setTarget({found.manifest.version, 0, 0}, SteadyClock::now());
    return this->take(std::move(found));
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
            return this->fail(number, answer.assume_error(), PullFailure::Unreachable);
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
        const Result<void> taken = this->takePeerAnswer(response);
        if (taken) {
            this->plan.succeeded(number);
            return;
        }
        Error error = taken.error();
        error.peer = peer;
        this->fail(number, error, failureOf(error));
    });
}

Result<void> ControlFollower::takePeerAnswer(const PullResponse &response)
{
    const SiteDelta delta = TRY(decodeDelta(asBytes(response.payload)));
    if (response.answer == PullAnswer::Delta && !this->recent.empty())
        return this->take(TRY(applyDelta(*this->recent.back(), delta)));
    ++this->counts.wholePulls;
    return this->take(TRY(applyDelta(emptySite(this->site), delta)));
}

Result<void> ControlFollower::take(SiteConfiguration configuration)
{
    auto kept = std::make_shared<const SiteConfiguration>(configuration);
    TRY_VOID(this->hooks.offer(std::move(configuration)));
    this->recent.push_back(kept);
    if (this->recent.size() > recentVersions)
        this->recent.pop_front();
    this->deltas.clear();
    this->hooks.versionApplied(kept->manifest.version);
    return success();
}

void ControlFollower::fail(std::uint64_t number, const Error &error, PullFailure failure)
{
    ++this->counts.pullFailures;
    const ConfigurationVersion mark = this->plan.targetVersion();
    this->plan.failed(SteadyClock::now(), number, failure, {});
    if (this->plan.isRejected(mark))
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
    SiteConfiguration nothing = emptySite(this->site);
    const SiteConfiguration *base = &nothing;
    for (const auto &version : this->recent) {
        if (version->manifest.version == request.baseVersion)
            base = version.get();
    }
    response.answer = base == &nothing ? PullAnswer::Full : PullAnswer::Delta;
    response.version = held;
    std::string &payload = this->deltas[base->manifest.version];
    if (payload.empty())
        payload = asText(encodeDelta(makeDelta(*base, *this->recent.back())));
    response.payload = payload;
    return response;
}

} // namespace Sagecrank

// Converts between notices of the mesh and crash reports, and applies them to requests.
#include "RequestQuarantine.h"

#include "RequestFingerprint.h"

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr auto noticeLifetimeSeconds =
    static_cast<std::uint16_t>(std::chrono::duration_cast<std::chrono::seconds>(crashReportLifetime).count());

constexpr std::uint64_t millisecondsPerSecond = 1000;

Notice noticeOf(RequestFingerprint request, std::uint64_t crash, CrashReportState state,
                std::uint16_t lifetimeSeconds)
{
    return {request, crash, static_cast<std::uint8_t>(state), lifetimeSeconds};
}

// Ignores notices with unknown states, which a newer version of the protocol may send.
std::vector<CrashReport> reportsOf(Instant now, const std::vector<Notice> &notices)
{
    std::vector<CrashReport> reports;
    for (const Notice &notice : notices) {
        if (notice.state <= static_cast<std::uint8_t>(CrashReportState::Cleared))
            reports.push_back({notice.subject, notice.source, static_cast<CrashReportState>(notice.state),
                               now + std::chrono::seconds(notice.timeToLiveSeconds)});
    }
    return reports;
}

} // namespace

RequestQuarantine::RequestQuarantine(RequestQuarantineHooks hooks)
    : hooks(std::move(hooks))
{
}

QuarantineHooks RequestQuarantine::requestHooks()
{
    QuarantineHooks requestHooks;
    requestHooks.remainingQuarantine = [this](const CallRequest &request) {
        return this->remainingQuarantine(request);
    };
    requestHooks.reportCrash = [this](const std::vector<RequestFingerprint> &requests) {
        this->reportCrash(requests);
    };
    requestHooks.reportAnswer = [this](const CallRequest &request) { this->reportAnswer(request); };
    return requestHooks;
}

std::optional<Duration> RequestQuarantine::remainingQuarantine(const CallRequest &request) const
{
    const RcuPointer<View>::Reader view(this->view);
    if (!view)
        return std::nullopt;
    const Instant now = SteadyClock::now();
    for (const RequestFingerprint fingerprint : fingerprintsOf(request)) {
        if (const auto until = view->quarantine.refusedUntil(fingerprint, now))
            return *until - now;
    }
    return std::nullopt;
}

void RequestQuarantine::reportCrash(const std::vector<RequestFingerprint> &requests) const
{
    const std::uint64_t crash = this->hooks.random();
    std::vector<Notice> notices;
    for (const RequestFingerprint request : requests) {
        notices.push_back(noticeOf(request, crash, CrashReportState::Crashed, noticeLifetimeSeconds));
        this->hooks.publish(notices.back());
    }
    this->hooks.crashesReported(notices);
}

void RequestQuarantine::reportAnswer(const CallRequest &request)
{
    const std::vector<RequestFingerprint> fingerprints = fingerprintsOf(request);
    {
        const std::lock_guard guard(this->mutex);
        for (const RequestFingerprint fingerprint : fingerprints)
            this->recentAnswers.record(SteadyClock::now(), fingerprint);
    }
    const RcuPointer<View>::Reader view(this->view);
    if (!view)
        return;
    for (const CrashReport &report : view->reports) {
        const bool isSuspected = report.state == CrashReportState::Crashed
                                 && std::ranges::find(fingerprints, report.request) != fingerprints.end();
        if (isSuspected)
            this->hooks.publish(
                noticeOf(report.request, report.crash, CrashReportState::Cleared, noticeLifetimeSeconds));
    }
}

// Clears crash reports of requests that were answered recently. If one request crashes all upstreams of a
// service, another request that many callers send is running at each of the crashes, and would be refused for
// minutes as well.
void RequestQuarantine::clearRecentlyAnswered(Instant now, const std::vector<CrashReport> &reports) const
{
    for (const CrashReport &report : reports) {
        bool answeredRecently = false;
        {
            const std::lock_guard guard(this->mutex);
            answeredRecently = this->recentAnswers.contains(now, report.request);
        }
        if (answeredRecently && report.state == CrashReportState::Crashed)
            this->hooks.publish(
                noticeOf(report.request, report.crash, CrashReportState::Cleared, noticeLifetimeSeconds));
    }
}

void RequestQuarantine::update(Instant now, const std::vector<Notice> &notices)
{
    const std::vector<CrashReport> reports = reportsOf(now, notices);
    this->clearRecentlyAnswered(now, reports);
    const CrashQuarantine next(reports);
    this->reportChanges(next);
    this->view.replace(reports.empty() ? nullptr : std::make_unique<const View>(View{reports, next}));
}

void RequestQuarantine::reportChanges(const CrashQuarantine &next)
{
    std::vector<RequestFingerprint> refused = next.refusedRequests();
    std::ranges::sort(refused);
    for (const RequestFingerprint request : refused) {
        if (!std::ranges::binary_search(this->previouslyRefused, request))
            this->hooks.quarantined(request);
    }
    for (const RequestFingerprint request : this->previouslyRefused) {
        if (!std::ranges::binary_search(refused, request))
            this->hooks.released(request);
    }
    this->previouslyRefused = std::move(refused);
}

std::vector<CrashRecord> keptCrashes(const std::vector<Notice> &notices, std::uint64_t now)
{
    std::vector<CrashRecord> crashes;
    for (const Notice &notice : notices)
        crashes.push_back({notice.subject, notice.source,
                           now + std::uint64_t{notice.timeToLiveSeconds} * millisecondsPerSecond});
    return crashes;
}

// The lifetime is clamped, so that a clock that was set back does not extend it.
std::vector<Notice> noticesOf(const std::vector<CrashRecord> &crashes, std::uint64_t now)
{
    std::vector<Notice> notices;
    for (const CrashRecord &crash : crashes) {
        const std::uint64_t remaining = crash.expiresAt > now ? crash.expiresAt - now : 0;
        const std::uint64_t lifetime =
            std::min<std::uint64_t>(remaining / millisecondsPerSecond, noticeLifetimeSeconds);
        if (lifetime > 0)
            notices.push_back(noticeOf(crash.request, crash.crash, CrashReportState::Crashed,
                                       static_cast<std::uint16_t>(lifetime)));
    }
    return notices;
}

} // namespace Sagecrank

// Between notices of the mesh and the requests that they are about.
#include "RequestQuarantine.h"

#include "RequestFingerprint.h"

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr auto noticeLife =
    static_cast<std::uint16_t>(std::chrono::duration_cast<std::chrono::seconds>(crashReportLifetime).count());

constexpr std::uint64_t millisecondsPerSecond = 1000;

Notice noticeOf(RequestFingerprint request, std::uint64_t crash, CrashReportState state, std::uint16_t life)
{
    return {request, crash, static_cast<std::uint8_t>(state), life};
}

// Those of a newer version of this protocol, with states that mean something else, are left alone.
std::vector<CrashReport> reportsOf(Instant now, const std::vector<Notice> &notices)
{
    std::vector<CrashReport> reports;
    for (const Notice &notice : notices) {
        if (notice.state <= static_cast<std::uint8_t>(CrashReportState::Cleared))
            reports.push_back({notice.subject, notice.source, static_cast<CrashReportState>(notice.state),
                               now + std::chrono::seconds(notice.lifeSeconds)});
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
    QuarantineHooks made;
    made.remainingQuarantine = [this](const CallRequest &request) { return this->refusedFor(request); };
    made.reportCrash = [this](const std::vector<RequestFingerprint> &requests) { this->crashed(requests); };
    made.reportAnswer = [this](const CallRequest &request) { this->answered(request); };
    return made;
}

std::optional<Duration> RequestQuarantine::refusedFor(const CallRequest &request) const
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

void RequestQuarantine::crashed(const std::vector<RequestFingerprint> &requests) const
{
    const std::uint64_t crash = this->hooks.random();
    std::vector<Notice> notices;
    for (const RequestFingerprint request : requests) {
        notices.push_back(noticeOf(request, crash, CrashReportState::Crashed, noticeLife));
        this->hooks.publish(notices.back());
    }
    this->hooks.crashesReported(notices);
}

void RequestQuarantine::answered(const CallRequest &request)
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
        const bool concerned = report.state == CrashReportState::Crashed
                               && std::ranges::find(fingerprints, report.request) != fingerprints.end();
        if (concerned)
            this->hooks.publish(
                noticeOf(report.request, report.crash, CrashReportState::Cleared, noticeLife));
    }
}

// Failure: all upstreams of a service end under one request. Symptom: another that many send ran at each of
// the crashes, and is refused with it for minutes.
void RequestQuarantine::clearAnswered(Instant now, const std::vector<CrashReport> &reports) const
{
    for (const CrashReport &report : reports) {
        bool recent = false;
        {
            const std::lock_guard guard(this->mutex);
            recent = this->recentAnswers.contains(now, report.request);
        }
        if (recent && report.state == CrashReportState::Crashed)
            this->hooks.publish(
                noticeOf(report.request, report.crash, CrashReportState::Cleared, noticeLife));
    }
}

void RequestQuarantine::update(Instant now, const std::vector<Notice> &notices)
{
    const std::vector<CrashReport> reports = reportsOf(now, notices);
    this->clearAnswered(now, reports);
    const CrashQuarantine next(reports);
    this->logChanges(next);
    this->view.replace(reports.empty() ? nullptr : std::make_unique<const View>(View{reports, next}));
}

void RequestQuarantine::logChanges(const CrashQuarantine &next)
{
    std::vector<RequestFingerprint> refused = next.refusedRequests();
    std::ranges::sort(refused);
    for (const RequestFingerprint request : refused) {
        if (!std::ranges::binary_search(this->refusedBefore, request))
            this->hooks.quarantined(request);
    }
    for (const RequestFingerprint request : this->refusedBefore) {
        if (!std::ranges::binary_search(refused, request))
            this->hooks.released(request);
    }
    this->refusedBefore = std::move(refused);
}

std::vector<KeptCrash> keptCrashes(const std::vector<Notice> &notices, std::uint64_t now)
{
    std::vector<KeptCrash> crashes;
    for (const Notice &notice : notices)
        crashes.push_back(
            {notice.subject, notice.source, now + std::uint64_t{notice.lifeSeconds} * millisecondsPerSecond});
    return crashes;
}

// A clock that was set back must not lengthen a life.
std::vector<Notice> noticesOf(const std::vector<KeptCrash> &crashes, std::uint64_t now)
{
    std::vector<Notice> notices;
    for (const KeptCrash &crash : crashes) {
        const std::uint64_t left = crash.expiresAt > now ? crash.expiresAt - now : 0;
        const std::uint64_t life = std::min<std::uint64_t>(left / millisecondsPerSecond, noticeLife);
        if (life > 0)
            notices.push_back(noticeOf(crash.request, crash.crash, CrashReportState::Crashed,
                                       static_cast<std::uint16_t>(life)));
    }
    return notices;
}

} // namespace Sagecrank

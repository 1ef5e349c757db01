// Counting crashes, and telling them from broken connections.
#include <LibDecide/CrashQuarantine.h>

#include <algorithm>
#include <functional>

namespace Sagecrank {

namespace {

// An upstream that crashed is seen to be gone, or back, within this.
constexpr Duration confirmationTime = std::chrono::seconds(10);

// More than any upstream has slots for.
constexpr std::size_t mostBreaks = 1024;

} // namespace

CrashQuarantine::CrashQuarantine(std::span<const CrashReport> reports)
{
    for (const CrashReport &report : reports) {
        if (report.state == CrashReportState::Crashed)
            this->suspicions[report.request].push_back(report.expiresAt);
    }
    for (auto &[request, crashes] : this->suspicions)
        std::ranges::sort(crashes, std::greater<>());
}

std::optional<Instant> CrashQuarantine::refusedUntil(RequestFingerprint request, Instant now) const
{
    const auto found = this->suspicions.find(request);
    if (found == this->suspicions.end() || found->second.size() < crashesToQuarantine)
        return std::nullopt;
    // From then on too few are left.
    const Instant until = found->second[crashesToQuarantine - 1];
    return until > now ? std::optional(until) : std::nullopt;
}

std::vector<RequestFingerprint> CrashQuarantine::refusedRequests() const
{
    std::vector<RequestFingerprint> requests;
    for (const auto &[request, crashes] : this->suspicions) {
        if (crashes.size() >= crashesToQuarantine)
            requests.push_back(request);
    }
    return requests;
}

void RecentAnswers::record(Instant now, RequestFingerprint request)
{
    this->answers[request % places] = {request, now};
}

bool RecentAnswers::contains(Instant now, RequestFingerprint request) const
{
    const Answer &answer = this->answers[request % places];
    return answer.request == request && now - answer.at <= recentAnswerWindow;
}

void CrashDetector::recordBrokenConnection(Instant now, RequestFingerprint request)
{
    std::erase_if(this->breaks, [now](const Break &one) { return now - one.at > confirmationTime; });
    if (this->breaks.size() < mostBreaks)
        this->breaks.push_back({request, now});
}

void CrashDetector::recordAnswer(Instant sent)
{
    std::erase_if(this->breaks, [sent](const Break &one) { return one.at < sent; });
}

std::vector<RequestFingerprint> CrashDetector::recordUpstreamExit(Instant now)
{
    std::vector<RequestFingerprint> requests;
    for (const Break &one : this->breaks) {
        if (now - one.at <= confirmationTime)
            requests.push_back(one.request);
    }
    this->breaks.clear();
    std::ranges::sort(requests);
    requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
    return requests;
}

} // namespace Sagecrank

// Counts crashes for each request and distinguishes crashes from broken connections.
#include <LibDecide/CrashQuarantine.h>

#include <algorithm>
#include <functional>

namespace Sagecrank {

namespace {

// A crashed upstream is seen to be gone, or to have restarted, within this time.
constexpr Duration confirmationTime = std::chrono::seconds(10);

// More than any upstream has slots.
constexpr std::size_t maximumBrokenConnections = 1024;

} // namespace

CrashQuarantine::CrashQuarantine(std::span<const CrashReport> reports)
{
    for (const CrashReport &report : reports) {
        if (report.state == CrashReportState::Crashed)
            this->crashExpiries[report.request].push_back(report.expiresAt);
    }
    for (auto &[request, crashes] : this->crashExpiries)
        std::ranges::sort(crashes, std::greater<>());
}

std::optional<Instant> CrashQuarantine::refusedUntil(RequestFingerprint request, Instant now) const
{
    const auto found = this->crashExpiries.find(request);
    if (found == this->crashExpiries.end() || found->second.size() < crashesToQuarantine)
        return std::nullopt;
    // Below the threshold once this crash has expired.
    const Instant until = found->second[crashesToQuarantine - 1];
    return until > now ? std::optional(until) : std::nullopt;
}

std::vector<RequestFingerprint> CrashQuarantine::refusedRequests() const
{
    std::vector<RequestFingerprint> requests;
    for (const auto &[request, crashes] : this->crashExpiries) {
        if (crashes.size() >= crashesToQuarantine)
            requests.push_back(request);
    }
    return requests;
}

void RecentAnswers::record(Instant now, RequestFingerprint request)
{
    this->answers[request % capacity] = {request, now};
}

bool RecentAnswers::contains(Instant now, RequestFingerprint request) const
{
    const Answer &answer = this->answers[request % capacity];
    return answer.request == request && now - answer.at <= recentAnswerWindow;
}

void CrashDetector::recordBrokenConnection(Instant now, RequestFingerprint request)
{
    std::erase_if(this->brokenConnections,
                  [now](const BrokenConnection &broken) { return now - broken.at > confirmationTime; });
    if (this->brokenConnections.size() < maximumBrokenConnections)
        this->brokenConnections.push_back({request, now});
}

void CrashDetector::recordAnswer(Instant sent)
{
    std::erase_if(this->brokenConnections,
                  [sent](const BrokenConnection &broken) { return broken.at < sent; });
}

std::vector<RequestFingerprint> CrashDetector::recordUpstreamExit(Instant now)
{
    std::vector<RequestFingerprint> requests;
    for (const BrokenConnection &broken : this->brokenConnections) {
        if (now - broken.at <= confirmationTime)
            requests.push_back(broken.request);
    }
    this->brokenConnections.clear();
    std::ranges::sort(requests);
    requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
    return requests;
}

} // namespace Sagecrank

// Keeps requests away from upstreams that they crash.
//
// Load: one request ends each upstream that runs it, and its caller sends it again, through any node. Harm:
// the service is down for everybody for as long as the caller tries. A gate that sees its upstream crash
// reports the requests that ran there; once a request has been running at several crashes, and was answered
// nowhere since, all nodes refuse it for a while.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

// Names a request by what makes it the same one when it is sent again.
using RequestFingerprint = std::uint64_t;

// A later one is stronger.
enum class CrashReportState : std::uint8_t {
    Crashed, // The upstream ended while it ran the request.
    Cleared, // The request was answered afterwards, so it was running there by chance.
};

inline constexpr EnumNames<CrashReportState, 2> crashReportStateNames{{
    {CrashReportState::Crashed, "crashed"},
    {CrashReportState::Cleared, "cleared"},
}};

// One request at one crash.
struct CrashReport
{
    RequestFingerprint request = 0;
    std::uint64_t crash = 0; // Unique to the crash.
    CrashReportState state = CrashReportState::Crashed;
    Instant expiresAt; // Forgotten then.
};

// By chance a request runs at one crash that others caused, and rarely at two.
inline constexpr std::size_t crashesToQuarantine = 3;

// How long a crash is held against a request: longer than a caller tries again, shorter than a repair of the
// service takes to be installed.
inline constexpr Duration crashReportLifetime = std::chrono::minutes(10);

// For how long before a crash an answer counts. A request that begins to crash upstreams only then is told by
// the crashes that come later.
inline constexpr Duration recentAnswerWindow = std::chrono::seconds(10);

// What all reports together say. Immutable, so that request threads share it.
class CrashQuarantine
{
public:
    explicit CrashQuarantine(std::span<const CrashReport> reports);

    // Until when the request is refused; nothing when it is not.
    std::optional<Instant> refusedUntil(RequestFingerprint request, Instant now) const;
    std::vector<RequestFingerprint> refusedRequests() const;

private:
    // When each crash that was not cleared is forgotten, the last one first.
    std::unordered_map<RequestFingerprint, std::vector<Instant>> suspicions;
};

// Which requests were answered lately. What many send runs at every crash, and once it is refused everywhere
// no answer can clear it any more. Bounded: of two that share a place the later one stays. Not thread-safe.
class RecentAnswers
{
public:
    void record(Instant now, RequestFingerprint request);
    bool contains(Instant now, RequestFingerprint request) const;

private:
    struct Answer
    {
        RequestFingerprint request = 0;
        Instant at{};
    };

    static constexpr std::size_t places = 4096;
    std::vector<Answer> answers = std::vector<Answer>(places);
};

// Tells an upstream's crash from a connection that broke for another reason. A broken connection alone proves
// nothing: it counts once the upstream refuses connections or another start of it is there, and not when the
// same upstream answers a later call. One stands for one gate; not thread-safe.
class CrashDetector
{
public:
    // Commands.

    // The connection of a call that ran broke before its answer.
    void recordBrokenConnection(Instant now, RequestFingerprint request);
    // An answer came to what was sent at `sent`, be it a call or only a connection.
    void recordAnswer(Instant sent);
    // The upstream has ended. Returns the requests that ran there, each once.
    std::vector<RequestFingerprint> recordUpstreamExit(Instant now);

    // Queries.

    bool hasUnexplainedBreaks() const
    {
        return !this->breaks.empty();
    } // Breaks that nothing has explained yet.

private:
    struct Break
    {
        RequestFingerprint request;
        Instant at;
    };

    std::vector<Break> breaks;
};

} // namespace Sagecrank

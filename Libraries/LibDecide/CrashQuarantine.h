// Quarantine for requests that crash upstreams.
//
// A single request that crashes every upstream it runs on, and that its caller retries through any node, can
// take a service down for everybody for as long as the caller retries. A gate that sees its upstream crash
// reports the requests that were running there. Once a request was running at several crashes and has not
// been answered anywhere since, all nodes refuse it for a while.
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

// Identifies a request across retries.
using RequestFingerprint = std::uint64_t;

// When reports are merged, the greater value wins.
enum class CrashReportState : std::uint8_t {
    Crashed, // The upstream crashed while it ran the request.
    Cleared, // The request was answered later, so it is not the cause of the crash.
};

inline constexpr EnumNames<CrashReportState, 2> crashReportStateNames{{
    {CrashReportState::Crashed, "crashed"},
    {CrashReportState::Cleared, "cleared"},
}};

// Says that a request was running when an upstream crashed.
struct CrashReport
{
    RequestFingerprint request = 0;
    std::uint64_t crash = 0; // Identifies the crash.
    CrashReportState state = CrashReportState::Crashed;
    Instant expiresAt; // When the report is dropped.
};

// A request that is not the cause may be running at one crash, but rarely at two.
inline constexpr std::size_t crashesToQuarantine = 3;

// How long a crash counts against a request: longer than callers keep retrying, but shorter than it takes to
// deploy a fix of the service.
inline constexpr Duration crashReportLifetime = std::chrono::minutes(10);

// An answer within this time before a crash clears the request. A request that starts to crash upstreams only
// then is found by the following crashes.
inline constexpr Duration recentAnswerWindow = std::chrono::seconds(10);

// The quarantine that follows from all reports. Immutable, so that request threads can share it.
class CrashQuarantine
{
public:
    explicit CrashQuarantine(std::span<const CrashReport> reports);

    // When the quarantine of the request ends; nothing if it is not quarantined.
    std::optional<Instant> refusedUntil(RequestFingerprint request, Instant now) const;
    std::vector<RequestFingerprint> refusedRequests() const;

private:
    // Expiry times of the uncleared crashes of each request, latest first.
    std::unordered_map<RequestFingerprint, std::vector<Instant>> crashExpiries;
};

// Requests that were answered recently. A request that many callers send is running at every crash, and once
// it was refused everywhere no answer could clear it any more. Fixed size: on a slot collision the later
// answer replaces the earlier one. Not thread-safe.
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

    static constexpr std::size_t capacity = 4096;
    std::vector<Answer> answers = std::vector<Answer>(capacity);
};

// Distinguishes a crash of the upstream from a connection that broke for another reason. A broken connection
// counts as a crash only if the upstream then refuses connections or announces itself with a new start; it is
// discarded if the same upstream answers a later call. There is one detector for each gate. Not thread-safe.
class CrashDetector
{
public:
    // Commands.

    // The connection of a running call broke before its answer.
    void recordBrokenConnection(Instant now, RequestFingerprint request);
    // The upstream answered a call, or accepted a connection, that was sent at `sent`.
    void recordAnswer(Instant sent);
    // The upstream has exited. Returns the distinct requests that were running there.
    std::vector<RequestFingerprint> recordUpstreamExit(Instant now);

    // Queries.

    // Whether broken connections wait for an explanation.
    bool hasUnexplainedBreaks() const { return !this->brokenConnections.empty(); }

private:
    struct BrokenConnection
    {
        RequestFingerprint request;
        Instant at;
    };

    std::vector<BrokenConnection> brokenConnections;
};

} // namespace Sagecrank

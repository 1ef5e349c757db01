// Load balancer of one service in one node: picks the upstream for each call. It relies mainly on what this
// node has seen of its own calls; what upstreams and gates report about themselves weighs less, because it
// lags and can be wrong. Not thread-safe: the node holds a mutex for each service for a short time. pick()
// allocates nothing.
#pragma once

#include <LibDecide/Admission.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Sagecrank {

// An upstream as membership describes it.
struct UpstreamCandidate
{
    std::string_view id;
    bool sameZone = false;
    bool sameHost = false;
    UpstreamCondition condition = UpstreamCondition::Ready;
    std::uint32_t slots = 1;
};

// The outcome of an attempt as the sending node saw it.
enum class AttemptOutcome : std::uint8_t {
    Succeeded,
    Failed,        // The upstream returned an error or broke the connection.
    RefusedNotRun, // The gate refused it, so it did not run.
    Unknown,       // No answer before the deadline.
    Cancelled,     // The caller gave up, which says nothing about the upstream.
};

inline constexpr EnumNames<AttemptOutcome, 5> attemptOutcomeNames{{
    {AttemptOutcome::Succeeded, "succeeded"},
    {AttemptOutcome::Failed, "failed"},
    {AttemptOutcome::RefusedNotRun, "refused_not_run"},
    {AttemptOutcome::Unknown, "unknown"},
    {AttemptOutcome::Cancelled, "cancelled"},
}};

// The load that a gate reports with an answer.
struct ReportedLoad
{
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    bool draining = false;
    Duration runTime{};          // Of the answered call; zero if it did not run.
    Duration expectedWait{};     // Until a slot would be free for another such call.
    std::size_t answerBytes = 0; // Of the answered call.
};

struct LoadBalancerSettings
{
    std::size_t choices = 2; // Candidates compared for each call, both in this zone and in the others.
    Duration crossZoneCost = std::chrono::milliseconds(1); // Additional round-trip time to another zone.
    // Latency that is accepted for each kilobyte that stays within the zone.
    Duration crossZoneCostPerKilobyte{};
    double maximumEjectedShare = 0.5; // Maximum share of the upstreams that is ejected at a time.
    // An upstream of another zone that refused a call of some kind gets no retries of that kind for this
    // long, twice as long after each further refusal in a row. Under full load each such attempt would cost
    // its bytes and achieve nothing.
    Duration initialRefusalBackoff = std::chrono::milliseconds(150);
    Duration maximumRefusalBackoff = std::chrono::milliseconds(1200);
    Duration reportedLoadDecay =
        std::chrono::milliseconds(100); // Time constant with which reported load loses its weight.
};

class LoadBalancer
{
public:
    // `random` returns uniformly distributed numbers.
    LoadBalancer(LoadBalancerSettings settings, std::function<std::uint64_t()> random);

    // Commands.

    // Returns the index of the candidate for the call, or nothing if none is usable. `tried` holds the
    // indices that this call was already sent to. The bytes of the call and its answer cost at most
    // `maximumZoneCost` if they leave the zone. Draining and absent upstreams are never picked.
    std::optional<std::size_t> pick(Instant now, std::span<const UpstreamCandidate> candidates,
                                    CallClass callClass, std::span<const std::size_t> tried,
                                    std::uint64_t kind = 0, std::size_t requestBytes = 0,
                                    Duration maximumZoneCost = Duration::max());
    void recordStart(std::string_view id, Instant now);
    void recordEnd(std::string_view id, Instant now, CallClass callClass, Duration latency,
                   AttemptOutcome outcome, std::uint64_t kind = 0);
    // The load that the gate reported with its last answer.
    void recordReportedLoad(std::string_view id, Instant now, const ReportedLoad &load,
                            std::uint64_t kind = 0);
    // Drops the state of upstreams that have not been used since `before`.
    void evictUnused(Instant before);

    // Queries.

    bool isEjected(std::string_view id) const;
    std::uint32_t outstanding(std::string_view id) const;

private:
    // Statistics of one upstream for calls of one kind.
    struct KindStatistics
    {
        std::uint64_t kind = 0;
        std::uint32_t consecutiveRefusals = 0; // Zero if none, or if a call of the kind was accepted since.
        Instant refusedAt = Instant::min();
        double meanRunTime = 0;  // Seconds at the upstream itself; zero if unknown.
        double reportedWait = 0; // In seconds, from the last report.
        double meanWait = 0;     // In seconds, over recent reports.
        Instant reportedAt = Instant::min();
    };

    // Averages over all upstreams of the service for calls of one kind.
    struct KindAverages
    {
        double meanRunTime = 0; // In seconds; zero if unknown.
        double meanAnswerBytes = 0;
    };

    enum class EjectionState : std::uint8_t { Healthy, Ejected, Probing };

    struct Upstream
    {
        std::uint32_t outstanding = 0;       // Calls of this node that have not ended.
        std::array<double, 3> meanLatency{}; // Seconds of successful calls by class; zero if unknown.
        // Queued calls minus free slots as reported, adjusted by this node's calls since.
        double reportedExcess = 0;
        Instant reportedAt = Instant::min();
        bool reportedDraining = false;
        Instant refusedAt = Instant::min();  // When its gate last refused a call.
        std::array<KindStatistics, 8> kinds; // Ring buffer of the most recent kinds.
        std::size_t nextKind = 0;
        double failures = 0; // Recent failures and completions, decaying with each completion.
        double completions = 0;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t probeSuccesses = 0;
        std::uint32_t ejections = 0; // In a row; each one doubles the ejection time.
        EjectionState ejectionState = EjectionState::Healthy;
        Instant nextProbeAt = Instant::min(); // When an ejected upstream is probed.
        Instant lastUsedAt = Instant::min();
        // Its last completed call, or the first call after it was idle.
        Instant lastProgressAt = Instant::min();
    };

    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    // The arguments of pick().
    struct Request
    {
        Instant now;
        std::span<const UpstreamCandidate> candidates;
        CallClass callClass;
        std::span<const std::size_t> tried;
        std::uint64_t kind = 0;
        double zoneCost = 0; // Seconds that are added to the score of upstreams in other zones.

        bool isCandidate(std::size_t index, bool sameZone) const;
    };

    struct Best
    {
        std::optional<std::size_t> index;
        double score = std::numeric_limits<double>::infinity();
    };

    const Upstream *findUpstream(std::string_view id) const;
    Upstream &obtainUpstream(std::string_view id, Instant now);
    std::optional<std::size_t> pickBest(const Request &request, bool healthyOnly);
    static KindStatistics &obtainKind(Upstream &upstream, std::uint64_t kind);
    static const KindStatistics *findKind(const Upstream &upstream, std::uint64_t kind);
    double zoneCost(std::uint64_t kind, std::size_t requestBytes) const;
    double averageRunTime(const Request &request) const;
    double expectedWait(const KindStatistics &statistics, Instant now) const;
    void recordRefusal(Upstream &upstream, std::uint64_t kind, Instant now);
    static void recordAcceptance(Upstream &upstream, std::uint64_t kind);
    bool isBackingOff(const Upstream &upstream, const Request &request) const;
    void compareCandidates(const Request &request, bool sameZone, bool healthyOnly, Best &best);
    static bool isEligible(const Upstream *upstream, const Request &request, bool healthyOnly);
    double score(const UpstreamCandidate &candidate, const Upstream *upstream, const Request &request) const;
    double otherNodesCalls(const Upstream &upstream, double slots, Instant now) const;
    static double silencePenalty(const Upstream &upstream, double expectedRunTime, Instant now);
    static double refusalPenalty(const Upstream &upstream, Instant now);
    void recordFailure(Upstream &upstream, Instant now, std::uint32_t weight);
    void recordSuccess(Upstream &upstream);
    void eject(Upstream &upstream, Instant now);

    LoadBalancerSettings settings;
    std::function<std::uint64_t()> random;
    std::unordered_map<std::string, Upstream, TextHash, std::equal_to<>> upstreams;
    std::size_t ejectedCount = 0; // Upstreams that are not Healthy.
    // Seconds by class over all upstreams, for upstreams without data.
    std::array<double, 3> averageLatency{};
    std::unordered_map<std::uint64_t, KindAverages> kindAverages;
};

} // namespace Sagecrank

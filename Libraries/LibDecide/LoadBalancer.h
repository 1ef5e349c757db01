// Which upstream of a service a call goes to. One placer stands for one service in one node and is fed by
// what that node saw of its own calls; what upstreams and gates say about themselves counts for less, because
// it lags and misleads. Not thread-safe: the node holds a short mutex for each service. place() allocates
// nothing.
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

// What membership says about one upstream.
struct UpstreamCandidate
{
    std::string_view id;
    bool sameZone = false;
    bool sameHost = false;
    UpstreamCondition condition = UpstreamCondition::Ready;
    std::uint32_t slots = 1;
};

// How a call ended as its sender saw it.
enum class AttemptOutcome : std::uint8_t {
    Succeeded,
    Failed,        // The upstream answered with a failure of its own or broke the connection.
    RefusedNotRun, // The gate refused it.
    Unknown,       // No answer in time.
    Cancelled,     // The caller gave up; it says nothing about the upstream.
};

inline constexpr EnumNames<AttemptOutcome, 5> attemptOutcomeNames{{
    {AttemptOutcome::Succeeded, "succeeded"},
    {AttemptOutcome::Failed, "failed"},
    {AttemptOutcome::RefusedNotRun, "refused_not_run"},
    {AttemptOutcome::Unknown, "unknown"},
    {AttemptOutcome::Cancelled, "cancelled"},
}};

// What a gate put on its answer.
struct ReportedLoad
{
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    bool draining = false;
    Duration runTime{};          // Of the answered call; zero when it did not run.
    Duration expectedWait{};     // Until a slot is free for a call like it, if it came now.
    std::size_t answerBytes = 0; // Of the answered call.
};

struct LoadBalancerSettings
{
    std::size_t choices = 2; // How many of this zone, and of the others, are compared for each call.
    Duration crossZoneCost = std::chrono::milliseconds(1); // Round trip to another zone beyond one's own.
    // How much later an answer may come for each kilobyte that its call then keeps within the zone.
    Duration crossZoneCostPerKilobyte{};
    double maximumEjectedShare = 0.5; // At most this share is ejected at once.
    // An upstream of another zone that refused a call of a kind is not asked for that kind again for this
    // long, twice as long after each further refusal in a row: under full load each try would cost its bytes
    // and bring nothing.
    Duration initialRefusalBackoff = std::chrono::milliseconds(150);
    Duration maximumRefusalBackoff = std::chrono::milliseconds(1200);
    Duration reportedLoadDecay =
        std::chrono::milliseconds(100); // Told load loses most of its weight after this.
};

class LoadBalancer
{
public:
    // `random` returns uniformly distributed numbers.
    LoadBalancer(LoadBalancerSettings settings, std::function<std::uint64_t()> random);

    // Commands.

    // The index of the candidate that the call goes to, or nothing when none may take it. `tried` holds the
    // indices that this call was already sent to. Draining and absent upstreams get nothing, whatever else is
    // so.
    std::optional<std::size_t> pick(Instant now, std::span<const UpstreamCandidate> candidates,
                                    CallClass callClass, std::span<const std::size_t> tried,
                                    std::uint64_t kind = 0, std::size_t requestBytes = 0);
    void recordStart(std::string_view id, Instant now);
    void recordEnd(std::string_view id, Instant now, CallClass callClass, Duration took, AttemptOutcome end,
                   std::uint64_t kind = 0);
    // The load that the gate put on its last answer.
    void recordReportedLoad(std::string_view id, Instant now, const ReportedLoad &load,
                            std::uint64_t kind = 0);
    // Drops what is known of upstreams that have not been used since `before`.
    void evictUnused(Instant before);

    // Queries.

    bool isEjected(std::string_view id) const;
    std::uint32_t outstanding(std::string_view id) const;

private:
    // What one upstream showed of calls of one kind.
    struct KindView
    {
        std::uint64_t kind = 0;
        std::uint32_t refusedInRow = 0; // Zero: none, or the kind was taken since.
        Instant refusedAt = Instant::min();
        double run = 0;      // Mean seconds at the upstream itself; zero is unknown.
        double wait = 0;     // Seconds, as told last.
        double meanWait = 0; // Over what was told lately.
        Instant toldAt = Instant::min();
    };

    // What all upstreams of the service showed of calls of one kind.
    struct KindUsual
    {
        double run = 0; // Mean seconds; zero is unknown.
        double answerBytes = 0;
    };

    enum class Standing : std::uint8_t { Trusted, Ejected, Probing };

    struct Upstream
    {
        std::uint32_t outstanding = 0; // Calls of this node that have not ended.
        std::array<double, 3> took{};  // Mean seconds of successes by class; zero is unknown.
        double toldExcess = 0;         // Queued minus free slots when told, less this node's part since.
        Instant toldAt = Instant::min();
        bool toldDraining = false;
        Instant refusedAt = Instant::min(); // When its gate last refused a call.
        std::array<KindView, 8> kinds;      // The latest ones, in a ring.
        std::size_t nextKind = 0;
        double failures = 0; // Recent failures and recent ends, decaying by count.
        double ends = 0;
        std::uint32_t consecutiveFailures = 0;
        std::uint32_t probesPassed = 0;
        std::uint32_t ejections = 0; // In a row; the time out grows with it.
        Standing standing = Standing::Trusted;
        Instant probeAt = Instant::min(); // When an ejected one is tried again.
        Instant usedAt = Instant::min();
        Instant progressAt = Instant::min(); // Its last end, or when the oldest idle period ended.
    };

    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    // What place() was asked.
    struct Request
    {
        Instant now;
        std::span<const UpstreamCandidate> candidates;
        CallClass callClass;
        std::span<const std::size_t> tried;
        std::uint64_t kind = 0;
        double zoneCost = 0; // Seconds that an answer from another zone may come later.

        bool allows(std::size_t index, bool sameZone) const;
    };

    struct Best
    {
        std::optional<std::size_t> index;
        double score = std::numeric_limits<double>::infinity();
    };

    const Upstream *find(std::string_view id) const;
    Upstream &obtain(std::string_view id, Instant now);
    std::optional<std::size_t> choose(const Request &request, bool trustedOnly);
    static KindView &obtainKind(Upstream &upstream, std::uint64_t kind);
    static const KindView *findKind(const Upstream &upstream, std::uint64_t kind);
    double zoneCost(std::uint64_t kind, std::size_t requestBytes) const;
    double usualRun(const Request &request) const;
    double expectedWait(const KindView &view, Instant now) const;
    void noteRefusal(Upstream &upstream, std::uint64_t kind, Instant now);
    static void noteTaken(Upstream &upstream, std::uint64_t kind);
    bool isInVain(const Upstream &upstream, const Request &request) const;
    void compare(const Request &request, bool sameZone, bool trustedOnly, Best &best);
    static bool usable(const Upstream *upstream, const Request &request, bool trustedOnly);
    double score(const UpstreamCandidate &facts, const Upstream *upstream, const Request &request) const;
    double others(const Upstream &upstream, double slots, Instant now) const;
    static double silence(const Upstream &upstream, double usual, Instant now);
    static double refusal(const Upstream &upstream, Instant now);
    void noteFailure(Upstream &upstream, Instant now, std::uint32_t weight);
    void noteSuccess(Upstream &upstream);
    void eject(Upstream &upstream, Instant now);

    LoadBalancerSettings settings;
    std::function<std::uint64_t()> random;
    std::unordered_map<std::string, Upstream, TextHash, std::equal_to<>> upstreams;
    std::size_t ejectedCount = 0;      // Upstreams whose standing is not Trusted.
    std::array<double, 3> usualTook{}; // Over all upstreams, for those not seen yet.
    std::unordered_map<std::uint64_t, KindUsual> usualKinds;
};

} // namespace Sagecrank

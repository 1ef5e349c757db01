// Reports the spans, metrics and log events of requests. One instance is shared by all threads.
#pragma once

#include <LibConfig/Model.h>
#include <LibDecide/NamedLimit.h>
#include <LibNet/HttpMessages.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/Spans.h>
#include <LibWire/PeerMessages.h>

#include <array>
#include <optional>
#include <string>

namespace Sagecrank {

// Summary of a caller's call at its end, with what its outcome was based on.
struct CallSummary
{
    std::string_view callId;
    std::string_view route;
    std::string_view cluster;
    std::string_view upstream; // Node beside the last upstream that it was sent to; empty if it was not sent.
    std::string_view outcome;
    std::string_view reason;
    std::uint64_t configurationVersion = 0;
    std::uint32_t status = 0;
    std::size_t attempts = 0;
    Duration took{};
    Duration left{}; // Until its deadline.
};

// Why the gate refused a call, with the state that the decision was based on.
struct GateRefusal
{
    std::string_view callId;
    std::string_view reason;
    Duration waited{};
    Duration left{}; // Until its deadline.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::string_view condition; // Last announced condition of the upstream.
    Duration retryAfter{};
    std::uint32_t priority = 1;
    bool lateAccepted = true; // The call accepts a response after its target latency.
};

// Summary of a call when the gate answers it.
struct GateSummary
{
    std::string_view callId;
    std::string_view instance;
    std::string_view outcome;
    std::string_view reason;
    std::uint32_t status = 0;
    Duration waited{};
    Duration ran{};
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    // Identifies the request when it is repeated; 0 unless its connection to the upstream broke.
    std::uint64_t fingerprint = 0;
    // What the upstream stated about itself in its answer.
    LimitStatement limit;
    bool leaving = false;
    ConnectionUse answeredOn; // The connection to the upstream; unset if the upstream did not answer.
};

class RequestObserver
{
public:
    RequestObserver(EventLog &log, Metrics &metrics, SpanRing &ring);

    // A child of the span that the traceparent names, or a new trace if it names none.
    Span openSpan(SpanName name, const std::string &traceParent, Instant start);

    // A caller got its response; for the metrics.
    void callAnswered(CallClass callClass, const CallResponse &response, Duration took);
    // The same, with the details; for the log.
    void callEnded(const CallSummary &summary);
    // The caller closed its connection before the response.
    void callAbandoned(const CallSummary &summary);
    // The request was refused before placement.
    // `account`: of the caller, if it is known.
    void requestRefused(std::string_view callId, std::uint32_t status, std::string_view reason,
                        std::string_view account = {});
    // A call was sent again, as a retry or a hedge.
    void callResent(std::string_view callId, std::string_view upstream);
    void gateRefused(const GateRefusal &refusal);
    void gateEnded(const GateSummary &summary);
    void recordGateWait(Duration waited);
    void recordUpstreamTime(Duration took);
    void retryDenied(std::string_view callId, const std::string &cluster); // The retry budget was exhausted.
    void upstreamShed(std::string_view callId, const std::string &cluster, std::uint32_t status);
    void upstreamCrashed(std::size_t requests); // `requests`: how many were running.
    // Nothing if the upstream names no limit any more.
    void upstreamLimitChanged(std::string_view instance, std::optional<double> callsPerSecond);
    void upstreamLimitMalformed(std::string_view instance);
    void requestInvalid(std::uint32_t status, std::string_view reason);
    void peerLost(const std::string &peer, const Error &reason);
    void peerFrameInvalid(const std::string &peer, const Error &reason);

private:
    static constexpr std::size_t outcomeCount = std::size(outcomeNames.rows);
    static constexpr std::size_t classCount = std::size(callClassNames.rows);

    void writeSummary(EventId event, const CallSummary &summary);

    EventLog &log;
    Metrics &metrics;
    SpanRing &ring;
    SpanIds ids;
    std::array<Counter *, outcomeCount> calls{};          // By outcome. The registry owns all metrics.
    std::array<Distribution *, classCount> callSeconds{}; // By class.
    Counter &sentAgain;
    Distribution &waitSeconds;
    Distribution &upstreamSeconds;
};

} // namespace Sagecrank

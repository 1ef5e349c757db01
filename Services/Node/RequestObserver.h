// What the path of a request reports: spans, metrics and log events, made once and shared by all threads.
#pragma once

#include <LibConfig/Model.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>
#include <LibObserve/Spans.h>
#include <LibWire/PeerMessages.h>

#include <array>
#include <optional>
#include <string>

namespace Sagecrank {

class RequestObserver
{
public:
    RequestObserver(EventLog &log, Metrics &metrics, SpanRing &ring);

    // A span below the one that a traceparent names; a new trace when it names none.
    Span openSpan(SpanName name, const std::string &traceParent, Instant start);

    // A caller got its answer.
    void callAnswered(const std::string &cluster, CallClass callClass, const CallResponse &response,
                      Duration took);
    // A call went out again; hedges count as well.
    void callSentAgain();
    void gateRefused(std::string_view reason);
    void gateWaited(Duration waited);
    void upstreamTook(Duration took);
    void retryDenied(const std::string &cluster); // The budget was spent.
    void upstreamShed(const std::string &cluster);
    void requestInvalid(std::string_view reason);
    void peerLost(const std::string &peer, const Error &reason);
    void peerFrameInvalid(const std::string &peer, const Error &reason);

private:
    static constexpr std::size_t outcomeCount = std::size(outcomeNames.rows);
    static constexpr std::size_t classCount = std::size(callClassNames.rows);

    EventLog &log;
    Metrics &metrics;
    SpanRing &ring;
    SpanIds ids;
    std::array<Counter *, outcomeCount> calls{}; // By outcome. Owned by the registry, like the next ones.
    std::array<Distribution *, classCount> callSeconds{}; // By class.
    Counter &sentAgain;
    Distribution &waitSeconds;
    Distribution &upstreamSeconds;
};

} // namespace Sagecrank

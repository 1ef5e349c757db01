// Records the events of calls as spans, metrics and log events.
#include "RequestObserver.h"

#include <charconv>

namespace Sagecrank {

namespace {

constexpr double secondsPerNanosecond = 1e-9;

std::uint64_t nanoseconds(Duration span)
{
    const auto count = std::chrono::duration_cast<std::chrono::nanoseconds>(span).count();
    return count > 0 ? static_cast<std::uint64_t>(count) : 0;
}

// Empty if there is no limit.
std::string limitText(std::optional<double> callsPerSecond)
{
    if (!callsPerSecond)
        return {};
    std::array<char, 32> text{}; // Longer than the shortest form of any double.
    const auto written = std::to_chars(text.data(), text.data() + text.size(), *callsPerSecond);
    return {text.data(), written.ptr};
}

std::string limitText(const LimitStatement &statement)
{
    return statement.kind == LimitStatementKind::Named ? limitText(statement.callsPerSecond) : std::string();
}

} // namespace

RequestObserver::RequestObserver(EventLog &log, Metrics &metrics, SpanRing &ring)
    : log(log)
    , metrics(metrics)
    , ring(ring)
    , ids(randomSeed())
    , sentAgain(metrics.counter("sagecrank_calls_sent_again_total", "Retries and hedges."))
    , waitSeconds(metrics.distribution("sagecrank_gate_wait_seconds", "Time that calls waited for a slot.",
                                       secondsPerNanosecond))
    , upstreamSeconds(metrics.distribution("sagecrank_upstream_seconds", "Time that the upstream took.",
                                           secondsPerNanosecond))
{
    for (const auto &row : outcomeNames.rows)
        this->calls[static_cast<std::size_t>(row.first)] = &metrics.counter(
            "sagecrank_calls_total", "Callers' calls by outcome.", {{"outcome", std::string(row.second)}});
    for (const auto &row : callClassNames.rows)
        this->callSeconds[static_cast<std::size_t>(row.first)] =
            &metrics.distribution("sagecrank_call_seconds", "Time from a caller's request to its answer.",
                                  secondsPerNanosecond, {{"class", std::string(row.second)}});
}

Span RequestObserver::openSpan(SpanName name, const std::string &traceParent, Instant start)
{
    return Span(this->ring, this->ids, name, parseTraceParent(traceParent), start);
}

void RequestObserver::callAnswered(CallClass callClass, const CallResponse &response, Duration took)
{
    this->calls[static_cast<std::size_t>(response.outcome)]->add();
    this->callSeconds[static_cast<std::size_t>(callClass)]->record(nanoseconds(took));
}

void RequestObserver::callEnded(const CallSummary &summary)
{
    this->writeSummary(EventId::CallEnded, summary);
}

void RequestObserver::callAbandoned(const CallSummary &summary)
{
    this->writeSummary(EventId::CallAbandoned, summary);
}

void RequestObserver::writeSummary(EventId event, const CallSummary &summary)
{
    if (!this->log.wants(event))
        return;
    this->log.write(event, {{"call", summary.callId},
                            {"route", summary.route},
                            {"cluster", summary.cluster},
                            {"version", summary.configurationVersion},
                            {"upstream", summary.upstream},
                            {"attempts", summary.attempts},
                            {"outcome", summary.outcome},
                            {"status", summary.status},
                            {"reason", summary.reason},
                            {"took_ms", wholeMilliseconds(summary.took)},
                            {"left_ms", wholeMilliseconds(summary.left)}});
}

void RequestObserver::requestRefused(std::string_view callId, std::uint32_t status, std::string_view reason,
                                     std::string_view account)
{
    if (account.empty())
        return this->log.write(EventId::CallsRefused,
                               {{"call", callId}, {"status", status}, {"reason", reason}});
    this->log.write(EventId::CallsRefused,
                    {{"call", callId}, {"status", status}, {"reason", reason}, {"account", account}});
}

void RequestObserver::callResent(std::string_view callId, std::string_view upstream)
{
    this->sentAgain.add();
    this->log.write(EventId::CallSentAgain, {{"call", callId}, {"upstream", upstream}});
}

void RequestObserver::gateEnded(const GateSummary &summary)
{
    if (!this->log.wants(EventId::GateAnswered))
        return;
    this->log.write(EventId::GateAnswered, {{"call", summary.callId},
                                            {"instance", summary.instance},
                                            {"outcome", summary.outcome},
                                            {"status", summary.status},
                                            {"reason", summary.reason},
                                            {"waited_ms", wholeMilliseconds(summary.waited)},
                                            {"ran_ms", wholeMilliseconds(summary.ran)},
                                            {"free_slots", summary.freeSlots},
                                            {"queued", summary.queued},
                                            {"request", summary.fingerprint},
                                            {"limit_per_s", limitText(summary.limit)},
                                            {"leaving", summary.leaving},
                                            {"connection", summary.answeredOn.connection},
                                            {"nth_on_connection", summary.answeredOn.requests},
                                            {"stale_skipped", summary.answeredOn.staleResponses}});
}

// Refusals are rare and have few distinct reasons, so the counter can be looked up by name.
void RequestObserver::gateRefused(const GateRefusal &refusal)
{
    this->log.write(EventId::GateRefused, {{"call", refusal.callId},
                                           {"reason", refusal.reason},
                                           {"waited_ms", wholeMilliseconds(refusal.waited)},
                                           {"priority", refusal.priority},
                                           {"late_accepted", refusal.lateAccepted},
                                           {"left_ms", wholeMilliseconds(refusal.left)},
                                           {"running", refusal.running},
                                           {"queued", refusal.queued},
                                           {"upstream", refusal.condition},
                                           {"retry_after_ms", wholeMilliseconds(refusal.retryAfter)}});
    this->metrics
        .counter("sagecrank_gate_refused_total", "Calls that the gate refused as not run.",
                 {{"reason", std::string(refusal.reason)}})
        .add();
}

void RequestObserver::recordGateWait(Duration waited)
{
    this->waitSeconds.record(nanoseconds(waited));
}

void RequestObserver::recordUpstreamTime(Duration took)
{
    this->upstreamSeconds.record(nanoseconds(took));
}

void RequestObserver::retryDenied(std::string_view callId, const std::string &cluster)
{
    this->log.write(EventId::RetryBudgetSpent, {{"call", callId}, {"cluster", cluster}});
}

void RequestObserver::upstreamShed(std::string_view callId, const std::string &cluster, std::uint32_t status)
{
    this->log.write(EventId::UpstreamShedding, {{"call", callId}, {"cluster", cluster}, {"status", status}});
}

void RequestObserver::upstreamCrashed(std::size_t requests)
{
    this->log.write(EventId::UpstreamCrashed, {{"requests", std::uint64_t{requests}}});
    this->metrics.counter("sagecrank_upstream_crashes_total", "Crashes of the upstream while it ran calls.")
        .add();
}

void RequestObserver::upstreamLimitChanged(std::string_view instance, std::optional<double> callsPerSecond)
{
    this->log.write(EventId::UpstreamLimitChanged,
                    {{"instance", instance}, {"limit_per_s", limitText(callsPerSecond)}});
    this->metrics.gauge("sagecrank_upstream_limited", "1 while the upstream names a limit on its calls.")
        .set(callsPerSecond ? 1 : 0);
}

void RequestObserver::upstreamLimitMalformed(std::string_view instance)
{
    this->log.write(EventId::UpstreamLimitMalformed, {{"instance", instance}});
}

void RequestObserver::requestInvalid(std::uint32_t status, std::string_view reason)
{
    this->log.write(EventId::CallerRequestInvalid, {{"status", status}, {"reason", reason}});
    this->metrics
        .counter("sagecrank_requests_invalid_total", "Requests that were malformed or too large.",
                 {{"status", std::to_string(status)}})
        .add();
}

void RequestObserver::peerFrameInvalid(const std::string &peer, const Error &reason)
{
    this->log.write(EventId::PeerFrameInvalid,
                    {{"peer", peer}, {"step", reason.step}, {"message", reason.message}});
}

void RequestObserver::peerLost(const std::string &peer, const Error &reason)
{
    const EventId event = reason.kind == ErrorKind::Timeout ? EventId::PeerSilent : EventId::PeerLost;
    this->log.write(event, {{"peer", peer}, {"step", reason.step}, {"message", reason.message}});
}

} // namespace Sagecrank

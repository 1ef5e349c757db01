// A local gate with a fake upstream on the loopback interface; the test answers claims itself.
#pragma once

#include <LibDecide/Gate.h>
#include <LibNet/HttpServer.h>
#include <Node/Gate/GateCall.h>
#include <Node/Gate/LocalGate.h>

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Sagecrank {

class GateFixture
{
public:
    explicit GateFixture(AdmissionHooks admission = makeAdmissionHooks(std::make_shared<Gate>(GateSettings{
                             1, 64, 7})))
        : upstream(this->context, HttpServerSettings{},
                   [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
                       this->receivedRequests.push_back(request);
                       this->exchanges.push_back(std::move(exchange));
                   })
        , gate("gate", std::move(admission), CallHeaders{}, this->claimHooks(), this->quarantineHooks(),
               this->history, this->observer)
    {
        cr_assert(this->upstream.listen("127.0.0.1:0").has_value());
        this->announce(1, UpstreamCondition::Ready);
    }

    void announce(std::uint32_t slots, UpstreamCondition condition)
    {
        this->gate.announce({"booking", this->upstream.address(), slots, condition});
    }

    std::shared_ptr<GateCall> submit(const std::string &name, CallClass callClass, const std::string &key,
                                     Milliseconds remaining = std::chrono::seconds(30),
                                     bool idempotent = false)
    {
        CallRequest request;
        request.cluster = "booking";
        request.callClass = callClass;
        request.idempotent = idempotent;
        request.remainingMicroseconds = static_cast<std::uint64_t>(Microseconds(remaining).count());
        request.attemptId = name;
        request.callerCallId = name;
        request.idempotencyKey = key;
        request.method = "POST";
        request.target = "/" + name;
        return this->gate.submit({this->context, this->client}, std::move(request),
                                 [this, name](CallResponse response) {
                                     this->answers[name] = std::move(response);
                                     if (this->onAnswer)
                                         this->onAnswer();
                                 });
    }

    // Runs the event loop until the condition holds. The time limit only ends a failing test.
    bool runUntil(const std::function<bool()> &condition)
    {
        this->context.restart();
        const Instant timeLimit = SteadyClock::now() + std::chrono::seconds(20);
        while (!condition() && SteadyClock::now() < timeLimit)
            this->context.run_one_for(Milliseconds(50));
        return condition();
    }

    bool answered(const std::string &name) const { return this->answers.contains(name); }

    boost::asio::io_context context{1};
    HttpClient client{this->context, HttpClientSettings{}};
    std::vector<HttpRequest> receivedRequests; // In order of arrival at the upstream.
    std::vector<std::shared_ptr<HttpExchange>> exchanges;
    HttpServer upstream;
    HistoryRecorder history{"gate", false};
    std::vector<std::string> logged;
    EventLog log{"gate", {}, [this](LogLevel, const std::string &line) { this->logged.push_back(line); }};
    Metrics metrics;
    SpanRing spans{64};
    RequestObserver observer{this->log, this->metrics, this->spans};
    std::map<std::string, CallResponse> answers;
    std::function<void()> onAnswer;
    std::vector<ClaimCallback> claims; // Claims that the test has not answered yet.
    std::vector<std::string> claimedKeys;
    std::vector<std::string> recorded;
    std::vector<std::string> released;
    std::vector<std::string> leftUnknown;
    std::string quarantinedTarget; // Requests for this target are refused.
    std::vector<std::vector<RequestFingerprint>> crashes;
    std::vector<std::string> answeredTargets; // Targets of answered requests.
    LocalGate gate;

private:
    QuarantineHooks quarantineHooks()
    {
        QuarantineHooks hooks;
        hooks.remainingQuarantine = [this](const CallRequest &request) -> std::optional<Duration> {
            if (this->quarantinedTarget.empty() || request.target != this->quarantinedTarget)
                return std::nullopt;
            return std::chrono::minutes(5);
        };
        hooks.reportCrash = [this](const std::vector<RequestFingerprint> &requests) {
            this->crashes.push_back(requests);
        };
        hooks.reportAnswer = [this](const CallRequest &request) {
            this->answeredTargets.push_back(request.target);
        };
        return hooks;
    }

    ClaimHooks claimHooks()
    {
        ClaimHooks hooks;
        hooks.claim = [this](const std::string &key, const std::string &, Instant, ClaimCallback done) {
            this->claimedKeys.push_back(key);
            this->claims.push_back(std::move(done));
        };
        hooks.finish = [this](const std::string &key, const std::string &, const RecordedOutcome &) {
            this->recorded.push_back(key);
        };
        hooks.release = [this](const std::string &key, const std::string &) {
            this->released.push_back(key);
        };
        hooks.leaveUnknown = [this](const std::string &key, const std::string &) {
            this->leftUnknown.push_back(key);
        };
        return hooks;
    }
};

} // namespace Sagecrank

// Sends the operations of a simulated caller and records their calls.
#include "SimulatedCaller.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Sagecrank {

namespace {

constexpr std::uint32_t maximumSendCount = 5; // Of one key; people give up after some retries.
constexpr Duration maximumRetryDelay = Milliseconds(500);

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

CallerAnswered answeredEvent(const std::string &call, const HttpResponse &response)
{
    CallerAnswered event;
    event.call = call;
    event.status = response.status;
    event.outcome = findHeader(response.headers, "Sagecrank-Outcome");
    event.reason = findHeader(response.headers, "Sagecrank-Reason");
    event.replayed = findHeader(response.headers, "Sagecrank-Replayed") == "true";
    event.body = historyDigest(response.body);
    event.retryAfterMilliseconds = parseNumber(findHeader(response.headers, "Sagecrank-Retry-After-Ms"));
    event.echo = findHeader(response.headers, "Sagecrank-Call-Id");
    return event;
}

} // namespace

SimulatedCaller::SimulatedCaller(boost::asio::io_context &context, HttpClient &client,
                                 HistoryRecorder &history, const SimulatedCallerSettings &settings,
                                 std::uint32_t number, std::uint64_t seed)
    : timer(context)
    , client(client)
    , history(history)
    , settings(settings)
    , prefix(settings.name + "." + std::to_string(number))
    , random(seed)
{
}

void SimulatedCaller::start(Instant end)
{
    this->end = end;
    this->pause(Milliseconds(this->random() % (this->settings.maximumPause.count() + 1)),
                &SimulatedCaller::startNextOperation);
}

bool SimulatedCaller::drawWithProbability(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

const std::string &SimulatedCaller::pickRandom(const std::vector<std::string> &choices)
{
    return choices[this->random() % choices.size()];
}

void SimulatedCaller::pause(Duration time, void (SimulatedCaller::*then)())
{
    this->timer.expires_after(time);
    this->timer.async_wait([self = this->shared_from_this(), then](const boost::system::error_code &error) {
        if (!error)
            ((*self).*then)();
    });
}

void SimulatedCaller::startNextOperation()
{
    if (SteadyClock::now() >= this->end)
        return;
    const std::string id = this->prefix + "-" + std::to_string(++this->operationCount);
    const double kind = std::uniform_real_distribution<double>(0, 1)(this->random);
    this->operation = Operation{};
    if (kind < this->settings.keyedShare + this->settings.keylessShare) {
        this->operation.method = "POST";
        this->operation.target = this->pickRandom(this->settings.bookingTargets);
        this->operation.body = "tour for " + id;
        if (kind < this->settings.keyedShare)
            this->operation.key = "key-" + id;
    } else {
        this->operation.method = "GET";
        this->operation.target = this->pickRandom(this->settings.lookupTargets);
        this->operation.idempotent = true;
    }
    this->operationDone = false;
    this->retryDelay = Duration::zero();
    const bool twice =
        !this->operation.key.empty() && this->drawWithProbability(this->settings.duplicateShare);
    this->callsInFlight = twice ? 2 : 1;
    this->send();
    if (twice)
        this->send();
}

void SimulatedCaller::send()
{
    ++this->operation.sendCount;
    const std::string call = this->prefix + "." + std::to_string(++this->callCount);
    const std::string &node = this->pickRandom(this->settings.nodes);
    CallerSent sent;
    sent.call = call;
    sent.key = this->operation.key;
    sent.method = this->operation.method;
    sent.target = this->operation.target;
    sent.callClass = this->operation.idempotent ? "interactive" : "non_idempotent";
    sent.idempotent = this->operation.idempotent;
    sent.node = node;
    sent.body = historyDigest(this->operation.body);
    HttpRequest request{this->operation.method, this->operation.target, {}, this->operation.body};
    request.headers.push_back({"Host", node});
    request.headers.push_back({"Sagecrank-Call-Id", call});
    if (!this->operation.key.empty())
        request.headers.push_back({"Idempotency-Key", this->operation.key});
    // Every call has a deadline, so that a checker can tell a call that timed out from one that was aborted.
    const bool hasShortDeadline = this->drawWithProbability(this->settings.shortDeadlineShare);
    const Milliseconds deadline =
        hasShortDeadline ? this->settings.shortDeadline : this->settings.longDeadline;
    sent.deadlineMilliseconds = std::uint64_t(deadline.count());
    request.headers.push_back({"Sagecrank-Deadline-Ms", std::to_string(sent.deadlineMilliseconds)});
    this->history.record(std::move(sent));
    this->client.send(
        node, std::move(request), this->settings.responseTimeout,
        [self = this->shared_from_this(), call](const HttpFailure *failure, const HttpResponse &response) {
            if (failure != nullptr) {
                self->history.record(CallerLost{call, failure->error.describe(), failure->mayHaveBeenSent});
                return self->callEnded(false, Duration::zero());
            }
            const CallerAnswered answered = answeredEvent(call, response);
            self->history.record(answered);
            self->callEnded(answered.outcome == "done", Milliseconds(answered.retryAfterMilliseconds));
        });
}

void SimulatedCaller::callEnded(bool done, Duration retryAfter)
{
    this->operationDone = this->operationDone || done;
    this->retryDelay = std::max(this->retryDelay, std::min(retryAfter, maximumRetryDelay));
    if (--this->callsInFlight > 0)
        return;
    if (this->shouldSendAgain())
        return this->pause(this->retryDelay, &SimulatedCaller::sendAgain);
    this->pause(Milliseconds(this->random() % (this->settings.maximumPause.count() + 1)),
                &SimulatedCaller::startNextOperation);
}

bool SimulatedCaller::shouldSendAgain()
{
    if (this->operation.key.empty() || this->operation.sendCount >= maximumSendCount
        || SteadyClock::now() >= this->end)
        return false;
    return !this->operationDone || this->drawWithProbability(this->settings.resendShare);
}

void SimulatedCaller::sendAgain()
{
    this->callsInFlight = 1;
    this->send();
}

} // namespace Sagecrank

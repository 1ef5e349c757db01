#include "SimulatedCaller.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Sagecrank {

namespace {

constexpr std::uint32_t maximumSendings = 5; // Of one key; a person gives up some time.
constexpr Duration longestWait = Milliseconds(500);

std::uint64_t numberFromText(std::string_view text)
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
    event.retryAfterMilliseconds = numberFromText(findHeader(response.headers, "Sagecrank-Retry-After-Ms"));
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
    this->pause(Milliseconds(this->random() % (this->settings.longestPause.count() + 1)),
                &SimulatedCaller::nextErrand);
}

bool SimulatedCaller::draw(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

const std::string &SimulatedCaller::drawOne(const std::vector<std::string> &choices)
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

void SimulatedCaller::nextErrand()
{
    if (SteadyClock::now() >= this->end)
        return;
    const std::string id = this->prefix + "-" + std::to_string(++this->errands);
    const double kind = std::uniform_real_distribution<double>(0, 1)(this->random);
    this->errand = Booking{};
    if (kind < this->settings.keyedShare + this->settings.keylessShare) {
        this->errand.method = "POST";
        this->errand.target = this->drawOne(this->settings.bookTargets);
        this->errand.body = "tour for " + id;
        if (kind < this->settings.keyedShare)
            this->errand.key = "key-" + id;
    } else {
        this->errand.method = "GET";
        this->errand.target = this->drawOne(this->settings.lookupTargets);
        this->errand.idempotent = true;
    }
    this->errandSettled = false;
    this->waitBeforeAgain = Duration::zero();
    const bool twice = !this->errand.key.empty() && this->draw(this->settings.doubleShare);
    this->openCalls = twice ? 2 : 1;
    this->send();
    if (twice)
        this->send();
}

void SimulatedCaller::send()
{
    ++this->errand.sendings;
    const std::string call = this->prefix + "." + std::to_string(++this->calls);
    const std::string &node = this->drawOne(this->settings.nodes);
    CallerSent sent;
    sent.call = call;
    sent.key = this->errand.key;
    sent.method = this->errand.method;
    sent.target = this->errand.target;
    sent.callClass = this->errand.idempotent ? "interactive" : "non_idempotent";
    sent.idempotent = this->errand.idempotent;
    sent.node = node;
    sent.body = historyDigest(this->errand.body);
    HttpRequest request{this->errand.method, this->errand.target, {}, this->errand.body};
    request.headers.push_back({"Host", node});
    request.headers.push_back({"Sagecrank-Call-Id", call});
    if (!this->errand.key.empty())
        request.headers.push_back({"Idempotency-Key", this->errand.key});
    // Every call names its time, so that a checker can tell a call that ran out of it from one that was cut.
    const bool hurried = this->draw(this->settings.deadlineShare);
    const Milliseconds deadline = hurried ? this->settings.deadline : this->settings.longDeadline;
    sent.deadlineMilliseconds = std::uint64_t(deadline.count());
    request.headers.push_back({"Sagecrank-Deadline-Ms", std::to_string(sent.deadlineMilliseconds)});
    this->history.record(std::move(sent));
    this->client.send(
        node, std::move(request), this->settings.patience,
        [self = this->shared_from_this(), call](const HttpFailure *failure, const HttpResponse &response) {
            if (failure != nullptr) {
                self->history.record(CallerLost{call, failure->error.describe(), failure->mayHaveBeenSent});
                return self->closed(false, Duration::zero());
            }
            const CallerAnswered answered = answeredEvent(call, response);
            self->history.record(answered);
            self->closed(answered.outcome == "done", Milliseconds(answered.retryAfterMilliseconds));
        });
}

void SimulatedCaller::closed(bool settled, Duration comeBack)
{
    this->errandSettled = this->errandSettled || settled;
    this->waitBeforeAgain = std::max(this->waitBeforeAgain, std::min(comeBack, longestWait));
    if (--this->openCalls > 0)
        return;
    if (this->wantsAgain())
        return this->pause(this->waitBeforeAgain, &SimulatedCaller::sendAgain);
    this->pause(Milliseconds(this->random() % (this->settings.longestPause.count() + 1)),
                &SimulatedCaller::nextErrand);
}

bool SimulatedCaller::wantsAgain()
{
    if (this->errand.key.empty() || this->errand.sendings >= maximumSendings
        || SteadyClock::now() >= this->end)
        return false;
    return !this->errandSettled || this->draw(this->settings.repeatShare);
}

void SimulatedCaller::sendAgain()
{
    this->openCalls = 1;
    this->send();
}

} // namespace Sagecrank

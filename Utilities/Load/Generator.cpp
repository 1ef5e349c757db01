// Implements Generator.h.
#include <Load/Generator.h>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace Sagecrank {

namespace {

// A call times out this long after its deadline, so that the node's own response to a missed deadline comes
// first.
constexpr Milliseconds deadlineGrace{500};
constexpr Milliseconds timeoutWithoutDeadline{35'000}; // Longer than the timeout of any route.
constexpr Milliseconds timeoutCheckInterval{10};
constexpr Milliseconds unknownOutcomeRetryDelay{20}; // Unknown outcomes come without a retry delay.
// Limit of the active calls of one thread. Above it the system handles far fewer calls than are offered, and
// more calls in the queue would only use memory.
constexpr std::size_t maximumActiveCalls = 50'000;
constexpr Microseconds spinWindow{1200}; // Kernel timers may fire about 1 ms late under load.

std::string digestOf(const std::string &body)
{
    return historyDigest(body);
}

boost::asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("expected ip:port, got " + address);
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return {boost::asio::ip::make_address(address.substr(0, colon)), port};
}

std::vector<double> sharesOf(const std::vector<MixEntry> &mix)
{
    std::vector<double> shares;
    for (const MixEntry &entry : mix)
        shares.push_back(entry.share);
    return shares;
}

std::size_t expectedResponseBytes(std::string_view path)
{
    constexpr std::string_view name = "answer_bytes=";
    const std::size_t at = path.find(name);
    std::size_t bytes = 0;
    if (at != std::string_view::npos)
        std::from_chars(path.data() + at + name.size(), path.data() + path.size(), bytes);
    return bytes;
}

} // namespace

Generator::Generator(const LoadSettings &settings, unsigned index, HistoryRecorder &history)
    : settings(settings)
    , index(index)
    , history(history)
    , timer(this->context)
    , random((settings.seed * 1000) + index)
    , schedule(settings.arrivals, settings.rate / settings.threads, (settings.seed * 7919) + index)
    , kindChoice(sharesOf(settings.mix))
    , numberChoice(std::max<std::size_t>(settings.numbers, 1), settings.skew)
    , targets(2)
    , body(settings.bodyBytes, 'b')
    , bodyDigest(digestOf(this->body))
    , results(settings.mix.size())
{
    this->targetChoice.emplace_back(std::max<std::size_t>(settings.targets.size(), 1), settings.skew);
    this->targetChoice.emplace_back(std::max<std::size_t>(settings.direct.size(), 1), settings.skew);
    this->buildTargets(TrafficPath::ThroughNode, settings.targets);
    this->buildTargets(TrafficPath::Direct, settings.direct);
}

Generator::~Generator()
{
    for (std::vector<Target> &pathTargets : this->targets) {
        for (Target &target : pathTargets) {
            for (const auto &connection : target.connections)
                connection->close();
        }
    }
}

void Generator::buildTargets(TrafficPath trafficPath, const std::vector<std::string> &addresses)
{
    std::vector<Target> &list = this->targets[static_cast<std::size_t>(trafficPath)];
    list.resize(addresses.size());
    const std::size_t share = this->settings.connections / this->settings.threads;
    for (std::size_t at = 0; at < addresses.size(); ++at) {
        Target &target = list[at];
        target.address = addresses[at];
        target.endpoint = endpointOf(addresses[at]);
        const std::size_t count = std::max<std::size_t>(1, share / addresses.size());
        for (std::size_t number = 0; number < count; ++number) {
            target.connections.push_back(std::make_shared<LoadConnection>(
                this->context, target.endpoint,
                LoadConnection::Callbacks{
                    [this, &target](LoadConnection &connection, const Response &response) {
                        this->onResponse(target, connection, response);
                    },
                    [this, &target](LoadConnection &connection, const std::string &reason) {
                        this->onFailure(target, connection, reason);
                    }}));
            target.idle.push_back(target.connections.back().get());
        }
    }
}

void Generator::run(Instant start)
{
    this->start = start;
    const Instant lastStart = start
                              + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                                  this->settings.warmupSeconds + this->settings.seconds));
    this->nextDue = start + this->schedule.next();
    this->nextTimeoutCheck = start;
    auto guard = boost::asio::make_work_guard(this->context);
    while (true) {
        const Instant now = SteadyClock::now();
        if (this->nextDue < lastStart)
            this->startDueCalls(std::min(now, lastStart));
        else if (this->activeCalls == 0)
            break;
        this->startDueRetries(now);
        if (now >= this->nextTimeoutCheck)
            this->failOverdueCalls(now);
        this->waitForNextEvent(now);
    }
}

void Generator::waitForNextEvent(Instant now)
{
    const Instant retry = this->retries.empty() ? now + timeoutCheckInterval : this->retries.top().due;
    const Instant due = std::min(
        {this->nextDue < now ? now + timeoutCheckInterval : this->nextDue, retry, this->nextTimeoutCheck});
    if (this->settings.spin && due - now < spinWindow) {
        this->context.poll();
        return;
    }
    this->timer.expires_at(this->settings.spin ? due - spinWindow : due);
    this->timer.async_wait([](const boost::system::error_code &) {});
    this->context.run_one();
    this->context.poll();
}

void Generator::startDueCalls(Instant now)
{
    while (this->nextDue <= now) {
        this->startCall(this->nextDue);
        this->nextDue = this->start + this->schedule.next();
    }
}

void Generator::startCall(Instant intendedStart)
{
    std::size_t slot = 0;
    if (this->freeCalls.empty()) {
        slot = this->calls.size();
        this->calls.emplace_back();
    } else {
        slot = this->freeCalls.back();
        this->freeCalls.pop_back();
    }
    Call &call = this->calls[slot];
    const bool both = !this->settings.targets.empty() && !this->settings.direct.empty();
    const bool direct = this->settings.targets.empty() || (both && (this->random() & 1) != 0);
    call.trafficPath = direct ? TrafficPath::Direct : TrafficPath::ThroughNode;
    call.kind = this->kindChoice.draw(this->random);
    call.target = this->targetChoice[static_cast<std::size_t>(call.trafficPath)].draw(this->random);
    call.intendedStart = intendedStart;
    call.retriesLeft = this->settings.retries;
    call.counted = intendedStart - this->start >= std::chrono::duration<double>(this->settings.warmupSeconds);
    call.active = true;
    ++this->activeCalls;
    const MixEntry &entry = this->settings.mix[call.kind];
    call.path = entry.path;
    if (const std::size_t at = call.path.find("{n}"); at != std::string::npos)
        call.path.replace(at, 3, std::to_string(this->numberChoice.draw(this->random)));
    call.key.clear();
    if (entry.keyed)
        call.key = this->settings.runId + "-key-" + std::to_string(this->index) + "-"
                   + std::to_string(this->nextCallNumber);
    if (this->activeCalls > maximumActiveCalls)
        return this->finish(slot, FinalOutcome::Unsent, "too many calls wait for a connection", false);
    this->startAttempt(slot);
}

void Generator::startAttempt(std::size_t index)
{
    Call &call = this->calls[index];
    call.callId = this->settings.runId + "-" + std::to_string(this->index) + "-"
                  + std::to_string(this->nextCallNumber++);
    this->assignConnection(index);
}

void Generator::assignConnection(std::size_t index)
{
    Target &target = this->targetOf(this->calls[index]);
    if (target.idle.empty()) {
        this->calls[index].sent = SteadyClock::now();
        target.waiting.push_back(index);
        return;
    }
    LoadConnection *connection = target.idle.back();
    target.idle.pop_back();
    this->sendOn(*connection, index);
}

void Generator::sendOn(LoadConnection &connection, std::size_t index)
{
    Call &call = this->calls[index];
    const bool first = call.retriesLeft == this->settings.retries;
    call.sent = SteadyClock::now();
    if (first && call.counted)
        this->results.sendLag.record(call.sent - call.intendedStart);
    const MixEntry &entry = this->settings.mix[call.kind];
    connection.call = index;
    this->recordSent(call, this->targetOf(call).address);
    connection.send(OutgoingRequest{
        entry.method, call.path, call.callId, call.key, entry.method == "GET" ? std::string() : this->body,
        this->settings.deadline.count() == 0 ? std::string()
                                             : std::to_string(this->settings.deadline.count())});
}

void Generator::onResponse(Target &target, LoadConnection &connection, const Response &response)
{
    const std::size_t index = connection.call;
    Call &call = this->calls[index];
    this->recordResponse(call, response);
    FinalOutcome outcome = classifyResponse(response);
    if (outcome == FinalOutcome::Done && this->settings.checkResponses && !this->matchesCall(call, response))
        outcome = FinalOutcome::Wrong;
    const std::string reason = response.reason.empty() && outcome != FinalOutcome::Done
                                   ? "status " + std::to_string(response.status)
                                   : response.reason;
    const Milliseconds retryAfter(std::max<std::uint64_t>(response.retryAfterMilliseconds, 1));
    if (!this->scheduleRetry(index, outcome,
                             outcome == FinalOutcome::NotRun ? retryAfter : unknownOutcomeRetryDelay))
        this->finish(index, outcome, reason, response.replayed);
    this->releaseConnection(target, connection);
}

void Generator::onFailure(Target &target, LoadConnection &connection, const std::string &reason)
{
    const std::size_t index = connection.call;
    this->history.record([&] { return CallerLost{this->calls[index].callId, reason}; });
    if (!this->scheduleRetry(index, FinalOutcome::Broken, unknownOutcomeRetryDelay))
        this->finish(index, FinalOutcome::Broken, reason, false);
    this->releaseConnection(target, connection);
}

void Generator::releaseConnection(Target &target, LoadConnection &connection)
{
    if (target.waiting.empty()) {
        target.idle.push_back(&connection);
        return;
    }
    const std::size_t next = target.waiting.front();
    target.waiting.pop_front();
    this->sendOn(connection, next);
}

// Follows the retry rules for callers: a refused call is retried after the delay that the refusal states, and
// a call with an unknown outcome only if it is idempotent or has an idempotency key. Each retry goes to the
// next node.
bool Generator::scheduleRetry(std::size_t index, FinalOutcome outcome, Milliseconds delay)
{
    Call &call = this->calls[index];
    const bool refused = outcome == FinalOutcome::NotRun;
    const bool unknown = outcome == FinalOutcome::Unknown || outcome == FinalOutcome::Broken;
    const bool retryable = refused || (unknown && this->settings.mix[call.kind].isSafeToRetry());
    if (!retryable || call.retriesLeft == 0)
        return false;
    --call.retriesLeft;
    if (call.counted)
        ++this->results.kind(call.trafficPath, call.kind).retries;
    call.target = (call.target + 1) % this->targets[static_cast<std::size_t>(call.trafficPath)].size();
    this->retries.push(Retry{SteadyClock::now() + delay, index});
    return true;
}

void Generator::finish(std::size_t index, FinalOutcome outcome, const std::string &reason, bool replayed)
{
    Call &call = this->calls[index];
    call.active = false;
    --this->activeCalls;
    this->freeCalls.push_back(index);
    if (!call.counted)
        return;
    const Duration latency = SteadyClock::now() - call.intendedStart;
    KindStatistics &kind = this->results.kind(call.trafficPath, call.kind);
    ++kind.outcomes[static_cast<std::size_t>(outcome)];
    if (replayed)
        ++kind.replayed;
    if (outcome == FinalOutcome::Done) {
        kind.doneLatency.record(latency);
        if (this->settings.deadline.count() == 0 || latency <= this->settings.deadline)
            ++kind.withinDeadline;
        return;
    }
    if (outcome == FinalOutcome::NotRun)
        kind.refusedLatency.record(latency);
    ++kind.reasons[std::string(finalOutcomeNames.name(outcome)) + ": " + reason];
}

void Generator::startDueRetries(Instant now)
{
    while (!this->retries.empty() && this->retries.top().due <= now) {
        const std::size_t index = this->retries.top().call;
        this->retries.pop();
        this->startAttempt(index);
    }
}

void Generator::failOverdueCalls(Instant now)
{
    this->nextTimeoutCheck = now + timeoutCheckInterval;
    const bool hasDeadline = this->settings.deadline.count() != 0;
    const Duration timeout = (hasDeadline ? this->settings.deadline : timeoutWithoutDeadline) + deadlineGrace;
    for (std::vector<Target> &pathTargets : this->targets) {
        for (Target &target : pathTargets) {
            std::vector<LoadConnection *> overdue;
            for (const auto &connection : target.connections) {
                const Call *call =
                    connection->call < this->calls.size() ? &this->calls[connection->call] : nullptr;
                if (connection->isBusy() && call != nullptr && now - call->sent > timeout)
                    overdue.push_back(connection.get());
            }
            for (LoadConnection *connection : overdue)
                connection->abort("no answer in time");
            while (!target.waiting.empty() && now - this->calls[target.waiting.front()].sent > timeout) {
                const std::size_t index = target.waiting.front();
                target.waiting.pop_front();
                this->finish(index, FinalOutcome::Unsent, "no connection became free", false);
            }
        }
    }
}

bool Generator::matchesCall(const Call &call, const Response &response) const
{
    const MixEntry &entry = this->settings.mix[call.kind];
    std::string_view body = response.body;
    std::string expected = "call=" + call.callId;
    // A replayed response has the call id of an earlier attempt with the same key.
    if (response.replayed)
        expected = body.substr(0, body.find('\n'));
    const bool empty = entry.method == "GET" || this->body.empty();
    expected += "\nmethod=" + entry.method + "\ntarget=" + call.path
                + "\nbody=" + (empty ? digestOf({}) : this->bodyDigest) + "\n";
    const std::size_t size = std::max(expected.size(), expectedResponseBytes(call.path));
    return body.starts_with(expected) && body.size() == size;
}

void Generator::recordSent(const Call &call, const std::string &address)
{
    this->history.record([&] {
        const MixEntry &entry = this->settings.mix[call.kind];
        CallerSent event;
        event.call = call.callId;
        event.key = call.key;
        event.method = entry.method;
        event.target = call.path;
        event.callClass = callClassNames.name(entry.callClass);
        event.idempotent = entry.callClass != CallClass::NonIdempotent;
        event.deadlineMilliseconds = static_cast<std::uint64_t>(this->settings.deadline.count());
        event.node = address;
        event.body = entry.method == "GET" ? digestOf({}) : this->bodyDigest;
        return event;
    });
}

void Generator::recordResponse(const Call &call, const Response &response)
{
    this->history.record([&] {
        CallerAnswered event;
        event.call = call.callId;
        event.status = response.status;
        event.outcome = response.outcome;
        event.reason = response.reason;
        event.replayed = response.replayed;
        event.echo = response.callId;
        event.body = historyDigest(response.body);
        event.retryAfterMilliseconds = response.retryAfterMilliseconds;
        return event;
    });
}

Generator::Target &Generator::targetOf(const Call &call)
{
    return this->targets[static_cast<std::size_t>(call.trafficPath)][call.target];
}

} // namespace Sagecrank

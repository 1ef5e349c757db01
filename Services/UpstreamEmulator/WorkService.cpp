// The states of a call in the upstream: shed, waiting, running, ended.
#include <UpstreamEmulator/WorkService.h>

#include <UpstreamEmulator/Answer.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <optional>

namespace Sagecrank {

namespace {

constexpr Milliseconds maximumLag{600'000};
constexpr std::size_t maximumReportHistory = 4096;

std::optional<Milliseconds> parseDeadline(const HttpRequest &request)
{
    const std::string_view text = findHeader(request.headers, "Sagecrank-Deadline-Ms");
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (text.empty() || parsed.ec != std::errc())
        return std::nullopt;
    return Milliseconds(milliseconds);
}

std::string headerText(const HttpRequest &request, std::string_view name)
{
    return std::string(findHeader(request.headers, name));
}

bool isControlTarget(std::string_view target)
{
    return target.starts_with("/emulator/") || target == "/health";
}

} // namespace

// Used only on the thread of its context, except for its place in the queue, which the service's lock guards.
class WorkService::Call : public std::enable_shared_from_this<WorkService::Call>
{
public:
    Call(WorkService &service, boost::asio::io_context &context, HttpRequest request,
         std::shared_ptr<HttpExchange> exchange, std::uint64_t number)
        : service(service)
        , context(context)
        , request(std::move(request))
        , exchange(std::move(exchange))
        , number(number)
    {
    }

    void admit();
    void postStart();

private:
    bool mustShed() const
    {
        return this->callFault == CallFault::Shed || this->callFault == CallFault::ShedDuplicatedLate;
    }
    void armDeadline(Milliseconds limit);
    void shed(std::string_view why);
    void start();
    void finish();
    void callerDisconnected();
    void deadlinePassed();
    void leaveQueue();
    void endRunningCall(std::optional<HttpResponse> response);

    WorkService &service;
    boost::asio::io_context &context;
    HttpRequest request;
    std::shared_ptr<HttpExchange> exchange;
    std::uint64_t number;
    std::optional<boost::asio::steady_timer> workTimer;
    std::optional<boost::asio::steady_timer> deadlineTimer;
    CallFault callFault = CallFault::None;
    bool running = false; // Holds a slot.
    bool ended = false;   // Responded to or cancelled.
};

void WorkService::Call::admit()
{
    const std::optional<Milliseconds> limit = parseDeadline(this->request);
    if (limit && limit->count() <= 0)
        return this->shed("the deadline has passed");
    SlotDecision decision = SlotDecision::Shed;
    {
        const std::lock_guard guard(this->service.lock);
        this->callFault = this->service.faults.drawCallFault();
        if (!this->mustShed())
            decision = this->service.slots.admit(this->number);
        if (decision == SlotDecision::Wait)
            this->service.waitingCalls[this->number] = this->shared_from_this();
    }
    if (decision == SlotDecision::Shed)
        return this->shed(this->mustShed() ? "shedding load" : "all slots and the line are full");
    this->exchange->onCallerDisconnected([self = this->shared_from_this()] { self->callerDisconnected(); });
    if (limit)
        this->armDeadline(*limit);
    if (decision == SlotDecision::Start)
        this->start();
}

void WorkService::Call::postStart()
{
    boost::asio::post(this->context, [self = this->shared_from_this()] { self->start(); });
}

void WorkService::Call::armDeadline(Milliseconds limit)
{
    this->deadlineTimer.emplace(this->context, limit);
    this->deadlineTimer->async_wait(
        [self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error)
                self->deadlinePassed();
        });
}

void WorkService::Call::shed(std::string_view why)
{
    ++this->service.shed;
    this->ended = true;
    HttpResponse response = shedResponse(this->request, why);
    this->service.addStatements(response);
    if (this->callFault == CallFault::ShedDuplicatedLate)
        addFaultHeader(response, this->callFault);
    this->exchange->respond(std::move(response));
}

void WorkService::Call::start()
{
    if (this->ended) {
        // Cancelled while its start was posted to this thread; pass the slot to the next call.
        this->service.startNext();
        return;
    }
    this->running = true;
    ++this->service.begun;
    this->service.history.record([this] {
        return UpstreamBegan{headerText(this->request, "Sagecrank-Call-Id"),
                             headerText(this->request, "Sagecrank-Attempt"),
                             headerText(this->request, "Idempotency-Key"), historyDigest(this->request.body)};
    });
    Microseconds time{0};
    {
        const std::lock_guard guard(this->service.lock);
        const Duration sinceStart = this->service.now() - this->service.started;
        time = this->service.times.draw(this->request.target, sinceStart,
                                        this->service.faults.settings().slowFactor);
    }
    if (this->callFault == CallFault::Hung)
        return;
    if (time.count() == 0 || this->callFault == CallFault::Failed)
        return this->finish();
    this->workTimer.emplace(this->context, time);
    this->workTimer->async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->ended)
            self->finish();
    });
}

void WorkService::Call::finish()
{
    const std::string &crashPrefix = this->service.settings.crashPrefix;
    if (!crashPrefix.empty() && this->request.target.starts_with(crashPrefix))
        return this->service.settings.crash();
    if (this->callFault == CallFault::Failed) {
        ++this->service.failed;
        return this->endRunningCall(errorResponse(this->request, 500, "failing fast"));
    }
    ++this->service.served;
    HttpResponse answer = servedResponse(this->request, this->service.settings.name);
    if (this->callFault != CallFault::None)
        addFaultHeader(answer, this->callFault);
    this->endRunningCall(std::move(answer));
}

// A queued call whose caller disconnects or whose deadline passes never runs; a running one is stopped.
void WorkService::Call::callerDisconnected()
{
    if (this->ended)
        return;
    ++this->service.cancelled;
    if (this->running)
        return this->endRunningCall(std::nullopt);
    this->ended = true;
    this->leaveQueue();
}

void WorkService::Call::deadlinePassed()
{
    if (this->ended)
        return;
    ++this->service.cancelled;
    if (this->running)
        return this->endRunningCall(
            errorResponse(this->request, 504, "the deadline passed while the work ran"));
    this->leaveQueue();
    this->shed("the deadline passed before the work began");
}

void WorkService::Call::leaveQueue()
{
    const std::lock_guard guard(this->service.lock);
    this->service.slots.removeWaiting(this->number);
    this->service.waitingCalls.erase(this->number);
}

// No response means that the caller has disconnected.
void WorkService::Call::endRunningCall(std::optional<HttpResponse> response)
{
    this->ended = true;
    if (this->workTimer)
        this->workTimer->cancel();
    if (this->deadlineTimer)
        this->deadlineTimer->cancel();
    this->service.history.record([&] {
        return UpstreamEnded{headerText(this->request, "Sagecrank-Call-Id"),
                             headerText(this->request, "Sagecrank-Attempt"), response ? response->status : 0,
                             response ? historyDigest(response->body) : std::string(), !response};
    });
    this->service.startNext();
    if (!response)
        return;
    if (this->callFault == CallFault::Dropped)
        return this->exchange->drop();
    this->service.addStatements(*response);
    this->exchange->respond(std::move(*response));
}

WorkService::WorkService(WorkSettings settings, HistoryRecorder &history, Now now, FaultsSet faultsSet)
    : settings(std::move(settings))
    , history(history)
    , now(std::move(now))
    , faultsSet(std::move(faultsSet))
    , started(this->now())
    , slots(this->settings.slots, this->settings.maximumWaiting)
    , times(this->settings.paths, this->settings.cold, this->settings.seed)
{
}

WorkService::~WorkService() = default;

void WorkService::handle(boost::asio::io_context &context, HttpRequest request,
                         std::shared_ptr<HttpExchange> exchange)
{
    if (isControlTarget(request.target)) {
        this->handleControlRequest(request, *exchange);
        return;
    }
    const auto call = std::make_shared<Call>(*this, context, std::move(request), std::move(exchange),
                                             this->nextCall.fetch_add(1, std::memory_order_relaxed));
    call->admit();
}

void WorkService::startNext()
{
    std::shared_ptr<Call> next;
    {
        const std::lock_guard guard(this->lock);
        const std::optional<std::uint64_t> number = this->slots.release();
        if (!number)
            return;
        const auto found = this->waitingCalls.find(*number);
        next = found->second;
        this->waitingCalls.erase(found);
    }
    next->postStart();
}

void WorkService::handleControlRequest(const HttpRequest &request, HttpExchange &exchange)
{
    if (request.target == "/health") {
        const UpstreamReport reported = this->externalReport();
        const std::string body = "{\"state\":\"" + std::string(upstreamStateNames.name(reported.state))
                                 + "\",\"running\":" + std::to_string(reported.running)
                                 + ",\"waiting\":" + std::to_string(reported.waiting) + "}";
        const bool ready = reported.state == UpstreamState::Ready;
        return exchange.respond(makeResponse(ready ? 200 : 503, "application/json", body));
    }
    if (request.target == "/emulator/counters")
        return exchange.respond(makeResponse(200, "application/json", this->countersJson()));
    if (request.target != "/emulator/faults" || request.method != "POST")
        return exchange.respond(
            makeResponse(404, "text/plain", "use /emulator/faults or /emulator/counters\n"));
    const Result<UpstreamFaultSettings> requested = parseUpstreamFaultSettings(request.body);
    if (!requested)
        return exchange.respond(makeResponse(400, "text/plain", requested.error().describe() + "\n"));
    this->setFaults(requested.value());
    this->faultsSet(request.body);
    exchange.respond(makeResponse(200, "application/json", "{}"));
}

void WorkService::setFaults(const UpstreamFaultSettings &settings)
{
    bool limitChanges = false;
    {
        const std::lock_guard guard(this->lock);
        limitChanges = this->faults.settings().namedLimit != settings.namedLimit;
    }
    if (limitChanges)
        this->history.record([&] { return UpstreamLimited{settings.namedLimit}; });
    const std::lock_guard guard(this->lock);
    this->faults.set(settings);
}

// What every answer states about the upstream.
void WorkService::addStatements(HttpResponse &response) const
{
    const std::lock_guard guard(this->lock);
    const std::uint32_t limit = this->faults.settings().namedLimit;
    if (limit > 0)
        response.headers.push_back({"Sagecrank-Upstream-Limit", std::to_string(limit)});
    if (this->state == UpstreamState::Draining)
        response.headers.push_back({"Sagecrank-Upstream-Leaving", "1"});
}

UpstreamReport WorkService::report() const
{
    const std::lock_guard guard(this->lock);
    return UpstreamReport{this->state, this->slots.running(), this->slots.waiting()};
}

UpstreamReport WorkService::externalReport()
{
    const UpstreamReport actual = this->report();
    const Instant when = this->now();
    const std::lock_guard guard(this->lock);
    this->reportHistory.emplace_back(when, actual);
    while (this->reportHistory.front().first < when - maximumLag
           || this->reportHistory.size() > maximumReportHistory)
        this->reportHistory.pop_front();
    const UpstreamFaultSettings &faultSettings = this->faults.settings();
    if (faultSettings.misleadingHealth)
        return UpstreamReport{UpstreamState::Ready, 0, 0};
    UpstreamReport reported = this->reportHistory.front().second;
    for (const auto &[time, old] : this->reportHistory) {
        if (time <= when - faultSettings.healthLag)
            reported = old;
    }
    return reported;
}

std::optional<HttpResponse> WorkService::respondBeforeBody(const HttpRequest &header)
{
    if (isControlTarget(header.target))
        return std::nullopt;
    const std::lock_guard guard(this->lock);
    if (!this->faults.drawEarlyRefusal())
        return std::nullopt;
    ++this->shed;
    return shedResponse(header, "refused before the body was in"); // Says nothing about limits or leaving.
}

bool WorkService::suppressesAnnouncements() const
{
    const std::lock_guard guard(this->lock);
    return this->faults.settings().silent;
}

std::string WorkService::countersJson() const
{
    const UpstreamReport now = this->report();
    boost::json::object all;
    all["begun"] = this->begun.load();
    all["served"] = this->served.load();
    all["cancelled"] = this->cancelled.load();
    all["shed"] = this->shed.load();
    all["failed"] = this->failed.load();
    all["running"] = now.running;
    all["waiting"] = now.waiting;
    return boost::json::serialize(all);
}

} // namespace Sagecrank

// Answers calls, keeps watches, and misbehaves on command.
#include <RowsEmulator/RowsService.h>

namespace Sagecrank {

using Platform::RowsCall;
using Platform::RowsRequest;

RowsService::RowsService(boost::asio::io_context &context, RowsServiceSettings settings, FaultsSet faultsSet)
    : context(context)
    , settings(settings)
    , faultsSet(std::move(faultsSet))
    , writes(settings.writeRate)
    , reads(settings.readRate)
{
}

void RowsService::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                         std::size_t door)
{
    if (request.target.starts_with("/emulator/"))
        return this->control(request, *exchange, door);
    const FaultSettings &fault = this->faultsAt(door).settings();
    if (fault.down) {
        if (fault.downAnswers)
            return exchange->respond(makeResponse(503, "text/plain", "unavailable\n"));
        return exchange->drop();
    }
    const Result<RowsRequest> decoded = Platform::decodeRowsRequest(request);
    if (!decoded)
        return exchange->respond(makeResponse(400, "text/plain", decoded.error().describe() + "\n"));
    RateLimit &limit = decoded.value().call == RowsCall::Write ? this->writes : this->reads;
    if (!limit.take(1, SteadyClock::now()))
        return exchange->respond(Platform::encodeBusy());
    this->later(this->settings.answerTime + fault.delay,
                [this, request = decoded.value(), exchange, door] { this->run(request, exchange, door); });
}

// A door that nobody came by yet is as the first one.
Faults &RowsService::faultsAt(std::size_t door)
{
    return this->faults.try_emplace(door, this->faults[0]).first->second;
}

void RowsService::putConfiguration(const std::string &document)
{
    const Platform::RowsRange place = Platform::configurationRow();
    this->store.apply({{place.table, place.part, place.from, document, false, std::nullopt}});
    this->tellWatches();
}

void RowsService::control(const HttpRequest &request, HttpExchange &exchange, std::size_t door)
{
    if (request.target == "/emulator/configuration") {
        this->putConfiguration(request.body);
        return exchange.respond(makeResponse(200, "text/plain", "in force\n"));
    }
    if (request.target == "/emulator/drop-history") {
        this->dropHistory();
        return exchange.respond(makeResponse(200, "text/plain", "dropped\n"));
    }
    if (request.target != "/emulator/faults")
        return exchange.respond(makeResponse(404, "text/plain", "no such command\n"));
    const Result<FaultSettings> wanted = readFaults(request.body);
    if (!wanted)
        return exchange.respond(makeResponse(400, "text/plain", wanted.error().describe() + "\n"));
    if (door == 0)
        this->faults.clear();
    this->faultsAt(door).set(wanted.value());
    this->faultsSet(request.body);
    exchange.respond(makeResponse(200, "application/json", "{}"));
}

void RowsService::run(const RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                      std::size_t door)
{
    switch (request.call) {
    case RowsCall::Get:
        return exchange->respond(Platform::encodeRows(this->store.rows(request.range), this->store.newest()));
    case RowsCall::Write:
        return this->write(request, exchange, door);
    case RowsCall::Feed:
        return this->watch(request, exchange);
    }
}

// A write whose answer is lost has taken effect; a late one takes effect after its connection is gone.
void RowsService::write(const RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                        std::size_t door)
{
    Faults &own = this->faultsAt(door);
    const WriteFate fate = own.drawWriteFate();
    if (fate == WriteFate::EffectLate) {
        exchange->drop();
        return this->later(own.settings().lateBy, [this, request] {
            this->store.apply(request.writes);
            this->tellWatches();
        });
    }
    const auto refused = this->store.apply(request.writes);
    this->tellWatches();
    if (fate == WriteFate::AnswerLost)
        return exchange->drop();
    exchange->respond(refused ? Platform::encodeConflict(*refused, this->store.newest())
                              : Platform::encodeWritten(this->store.newest()));
}

void RowsService::watch(const RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto changes = this->store.changesAfter(request.range.table, request.after);
    if (!changes)
        return exchange->respond(Platform::encodeHistoryGone());
    if (!changes->empty() || request.wait == Milliseconds(0))
        return exchange->respond(Platform::encodeRows(*changes, this->store.newest()));
    const auto watch = std::make_shared<Watch>(this->context, exchange);
    watch->table = request.range.table;
    watch->after = request.after;
    this->watches.push_back(watch);
    watch->timer.expires_after(request.wait);
    watch->timer.async_wait([this, watch](const boost::system::error_code &error) {
        if (error)
            return;
        this->watches.remove(watch);
        watch->exchange->respond(Platform::encodeRows({}, this->store.newest()));
    });
}

void RowsService::tellWatches()
{
    for (auto entry = this->watches.begin(); entry != this->watches.end();) {
        const std::shared_ptr<Watch> watch = *entry;
        const auto changes = this->store.changesAfter(watch->table, watch->after);
        if (changes && changes->empty()) {
            ++entry;
            continue;
        }
        entry = this->watches.erase(entry);
        watch->timer.cancel();
        watch->exchange->respond(changes ? Platform::encodeRows(*changes, this->store.newest())
                                         : Platform::encodeHistoryGone());
    }
}

void RowsService::later(Milliseconds delay, std::function<void()> step)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, step = std::move(step)](const boost::system::error_code &error) {
        if (!error)
            step();
    });
}

} // namespace Sagecrank

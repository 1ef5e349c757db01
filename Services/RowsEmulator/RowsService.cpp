// Answers calls, keeps watches, and misbehaves on command.
#include <RowsEmulator/RowsService.h>

#include <platform/Json.h>

#include <boost/json.hpp>

#include <algorithm>

namespace Sagecrank {

using Platform::QualifiedRow;
using Platform::RowsCall;
using Platform::RowsRequest;

namespace {

constexpr std::uint64_t longestDrill = 60000; // Milliseconds.

// Whose writers write again what the store has lost.
constexpr const char *othersTables[] = {"op", "servers"};

HttpResponse plainText(std::uint32_t status, std::string text)
{
    return makeResponse(status, "text/plain", std::move(text) + "\n");
}

} // namespace

Result<ReturnSettings> readReturn(const std::string &json)
{
    const boost::json::object object = TRY(Platform::parseObject(json, "read drill"));
    const auto milliseconds = [&object](std::string_view name) -> Result<Milliseconds> {
        if (!Platform::hasField(object, name))
            return Milliseconds(0);
        return Milliseconds(TRY(Platform::unsignedField(object, name, longestDrill)));
    };
    ReturnSettings drill;
    drill.away = TRY(milliseconds("away_ms"));
    drill.writtenAgainAfter = TRY(milliseconds("written_again_ms"));
    const auto flag = [&object](std::string_view name) {
        const boost::json::value *value = object.if_contains(name);
        return value != nullptr && value->is_bool() && value->as_bool();
    };
    drill.quiet = flag("quiet");
    drill.forgetsWatches = flag("forgets_watches");
    return drill;
}

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
    if (this->away)
        return exchange->drop();
    const FaultSettings &fault = this->faultsAt(door).settings();
    if (fault.down) {
        if (fault.answerWhileDown)
            return this->answer(*exchange, makeResponse(503, "text/plain", "unavailable\n"));
        return exchange->drop();
    }
    const Result<RowsRequest> decoded = Platform::decodeRowsRequest(request);
    if (!decoded)
        return this->answer(*exchange, makeResponse(400, "text/plain", decoded.error().describe() + "\n"));
    RateLimiter &limit = decoded.value().call == RowsCall::Write ? this->writes : this->reads;
    if (!limit.tryTake(1, SteadyClock::now()))
        return this->answer(*exchange, Platform::encodeThrottled());
    this->later(this->settings.answerTime + fault.delay,
                [this, request = decoded.value(), exchange, door] { this->run(request, exchange, door); });
}

// A door that nobody came by yet is as the first one.
FaultInjector &RowsService::faultsAt(std::size_t door)
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
    exchange.respond(this->obey(request, door));
}

HttpResponse RowsService::obey(const HttpRequest &request, std::size_t door)
{
    const std::string_view command =
        std::string_view(request.target).substr(std::string_view("/emulator/").size());
    if (command == "configuration") {
        this->putConfiguration(request.body);
        return plainText(200, "in force");
    }
    if (command == "drop-history") {
        this->dropHistory();
        return plainText(200, "dropped");
    }
    if (command == "copy") {
        this->takeCopy();
        return plainText(200, "copied");
    }
    if (command == "return")
        return this->commandReturn(request.body);
    if (command == "era")
        return this->commandEra(request.body);
    if (command != "faults")
        return plainText(404, "no such command");
    const Result<FaultSettings> wanted = parseFaultSettings(request.body);
    if (!wanted)
        return plainText(400, wanted.error().describe());
    if (door == 0)
        this->faults.clear();
    this->faultsAt(door).set(wanted.value());
    this->faultsSet(request.body);
    return makeResponse(200, "application/json", "{}");
}

HttpResponse RowsService::commandReturn(const std::string &json)
{
    const Result<ReturnSettings> drill = readReturn(json);
    if (!drill)
        return plainText(400, drill.error().describe());
    if (!this->returnFromCopy(drill.value()))
        return plainText(409, "there is no copy");
    this->faultsSet(json);
    return plainText(200, "as of the copy");
}

HttpResponse RowsService::commandEra(const std::string &text)
{
    this->stateEra(text == "own" ? std::nullopt : std::optional(text));
    return plainText(200, "stated");
}

bool RowsService::returnFromCopy(const ReturnSettings &drill)
{
    if (!this->copy)
        return false;
    this->away = true;
    for (const std::shared_ptr<Watch> &watch : std::exchange(this->watches, {})) {
        watch->timer.cancel();
        if (drill.forgetsWatches)
            this->forgotten.push_back(watch);
        else
            watch->exchange->drop();
    }
    std::vector<QualifiedRow> written = this->stillLost();
    for (QualifiedRow &row : this->othersRows())
        written.push_back(std::move(row));
    this->lost = std::move(written);
    if (drill.away == Milliseconds(0))
        this->comeBack(drill);
    else
        this->later(drill.away, [this, drill] { this->comeBack(drill); });
    return true;
}

void RowsService::comeBack(const ReturnSettings &drill)
{
    this->store = *this->copy;
    this->returnedAt = this->store.newest();
    this->quiet = drill.quiet;
    this->away = false;
    ++this->era;
    if (drill.writtenAgainAfter == Milliseconds(0))
        return this->writeAgain();
    this->later(drill.writtenAgainAfter, [this, wanted = this->era] {
        if (wanted == this->era && !this->away) // Else the next return sees to it.
            this->writeAgain();
    });
}

// In another order than before.
void RowsService::writeAgain()
{
    std::vector<QualifiedRow> rows = this->stillLost();
    this->lost.clear();
    for (auto row = rows.rbegin(); row != rows.rend(); ++row)
        this->store.apply({{row->table, row->part, row->row.key, row->row.value, false, std::nullopt}});
    this->tellWatches();
}

// Without what stands as it was, and without what was written anew since the return.
std::vector<QualifiedRow> RowsService::stillLost() const
{
    const std::vector<QualifiedRow> standing = this->othersRows();
    std::vector<QualifiedRow> rows;
    for (const QualifiedRow &row : this->lost) {
        const auto held = std::ranges::find_if(standing, [&row](const QualifiedRow &other) {
            return other.table == row.table && other.row.key == row.row.key;
        });
        const bool isLost = held == standing.end()
                            || (held->row.revision <= this->returnedAt && held->row.value != row.row.value);
        if (isLost)
            rows.push_back(row);
    }
    return rows;
}

std::vector<QualifiedRow> RowsService::othersRows() const
{
    constexpr std::uint32_t all = UINT32_MAX;
    std::vector<QualifiedRow> rows;
    for (const char *table : othersTables) {
        for (QualifiedRow &row : this->store.rows({table, {}, {}, {}, all}))
            rows.push_back(std::move(row));
    }
    return rows;
}

void RowsService::answer(HttpExchange &exchange, HttpResponse response) const
{
    const std::string stated = this->eraText.value_or(std::to_string(this->era));
    if (!stated.empty())
        Platform::addEraHeader(response, stated);
    exchange.respond(std::move(response));
}

std::optional<std::vector<QualifiedRow>> RowsService::changesAfter(const std::string &table,
                                                                   std::uint64_t revision) const
{
    if (this->quiet && revision > this->store.newest())
        return std::vector<QualifiedRow>();
    return this->store.changesAfter(table, revision);
}

void RowsService::run(const RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                      std::size_t door)
{
    switch (request.call) {
    case RowsCall::Get:
        return this->answer(*exchange,
                            Platform::encodeRows(this->store.rows(request.range), this->store.newest()));
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
    FaultInjector &own = this->faultsAt(door);
    const WriteFault fault = own.drawWriteFault();
    if (fault == WriteFault::AppliedLate) {
        exchange->drop();
        return this->later(own.settings().lateWriteDelay, [this, request] {
            this->store.apply(request.writes);
            this->tellWatches();
        });
    }
    const auto refused = this->store.apply(request.writes);
    this->tellWatches();
    if (fault == WriteFault::AnswerLost)
        return exchange->drop();
    this->answer(*exchange, refused ? Platform::encodeConflict(*refused, this->store.newest())
                                    : Platform::encodeWriteSuccess(this->store.newest()));
}

void RowsService::watch(const RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto changes = this->changesAfter(request.range.table, request.after);
    if (!changes)
        return this->answer(*exchange, Platform::encodeHistoryExpired());
    if (!changes->empty() || request.wait == Milliseconds(0))
        return this->answer(*exchange, Platform::encodeRows(*changes, this->store.newest()));
    const auto watch = std::make_shared<Watch>(this->context, exchange);
    watch->table = request.range.table;
    watch->after = request.after;
    this->watches.push_back(watch);
    watch->timer.expires_after(request.wait);
    watch->timer.async_wait([this, watch](const boost::system::error_code &error) {
        if (error)
            return;
        this->watches.remove(watch);
        this->answer(*watch->exchange, Platform::encodeRows({}, this->store.newest()));
    });
}

void RowsService::tellWatches()
{
    for (auto entry = this->watches.begin(); entry != this->watches.end();) {
        const std::shared_ptr<Watch> watch = *entry;
        const auto changes = this->changesAfter(watch->table, watch->after);
        if (changes && changes->empty()) {
            ++entry;
            continue;
        }
        entry = this->watches.erase(entry);
        watch->timer.cancel();
        this->answer(*watch->exchange, changes ? Platform::encodeRows(*changes, this->store.newest())
                                               : Platform::encodeHistoryExpired());
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

// Handles calls, watches, control commands, fault injection and snapshot restores.
#include <RowsEmulator/RowsService.h>

#include <platform/Json.h>

#include <boost/json.hpp>

#include <algorithm>

namespace Sagecrank {

using Platform::QualifiedRow;
using Platform::RowsCall;
using Platform::RowsRequest;

namespace {

constexpr std::uint64_t maximumRestoreMilliseconds = 60000;

// The operator and the servers rewrite rows of these tables that a restore lost.
constexpr const char *tablesOfOtherWriters[] = {"op", "servers"};

HttpResponse plainText(std::uint32_t status, std::string text)
{
    return makeResponse(status, "text/plain", std::move(text) + "\n");
}

} // namespace

Result<RestoreSettings> parseRestoreSettings(const std::string &json)
{
    const boost::json::object object = TRY(Platform::parseObject(json, "read drill"));
    const auto milliseconds = [&object](std::string_view name) -> Result<Milliseconds> {
        if (!Platform::hasField(object, name))
            return Milliseconds(0);
        return Milliseconds(TRY(Platform::unsignedField(object, name, maximumRestoreMilliseconds)));
    };
    RestoreSettings settings;
    settings.outage = TRY(milliseconds("away_ms"));
    settings.rewriteDelay = TRY(milliseconds("written_again_ms"));
    const auto flag = [&object](std::string_view name) {
        const boost::json::value *value = object.if_contains(name);
        return value != nullptr && value->is_bool() && value->as_bool();
    };
    settings.hidesRevisionLoss = flag("quiet");
    settings.abandonsWatches = flag("forgets_watches");
    return settings;
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
                         std::size_t listener)
{
    if (request.target.starts_with("/emulator/"))
        return this->handleControlRequest(request, *exchange, listener);
    if (this->unavailable)
        return exchange->drop();
    const FaultSettings &fault = this->faultsOfListener(listener).settings();
    if (fault.down) {
        if (fault.answerWhileDown)
            return this->respond(*exchange, makeResponse(503, "text/plain", "unavailable\n"));
        return exchange->drop();
    }
    const Result<RowsRequest> decoded = Platform::decodeRowsRequest(request);
    if (!decoded)
        return this->respond(*exchange, makeResponse(400, "text/plain", decoded.error().describe() + "\n"));
    RateLimiter &limit = decoded.value().call == RowsCall::Write ? this->writes : this->reads;
    if (!limit.tryTake(1, SteadyClock::now()))
        return this->respond(*exchange, Platform::encodeThrottled());
    this->runAfter(this->settings.answerTime + fault.delay,
                   [this, request = decoded.value(), exchange, listener] {
                       this->execute(request, exchange, listener);
                   });
}

// A listener without faults of its own starts with those of listener 0.
FaultInjector &RowsService::faultsOfListener(std::size_t listener)
{
    return this->faults.try_emplace(listener, this->faults[0]).first->second;
}

void RowsService::putConfiguration(const std::string &document)
{
    const Platform::RowsRange place = Platform::configurationRow();
    this->store.apply({{place.table, place.part, place.from, document, false, std::nullopt}});
    this->notifyWatches();
}

void RowsService::handleControlRequest(const HttpRequest &request, HttpExchange &exchange,
                                       std::size_t listener)
{
    exchange.respond(this->executeCommand(request, listener));
}

HttpResponse RowsService::executeCommand(const HttpRequest &request, std::size_t listener)
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
        this->takeSnapshot();
        return plainText(200, "copied");
    }
    if (command == "return")
        return this->handleRestoreCommand(request.body);
    if (command == "era")
        return this->handleEraCommand(request.body);
    if (command != "faults")
        return plainText(404, "no such command");
    const Result<FaultSettings> requested = parseFaultSettings(request.body);
    if (!requested)
        return plainText(400, requested.error().describe());
    if (listener == 0)
        this->faults.clear();
    this->faultsOfListener(listener).set(requested.value());
    this->faultsSet(request.body);
    return makeResponse(200, "application/json", "{}");
}

HttpResponse RowsService::handleRestoreCommand(const std::string &json)
{
    const Result<RestoreSettings> settings = parseRestoreSettings(json);
    if (!settings)
        return plainText(400, settings.error().describe());
    if (!this->restoreSnapshot(settings.value()))
        return plainText(409, "there is no copy");
    this->faultsSet(json);
    return plainText(200, "as of the copy");
}

HttpResponse RowsService::handleEraCommand(const std::string &text)
{
    this->overrideEra(text == "own" ? std::nullopt : std::optional(text));
    return plainText(200, "stated");
}

bool RowsService::restoreSnapshot(const RestoreSettings &settings)
{
    if (!this->snapshot)
        return false;
    this->unavailable = true;
    for (const std::shared_ptr<Watch> &watch : std::exchange(this->watches, {})) {
        watch->timer.cancel();
        if (settings.abandonsWatches)
            this->abandonedWatches.push_back(watch);
        else
            watch->exchange->drop();
    }
    std::vector<QualifiedRow> written = this->lostRowsToRewrite();
    for (QualifiedRow &row : this->rowsOfOtherWriters())
        written.push_back(std::move(row));
    this->lostRows = std::move(written);
    if (settings.outage == Milliseconds(0))
        this->finishRestore(settings);
    else
        this->runAfter(settings.outage, [this, settings] { this->finishRestore(settings); });
    return true;
}

void RowsService::finishRestore(const RestoreSettings &settings)
{
    this->store = *this->snapshot;
    this->restoredRevision = this->store.newestRevision();
    this->hidesRevisionLoss = settings.hidesRevisionLoss;
    this->unavailable = false;
    ++this->era;
    if (settings.rewriteDelay == Milliseconds(0))
        return this->rewriteLostRows();
    this->runAfter(settings.rewriteDelay, [this, restoredEra = this->era] {
        if (restoredEra == this->era && !this->unavailable) // Otherwise a later restore rewrites them.
            this->rewriteLostRows();
    });
}

// Rewrites in reverse order, so that rows get their revisions in a different order than before.
void RowsService::rewriteLostRows()
{
    std::vector<QualifiedRow> rows = this->lostRowsToRewrite();
    this->lostRows.clear();
    for (auto row = rows.rbegin(); row != rows.rend(); ++row)
        this->store.apply({{row->table, row->part, row->row.key, row->row.value, false, std::nullopt}});
    this->notifyWatches();
}

// Skips rows that kept their value and rows that were written since the restore.
std::vector<QualifiedRow> RowsService::lostRowsToRewrite() const
{
    const std::vector<QualifiedRow> current = this->rowsOfOtherWriters();
    std::vector<QualifiedRow> rows;
    for (const QualifiedRow &row : this->lostRows) {
        const auto found = std::ranges::find_if(current, [&row](const QualifiedRow &other) {
            return other.table == row.table && other.row.key == row.row.key;
        });
        const bool isLost =
            found == current.end()
            || (found->row.revision <= this->restoredRevision && found->row.value != row.row.value);
        if (isLost)
            rows.push_back(row);
    }
    return rows;
}

std::vector<QualifiedRow> RowsService::rowsOfOtherWriters() const
{
    constexpr std::uint32_t all = UINT32_MAX;
    std::vector<QualifiedRow> rows;
    for (const char *table : tablesOfOtherWriters) {
        for (QualifiedRow &row : this->store.rows({table, {}, {}, {}, all}))
            rows.push_back(std::move(row));
    }
    return rows;
}

void RowsService::respond(HttpExchange &exchange, HttpResponse response) const
{
    const std::string stated = this->eraOverride.value_or(std::to_string(this->era));
    if (!stated.empty())
        Platform::addEraHeader(response, stated);
    exchange.respond(std::move(response));
}

std::optional<std::vector<QualifiedRow>> RowsService::changesAfter(const std::string &table,
                                                                   std::uint64_t revision) const
{
    if (this->hidesRevisionLoss && revision > this->store.newestRevision())
        return std::vector<QualifiedRow>();
    return this->store.changesAfter(table, revision);
}

void RowsService::execute(const RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                          std::size_t listener)
{
    switch (request.call) {
    case RowsCall::Get:
        return this->respond(
            *exchange, Platform::encodeRows(this->store.rows(request.range), this->store.newestRevision()));
    case RowsCall::Write:
        return this->write(request, exchange, listener);
    case RowsCall::Feed:
        return this->watch(request, exchange);
    }
}

// A write whose response is lost is still applied; a late one is applied after its connection closed.
void RowsService::write(const RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                        std::size_t listener)
{
    FaultInjector &injector = this->faultsOfListener(listener);
    const WriteFault fault = injector.drawWriteFault();
    if (fault == WriteFault::AppliedLate) {
        exchange->drop();
        return this->runAfter(injector.settings().lateWriteDelay, [this, request] {
            this->store.apply(request.writes);
            this->notifyWatches();
        });
    }
    const auto conflicts = this->store.apply(request.writes);
    this->notifyWatches();
    if (fault == WriteFault::AnswerLost)
        return exchange->drop();
    this->respond(*exchange, conflicts ? Platform::encodeConflict(*conflicts, this->store.newestRevision())
                                       : Platform::encodeWriteSuccess(this->store.newestRevision()));
}

void RowsService::watch(const RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto changes = this->changesAfter(request.range.table, request.after);
    if (!changes)
        return this->respond(*exchange, Platform::encodeHistoryExpired());
    if (!changes->empty() || request.wait == Milliseconds(0))
        return this->respond(*exchange, Platform::encodeRows(*changes, this->store.newestRevision()));
    const auto watch = std::make_shared<Watch>(this->context, exchange);
    watch->table = request.range.table;
    watch->after = request.after;
    this->watches.push_back(watch);
    watch->timer.expires_after(request.wait);
    watch->timer.async_wait([this, watch](const boost::system::error_code &error) {
        if (error)
            return;
        this->watches.remove(watch);
        this->respond(*watch->exchange, Platform::encodeRows({}, this->store.newestRevision()));
    });
}

void RowsService::notifyWatches()
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
        this->respond(*watch->exchange, changes ? Platform::encodeRows(*changes, this->store.newestRevision())
                                                : Platform::encodeHistoryExpired());
    }
}

void RowsService::runAfter(Milliseconds delay, std::function<void()> step)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, step = std::move(step)](const boost::system::error_code &error) {
        if (!error)
            step();
    });
}

} // namespace Sagecrank

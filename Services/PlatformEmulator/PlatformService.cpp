// The order in which a request meets control paths, outage, limits, rejection, delay, effect and answer.
#include <PlatformEmulator/PlatformService.h>

#include <boost/json.hpp>

#include <utility>

namespace Sagecrank {

namespace json = boost::json;

namespace {

HttpResponse throttled(bool table)
{
    if (table)
        return TableApi::error("ProvisionedThroughputExceededException", "the rate is exceeded; back off");
    return ObjectApi::error(503, "SlowDown", "Please reduce your request rate.");
}

HttpResponse rejected(bool table)
{
    if (table)
        return TableApi::error("InternalServerError", "rejected", 500);
    return ObjectApi::error(500, "InternalError", "rejected");
}

json::object countJson(const OperationCount &count)
{
    return {{"requests", count.requests},
            {"units", count.units},
            {"bytes_in", count.bytesIn},
            {"bytes_out", count.bytesOut},
            {"throttled", count.throttled}};
}

} // namespace

PlatformService::PlatformService(PlatformSettings settings, After after, Now now, FaultsSet faultsSet)
    : after(std::move(after))
    , now(std::move(now))
    , faultsSet(std::move(faultsSet))
    , writes(settings.writeRate)
    , reads(settings.readRate)
{
}

void PlatformService::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target.starts_with("/emulator/")) {
        this->control(request, *exchange);
        return;
    }
    if (this->faults.settings().down) {
        this->refuseDown(*exchange);
        return;
    }
    const bool table = request.target == "/";
    Operation operation =
        table ? this->tableApi.operation(findHeader(request.headers, "X-Amz-Target"), request.body)
              : this->objectApi.operation(request.method, request.target, request.body);
    OperationCount &tableCount = operation.write ? this->counters.tableWrites : this->counters.tableReads;
    OperationCount &objectCount = operation.write ? this->counters.objectWrites : this->counters.objectReads;
    OperationCount &count = table ? tableCount : objectCount;
    count.bytesIn += request.body.size();
    this->run(exchange, std::move(operation), table, count);
}

void PlatformService::control(const HttpRequest &request, HttpExchange &exchange)
{
    if (request.target == "/emulator/counters") {
        exchange.respond(makeResponse(200, "application/json", this->countersJson()));
        return;
    }
    if (request.target != "/emulator/faults" || request.method != "POST") {
        exchange.respond(
            makeResponse(404, "text/plain", "use POST /emulator/faults or GET /emulator/counters\n"));
        return;
    }
    const Result<FaultSettings> settings = readFaults(request.body);
    if (!settings) {
        exchange.respond(makeResponse(400, "text/plain", settings.error().describe() + "\n"));
        return;
    }
    this->faults.set(settings.value());
    this->faultsSet(request.body);
    exchange.respond(makeResponse(200, "application/json", "{}"));
}

void PlatformService::refuseDown(HttpExchange &exchange)
{
    ++this->counters.refusedDown;
    if (this->faults.settings().downAnswers)
        exchange.respond(makeResponse(503, "text/plain", "service unavailable\n"));
    else
        exchange.drop();
}

void PlatformService::run(const std::shared_ptr<HttpExchange> &exchange, Operation operation, bool table,
                          OperationCount &count)
{
    ++count.requests;
    RateLimit &limit = operation.write ? this->writes : this->reads;
    if (!limit.take(operation.units, this->now())) {
        ++count.throttled;
        exchange->respond(throttled(table));
        return;
    }
    if (operation.write && this->faults.settings().rejectWrites) {
        ++this->counters.rejectedWrites;
        exchange->respond(rejected(table));
        return;
    }
    count.units += operation.units;

    const WriteFate fate = operation.write ? this->faults.drawWriteFate() : WriteFate::Answered;
    Milliseconds delay = this->faults.settings().delay;
    if (fate == WriteFate::EffectLate) {
        ++this->counters.lateWrites;
        delay += this->faults.settings().lateBy;
        exchange->drop();
    }
    if (delay.count() == 0) {
        this->finish(exchange, operation, fate, count);
        return;
    }
    // The effect does not depend on whether the caller still waits: a write that was given up on still lands.
    this->after(delay, [this, exchange, operation = std::move(operation), fate, &count] {
        this->finish(exchange, operation, fate, count);
    });
}

void PlatformService::finish(const std::shared_ptr<HttpExchange> &exchange, const Operation &operation,
                             WriteFate fate, OperationCount &count)
{
    HttpResponse response = operation.apply();
    if (fate == WriteFate::EffectLate)
        return;
    if (fate == WriteFate::AnswerLost) {
        ++this->counters.lostAnswers;
        exchange->drop();
        return;
    }
    count.bytesOut += response.body.size();
    const Milliseconds delay = this->faults.settings().answerDelay;
    if (delay.count() == 0) {
        exchange->respond(std::move(response));
        return;
    }
    this->after(delay, [exchange, response = std::move(response)] { exchange->respond(response); });
}

std::string PlatformService::countersJson() const
{
    const PlatformCounters &counters = this->counters;
    json::object all;
    all["reads"] = counters.tableReads.units + counters.objectReads.units;
    all["writes"] = counters.tableWrites.units + counters.objectWrites.units;
    all["objects"] = this->objectApi.size();
    all["table_reads"] = countJson(counters.tableReads);
    all["table_writes"] = countJson(counters.tableWrites);
    all["object_reads"] = countJson(counters.objectReads);
    all["object_writes"] = countJson(counters.objectWrites);
    all["refused_down"] = counters.refusedDown;
    all["rejected_writes"] = counters.rejectedWrites;
    all["lost_answers"] = counters.lostAnswers;
    all["late_writes"] = counters.lateWrites;
    return json::serialize(all);
}

} // namespace Sagecrank

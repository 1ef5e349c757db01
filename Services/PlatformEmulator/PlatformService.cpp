// The stages of a request in order: control paths, outage, rate limit, rejection, delay, applying, response.
#include <PlatformEmulator/PlatformService.h>

#include <boost/json.hpp>

#include <utility>

namespace Sagecrank {

namespace json = boost::json;

namespace {

HttpResponse throttledResponse(bool isTableRequest)
{
    if (isTableRequest)
        return TableApi::errorResponse("ProvisionedThroughputExceededException",
                                       "the rate is exceeded; back off");
    return ObjectApi::errorResponse(503, "SlowDown", "Please reduce your request rate.");
}

HttpResponse rejectedResponse(bool isTableRequest)
{
    if (isTableRequest)
        return TableApi::errorResponse("InternalServerError", "rejected", 500);
    return ObjectApi::errorResponse(500, "InternalError", "rejected");
}

json::object countersToJson(const OperationCounters &count)
{
    return {{"requests", count.requests},
            {"units", count.units},
            {"bytes_in", count.bytesIn},
            {"bytes_out", count.bytesOut},
            {"throttled", count.throttled}};
}

} // namespace

PlatformService::PlatformService(PlatformSettings settings, RunAfter runAfter, Now now, FaultsSet faultsSet)
    : runAfter(std::move(runAfter))
    , now(std::move(now))
    , faultsSet(std::move(faultsSet))
    , writes(settings.writeRate)
    , reads(settings.readRate)
{
}

void PlatformService::handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange)
{
    if (request.target.starts_with("/emulator/")) {
        this->handleControlRequest(request, *exchange);
        return;
    }
    if (this->faults.settings().down) {
        this->respondWhileDown(*exchange);
        return;
    }
    const bool isTableRequest = request.target == "/";
    Operation operation =
        isTableRequest
            ? this->tableApi.parseRequest(findHeader(request.headers, "X-Amz-Target"), request.body)
            : this->objectApi.parseRequest(request.method, request.target, request.body);
    OperationCounters &tableCount =
        operation.isWrite ? this->counters.tableWrites : this->counters.tableReads;
    OperationCounters &objectCount =
        operation.isWrite ? this->counters.objectWrites : this->counters.objectReads;
    OperationCounters &count = isTableRequest ? tableCount : objectCount;
    count.bytesIn += request.body.size();
    this->execute(exchange, std::move(operation), isTableRequest, count);
}

void PlatformService::handleControlRequest(const HttpRequest &request, HttpExchange &exchange)
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
    const Result<FaultSettings> settings = parseFaultSettings(request.body);
    if (!settings) {
        exchange.respond(makeResponse(400, "text/plain", settings.error().describe() + "\n"));
        return;
    }
    this->faults.set(settings.value());
    this->faultsSet(request.body);
    exchange.respond(makeResponse(200, "application/json", "{}"));
}

void PlatformService::respondWhileDown(HttpExchange &exchange)
{
    ++this->counters.refusedDown;
    if (this->faults.settings().answerWhileDown)
        exchange.respond(makeResponse(503, "text/plain", "service unavailable\n"));
    else
        exchange.drop();
}

void PlatformService::execute(const std::shared_ptr<HttpExchange> &exchange, Operation operation,
                              bool isTableRequest, OperationCounters &count)
{
    ++count.requests;
    RateLimiter &limit = operation.isWrite ? this->writes : this->reads;
    if (!limit.tryTake(operation.units, this->now())) {
        ++count.throttled;
        exchange->respond(throttledResponse(isTableRequest));
        return;
    }
    if (operation.isWrite && this->faults.settings().rejectWrites) {
        ++this->counters.rejectedWrites;
        exchange->respond(rejectedResponse(isTableRequest));
        return;
    }
    count.units += operation.units;

    const WriteFault fault = operation.isWrite ? this->faults.drawWriteFault() : WriteFault::None;
    Milliseconds delay = this->faults.settings().delay;
    if (fault == WriteFault::AppliedLate) {
        ++this->counters.lateWrites;
        delay += this->faults.settings().lateWriteDelay;
        exchange->drop();
    }
    if (delay.count() == 0) {
        this->applyAndRespond(exchange, operation, fault, count);
        return;
    }
    // A write is applied even if the caller has disconnected in the meantime.
    this->runAfter(delay, [this, exchange, operation = std::move(operation), fault, &count] {
        this->applyAndRespond(exchange, operation, fault, count);
    });
}

void PlatformService::applyAndRespond(const std::shared_ptr<HttpExchange> &exchange,
                                      const Operation &operation, WriteFault fault, OperationCounters &count)
{
    HttpResponse response = operation.apply();
    if (fault == WriteFault::AppliedLate)
        return;
    if (fault == WriteFault::AnswerLost) {
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
    this->runAfter(delay, [exchange, response = std::move(response)] { exchange->respond(response); });
}

std::string PlatformService::countersJson() const
{
    const PlatformCounters &counters = this->counters;
    json::object all;
    all["reads"] = counters.tableReads.units + counters.objectReads.units;
    all["writes"] = counters.tableWrites.units + counters.objectWrites.units;
    all["objects"] = this->objectApi.objectCount();
    all["table_reads"] = countersToJson(counters.tableReads);
    all["table_writes"] = countersToJson(counters.tableWrites);
    all["object_reads"] = countersToJson(counters.objectReads);
    all["object_writes"] = countersToJson(counters.objectWrites);
    all["refused_down"] = counters.refusedDown;
    all["rejected_writes"] = counters.rejectedWrites;
    all["lost_answers"] = counters.lostAnswers;
    all["late_writes"] = counters.lateWrites;
    return json::serialize(all);
}

} // namespace Sagecrank

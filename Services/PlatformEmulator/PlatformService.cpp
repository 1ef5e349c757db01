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
        return HttpResponse{
            500,
            "application/x-amz-json-1.0",
            {},
            R"({"__type":"com.amazonaws.dynamodb.v20120810#InternalServerError","message":"rejected"})"};
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

PlatformService::PlatformService(PlatformSettings settings, After after, Now now)
    : after(std::move(after))
    , now(std::move(now))
    , writes(settings.writeRate)
    , reads(settings.readRate)
{
}

void PlatformService::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    if (exchange->target().starts_with("/emulator/")) {
        this->control(*exchange);
        return;
    }
    if (this->faults.settings().down) {
        this->refuseDown(*exchange);
        return;
    }
    const bool table = exchange->target() == "/";
    Operation operation =
        table ? this->tableApi.operation(exchange->field("X-Amz-Target"), exchange->body())
              : this->objectApi.operation(exchange->method(), exchange->target(), exchange->body());
    OperationCount &tableCount = operation.write ? this->counters.tableWrites : this->counters.tableReads;
    OperationCount &objectCount = operation.write ? this->counters.objectWrites : this->counters.objectReads;
    this->run(exchange, std::move(operation), table, table ? tableCount : objectCount);
}

void PlatformService::control(HttpExchange &exchange)
{
    if (exchange.target() == "/emulator/counters") {
        exchange.answer(HttpResponse{200, "application/json", {}, this->countersJson()});
        return;
    }
    if (exchange.target() != "/emulator/faults" || exchange.method() != "POST") {
        exchange.answer(
            HttpResponse{404, "text/plain", {}, "use POST /emulator/faults or GET /emulator/counters\n"});
        return;
    }
    const Result<FaultSettings> settings = readFaults(exchange.body());
    if (!settings) {
        exchange.answer(HttpResponse{400, "text/plain", {}, settings.error().describe() + "\n"});
        return;
    }
    this->faults.set(settings.value());
    exchange.answer(HttpResponse{200, "application/json", {}, "{}"});
}

void PlatformService::refuseDown(HttpExchange &exchange)
{
    ++this->counters.refusedDown;
    if (this->faults.settings().downAnswers)
        exchange.answer(HttpResponse{503, "text/plain", {}, "service unavailable\n"});
    else
        exchange.drop();
}

void PlatformService::run(const std::shared_ptr<HttpExchange> &exchange, Operation operation, bool table,
                          OperationCount &count)
{
    ++count.requests;
    count.bytesIn += exchange->body().size();
    RateLimit &limit = operation.write ? this->writes : this->reads;
    if (!limit.take(operation.units, this->now())) {
        ++count.throttled;
        exchange->answer(throttled(table));
        return;
    }
    if (operation.write && this->faults.settings().rejectWrites) {
        ++this->counters.rejectedWrites;
        exchange->answer(rejected(table));
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
        exchange->answer(std::move(response));
        return;
    }
    this->after(delay, [exchange, response = std::move(response)] { exchange->answer(response); });
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

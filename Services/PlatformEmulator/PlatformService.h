// Routes each HTTP request through fault injection and rate limits to the table or the object store.
#pragma once

#include <LibNet/HttpServer.h>
#include <PlatformEmulator/Faults.h>
#include <PlatformEmulator/ObjectApi.h>
#include <PlatformEmulator/TableApi.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Sagecrank {

struct PlatformSettings
{
    double writeRate = 500; // Units per second; the platform states "several hundred".
    double readRate = 2000;
};

struct OperationCounters
{
    std::uint64_t requests = 0;
    std::uint64_t units = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t throttled = 0;
};

struct PlatformCounters
{
    OperationCounters tableReads;
    OperationCounters tableWrites;
    OperationCounters objectReads;
    OperationCounters objectWrites;
    std::uint64_t refusedDown = 0;
    std::uint64_t rejectedWrites = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t lateWrites = 0;
};

// Not thread-safe.
class PlatformService
{
public:
    // Calls `step` on the service's thread after `delay`.
    using RunAfter = std::function<void(Milliseconds delay, std::function<void()> step)>;
    using Now = std::function<Instant()>;
    using FaultsSet = std::function<void(std::string_view json)>; // Called with each new fault setting.

    PlatformService(PlatformSettings settings, RunAfter runAfter, Now now, FaultsSet faultsSet);

    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange);

private:
    void handleControlRequest(const HttpRequest &request, HttpExchange &exchange);
    void respondWhileDown(HttpExchange &exchange);
    void execute(const std::shared_ptr<HttpExchange> &exchange, Operation operation, bool isTableRequest,
                 OperationCounters &count);
    void applyAndRespond(const std::shared_ptr<HttpExchange> &exchange, const Operation &operation,
                         WriteFault fault, OperationCounters &count);
    std::string countersJson() const;

    RunAfter runAfter;
    Now now;
    FaultsSet faultsSet;
    FaultInjector faults;
    RateLimiter writes; // Shared by table and objects, the stricter interpretation of the platform's limit.
    RateLimiter reads;
    TableApi tableApi;
    ObjectApi objectApi;
    PlatformCounters counters;
};

} // namespace Sagecrank

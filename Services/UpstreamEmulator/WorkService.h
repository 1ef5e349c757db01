// Runs calls in slots for their service time and responds. Calls end early when the caller disconnects or the
// deadline passes. Several threads, each with its own io_context, share the slots.
#pragma once

#include <UpstreamEmulator/ServiceTime.h>
#include <UpstreamEmulator/SlotPool.h>
#include <UpstreamEmulator/UpstreamFaults.h>

#include <LibHistory/HistoryRecorder.h>
#include <LibMembership/Member.h>
#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Sagecrank {

struct WorkSettings
{
    std::string name;
    std::size_t slots = 6;
    std::size_t maximumWaiting = 64; // Calls that wait for a slot; further calls are shed.
    std::vector<PathServiceTime> paths;
    ColdStart cold;
    std::uint64_t seed = 1;
    std::string crashPrefix;     // Calls whose target has this prefix crash the process; empty disables it.
    std::function<void()> crash; // Does not return.
};

// The state and load that the upstream reports.
struct UpstreamReport
{
    UpstreamState state = UpstreamState::Ready;
    std::size_t running = 0;
    std::size_t waiting = 0;
};

class WorkService
{
public:
    using Now = std::function<Instant()>;
    using FaultsSet = std::function<void(std::string_view json)>; // Called with each new fault setting.

    WorkService(WorkSettings settings, HistoryRecorder &history, Now now, FaultsSet faultsSet);
    ~WorkService();
    WorkService(const WorkService &) = delete;
    WorkService &operator=(const WorkService &) = delete;

    // Must be called on the thread of `context`, which also runs the call.
    void handle(boost::asio::io_context &context, HttpRequest request,
                std::shared_ptr<HttpExchange> exchange);
    // Returns a response if the early refusal fault rejects this call before its body arrives.
    std::optional<HttpResponse> respondBeforeBody(const HttpRequest &header);
    void beginDrain() { this->state = UpstreamState::Draining; }

    // The actual state, and the state as faults distort it for health checks and announcements.
    UpstreamReport report() const;
    UpstreamReport externalReport();
    bool suppressesAnnouncements() const;

private:
    class Call;

    void handleControlRequest(const HttpRequest &request, HttpExchange &exchange);
    void startNext();
    void addStatements(HttpResponse &response) const;
    void setFaults(const UpstreamFaultSettings &settings);
    std::string countersJson() const;

    WorkSettings settings;
    HistoryRecorder &history;
    Now now;
    FaultsSet faultsSet;
    Instant started;
    std::atomic<UpstreamState> state = UpstreamState::Ready;
    std::atomic<std::uint64_t> nextCall = 1;

    // Guards the members from here to `reportHistory`; held only briefly.
    mutable std::mutex lock;
    SlotPool slots;
    ServiceTime times;
    UpstreamFaultInjector faults;
    std::unordered_map<std::uint64_t, std::shared_ptr<Call>>
        waitingCalls; // Exactly the calls queued in `slots`.
    std::deque<std::pair<Instant, UpstreamReport>>
        reportHistory; // Recent reports for lagging health, oldest first.

    std::atomic<std::uint64_t> begun = 0;
    std::atomic<std::uint64_t> served = 0;
    std::atomic<std::uint64_t> cancelled = 0;
    std::atomic<std::uint64_t> shed = 0;
    std::atomic<std::uint64_t> failed = 0;
};

} // namespace Sagecrank

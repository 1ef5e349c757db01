// The upstream emulator's work: takes calls into slots, lets them take their time, ends them early when the
// caller goes or the deadline passes, and answers. Several threads, each with its own io_context, share the
// slots.
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
    std::size_t maximumWaiting = 64; // Calls that wait inside; one more is shed.
    std::vector<PathServiceTime> paths;
    ColdStart cold;
    std::uint64_t seed = 1;
    std::string crashPrefix;     // Calls whose target begins so end the process; empty: none do.
    std::function<void()> crash; // Does not return.
};

// What the upstream says of itself.
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
    using FaultsSet = std::function<void(std::string_view json)>; // Told of each change by command.

    WorkService(WorkSettings settings, HistoryRecorder &history, Now now, FaultsSet faultsSet);
    ~WorkService();
    WorkService(const WorkService &) = delete;
    WorkService &operator=(const WorkService &) = delete;

    // Called on the thread of `context`, which also ends the call.
    void handle(boost::asio::io_context &context, HttpRequest request,
                std::shared_ptr<HttpExchange> exchange);
    // Whether a call is refused whose body is still coming.
    std::optional<HttpResponse> respondBeforeBody(const HttpRequest &header);
    void beginDrain() { this->state = UpstreamState::Draining; }

    // The truth, and what faults make of it for the outside.
    UpstreamReport report() const;
    UpstreamReport externalReport();
    bool suppressesAnnouncements() const;

private:
    class Call;

    void handleControlRequest(const HttpRequest &request, HttpExchange &exchange);
    void startNext();
    std::string countersJson() const;

    WorkSettings settings;
    HistoryRecorder &history;
    Now now;
    FaultsSet faultsSet;
    Instant started;
    std::atomic<UpstreamState> state = UpstreamState::Ready;
    std::atomic<std::uint64_t> nextCall = 1;

    // Guards all that follows; held for a few instructions only.
    mutable std::mutex lock;
    SlotPool slots;
    ServiceTime times;
    UpstreamFaultInjector faults;
    std::unordered_map<std::uint64_t, std::shared_ptr<Call>> waitingCalls; // Exactly those in the line.
    std::deque<std::pair<Instant, UpstreamReport>>
        reportHistory; // Reports for health that lags; a few seconds long.

    std::atomic<std::uint64_t> begun = 0;
    std::atomic<std::uint64_t> served = 0;
    std::atomic<std::uint64_t> cancelled = 0;
    std::atomic<std::uint64_t> shed = 0;
    std::atomic<std::uint64_t> failed = 0;
};

} // namespace Sagecrank

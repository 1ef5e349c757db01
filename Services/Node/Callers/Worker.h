// A request thread with its io_context, its connections to other nodes and to the upstream, and its
// listeners. A call stays on the thread that accepted it, so its state needs no locks.
#pragma once

#include <Node/Gate/LocalGate.h>
#include <Node/NodeSettings.h>
#include <Node/Peers/PeerLink.h>
#include <Node/Peers/PeerServer.h>

#include <LibDecide/BodyMemory.h>
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Sagecrank {

class ForwardedCall;

class Worker;

// Hooks of a worker's HTTP server, called for each request.
struct CallerHooks
{
    std::function<HttpLimits()> limits;
    std::function<bool(const HttpRequest &)> mayPipeline; // See HttpServerSettings.
    std::function<BodyMemory::Reservation(std::uint64_t bytes, std::uint64_t bodyBytes)> reserveBody;
    std::function<void(Worker &, HttpRequest, std::shared_ptr<HttpExchange>)> handle;
};

class Worker
{
public:
    Worker(const NodeSettings &settings, LocalGate &gate, BodyGrantQueue &bodies, BodyMemory &bodyMemory,
           RequestObserver &observer, CallerHooks callers);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    Result<void> listen();
    void start();
    void stop(); // Stops the thread; pending calls are dropped with their connections.

    // Callable from any thread.
    void beginShutdown(); // Callers are told to close; silent peers keep their pending calls.
    // Requests that are still being received are read on. They are rejected if their deadline is later than
    // `callsEndBy`.
    void stopAccepting(Instant callsEndBy);
    void withdrawPendingCalls(); // Also rejects requests that are still being received.
    // Rejects every request that has not been received; `done` runs on the worker's thread once this is in
    // effect.
    void rejectNewCalls(std::function<void()> done);
    // Completes all pending calls and sends GoAway to the peers. Waits up to `maximumWait` for them to read
    // their last responses; then `done` runs on the worker's thread.
    void finishCalls(Duration maximumWait, std::function<void()> done);
    bool allResponsesSent() const; // No accepted call has an unsent response.

    boost::asio::io_context &ioContext() { return this->context; }
    RequestThread requestThread() { return {this->context, this->client}; }

    // Drops links to nodes that no call has used since `before`.
    void forgetUnused(Instant before);

    // Call on the worker's thread.
    bool rejectsNewCalls() const { return this->rejecting; }
    // Whether a call with this deadline may start. One that may run beyond the end of the drain may not.
    bool acceptsCall(Instant deadline) const { return !this->rejecting && deadline <= this->callsEndBy; }
    // Calls keep the link that they were sent on, even if it has been replaced since.
    std::shared_ptr<PeerLink> link(const std::string &peerAddress);
    void addCall(ForwardedCall &call) { this->calls.insert(&call); }
    void removeCall(ForwardedCall &call) { this->calls.erase(&call); }

private:
    std::vector<std::shared_ptr<ForwardedCall>> pendingCalls() const;
    std::shared_ptr<PeerLink> makeLink(const std::string &peerAddress);
    void waitForPeers(Instant until, std::function<void()> done);

    const NodeSettings &settings;
    RequestObserver &observer;
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    HttpClient client;
    HttpServer callerServer;
    PeerServer peerServer;
    std::unordered_map<std::string, std::shared_ptr<PeerLink>> links; // By peer address.
    boost::asio::steady_timer peerTimer;
    bool shuttingDown = false;
    bool rejecting = false;
    Instant callsEndBy = Instant::max();       // The latest deadline of a call that may start.
    std::unordered_set<ForwardedCall *> calls; // Pending; each removes itself.
    std::thread thread;
};

} // namespace Sagecrank

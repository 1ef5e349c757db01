// One request thread: its io_context, its connections to other nodes and to the upstream, and its listeners.
// Calls stay on the thread that took them, so nothing of a call needs a lock.
#pragma once

#include <Node/Gate/LocalGate.h>
#include <Node/NodeSettings.h>
#include <Node/Peers/PeerLink.h>
#include <Node/Peers/PeerServer.h>

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

// What a worker's callers meet; all are asked for each request.
struct CallerHooks
{
    std::function<HttpLimits()> limits;
    std::function<bool(const HttpRequest &)> mayPipeline; // See HttpServerSettings.
    std::function<void(Worker &, HttpRequest, std::shared_ptr<HttpExchange>)> handle;
};

class Worker
{
public:
    Worker(const NodeSettings &settings, LocalGate &gate, BodyGrantQueue &bodies, RequestObserver &observer,
           CallerHooks callers);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    Result<void> listen();
    void start();
    void stop(); // Ends the thread; calls that are under way end with their connections.

    // From any thread.
    void beginShutdown(); // Callers are asked to close; calls to other nodes are waited for.
    void stopAccepting();
    void withdrawPendingCalls();
    // All that is read from now on is refused; `done` runs on its thread once that holds.
    void rejectNewCalls(std::function<void()> done);
    // Answers all that is under way and takes leave of the other nodes, and waits so long at most for those
    // to read their last answers; `done` runs on its thread.
    void finishCalls(Duration longestWait, std::function<void()> done);
    bool allResponsesSent() const; // Nothing that was taken waits for its answer to leave.

    boost::asio::io_context &ioContext() { return this->context; }
    RequestThread gateHome() { return {this->context, this->client}; }

    // Drops connections to nodes that no call has used since.
    void forgetUnused(Instant before);

    // On the worker's own thread.
    bool rejectsNewCalls() const { return this->refusing; }
    // Calls keep theirs until they end; another one may take its place meanwhile.
    std::shared_ptr<PeerLink> link(const std::string &peerAddress);
    void addCall(ForwardedCall &call) { this->calls.insert(&call); }
    void removeCall(ForwardedCall &call) { this->calls.erase(&call); }

private:
    std::vector<std::shared_ptr<ForwardedCall>> openCalls() const;
    std::shared_ptr<PeerLink> makeLink(const std::string &peerAddress);
    void awaitPeers(Instant until, std::function<void()> done);

    const NodeSettings &settings;
    RequestObserver &observer;
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    HttpClient client;
    HttpServer callerServer;
    PeerServer peerServer;
    std::unordered_map<std::string, std::shared_ptr<PeerLink>> links; // By peer address.
    boost::asio::steady_timer peersTimer;
    bool ending = false;
    bool refusing = false;
    std::unordered_set<ForwardedCall *> calls; // Not answered yet; each takes itself out.
    std::thread thread;
};

} // namespace Sagecrank

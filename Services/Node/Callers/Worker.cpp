// Implements starting and shutting down a request thread.
#include "Worker.h"

#include "ForwardedCall.h"

#include <LibCore/RcuPointer.h>

#include <boost/asio/post.hpp>

namespace Sagecrank {

namespace {

constexpr Duration peerCheckInterval = Milliseconds(10);

HttpClientSettings upstreamClientSettings(const NodeSettings &settings)
{
    HttpClientSettings client;
    client.idleTimeout = settings.requests.upstreamIdle;
    client.maximumBodyBytes = maximumBodySize;
    return client;
}

HttpServerSettings callerServerSettings(const NodeSettings &settings, const CallerHooks &callers,
                                        RequestObserver &observer)
{
    HttpServerSettings server;
    server.currentLimits = callers.limits;
    server.mayPipeline = callers.mayPipeline;
    server.reserveBody = callers.reserveBody;
    server.requestRejected = [&observer](std::uint32_t status, std::string_view reason) {
        observer.requestInvalid(status, reason);
    };
    server.maximumConnections = settings.requests.maximumConnections;
    server.reusePort = true;
    return server;
}

} // namespace

Worker::Worker(const NodeSettings &settings, LocalGate &gate, BodyGrantQueue &bodies, BodyMemory &bodyMemory,
               RequestObserver &observer, CallerHooks callers)
    : settings(settings)
    , observer(observer)
    , work(boost::asio::make_work_guard(this->context))
    , client(this->context, upstreamClientSettings(settings))
    , callerServer(this->context, callerServerSettings(settings, callers, observer),
                   [this, handle = std::move(callers.handle)](HttpRequest request,
                                                              std::shared_ptr<HttpExchange> exchange) {
                       handle(*this, std::move(request), std::move(exchange));
                   })
    , peerServer(RequestThread{this->context, this->client}, gate, bodies, bodyMemory, observer)
    , peerTimer(this->context)
{
}

Worker::~Worker()
{
    this->stop();
}

Result<void> Worker::listen()
{
    TRY_VOID(this->callerServer.listen(this->settings.listen.callers));
    return this->peerServer.listen(this->settings.listen.peers);
}

void Worker::start()
{
    this->thread = std::thread([this] {
        const RcuThread reader;
        this->context.run();
    });
}

void Worker::stop()
{
    this->context.stop();
    if (this->thread.joinable())
        this->thread.join();
}

// During shutdown, a congested path must not be mistaken for a dead peer: the node would end calls that
// upstreams still work on, and their callers have no other node to ask. The calls still end at their
// deadlines.
void Worker::beginShutdown()
{
    boost::asio::post(this->context, [this] {
        this->callerServer.disableKeepAlive();
        this->shuttingDown = true;
        for (const auto &[address, link] : this->links)
            link->disableSilenceTimeout();
    });
}

void Worker::stopAccepting(Instant callsEndBy)
{
    boost::asio::post(this->context, [this, callsEndBy] {
        this->callsEndBy = callsEndBy;
        this->callerServer.stopAccepting();
    });
}

void Worker::rejectNewCalls(std::function<void()> done)
{
    boost::asio::post(this->context, [this, done = std::move(done)] {
        this->rejecting = true;
        this->callerServer.rejectPartialRequests();
        // After the reads that this has cancelled, whose rejections count as unsent responses.
        boost::asio::post(this->context, done);
    });
}

void Worker::withdrawPendingCalls()
{
    boost::asio::post(this->context, [this] {
        this->callerServer.rejectPartialRequests();
        for (const auto &call : this->pendingCalls())
            call->withdraw();
    });
}

void Worker::finishCalls(Duration maximumWait, std::function<void()> done)
{
    boost::asio::post(this->context, [this, maximumWait, done = std::move(done)]() mutable {
        for (const auto &call : this->pendingCalls())
            call->finishAsUnknown();
        this->peerServer.goAway();
        this->waitForPeers(SteadyClock::now() + maximumWait, std::move(done));
    });
}

void Worker::waitForPeers(Instant until, std::function<void()> done)
{
    if (this->peerServer.pendingCloses() == 0 || SteadyClock::now() >= until)
        return done();
    this->peerTimer.expires_after(peerCheckInterval);
    this->peerTimer.async_wait(
        [this, until, done = std::move(done)](const boost::system::error_code &) mutable {
            this->waitForPeers(until, std::move(done));
        });
}

bool Worker::allResponsesSent() const
{
    return this->callerServer.pendingResponses() == 0
           && this->peerServer.connectionsWithUnsentResponses() == 0;
}

// Returns owning pointers, since ending a call may destroy it and others.
std::vector<std::shared_ptr<ForwardedCall>> Worker::pendingCalls() const
{
    std::vector<std::shared_ptr<ForwardedCall>> open;
    for (ForwardedCall *call : this->calls)
        open.push_back(call->shared_from_this());
    return open;
}

void Worker::forgetUnused(Instant before)
{
    boost::asio::post(this->context, [this, before] {
        std::erase_if(this->links, [before](const auto &entry) { return entry.second->unusedSince(before); });
    });
}

// During shutdown the silence timeout is disabled, so new calls on a path that is silent for good would wait
// until their deadlines. New calls use a new link; pending ones stay on the old one and may still be
// answered.
std::shared_ptr<PeerLink> Worker::link(const std::string &peerAddress)
{
    std::shared_ptr<PeerLink> &link = this->links[peerAddress];
    if (!link || (this->shuttingDown && link->isSilent(SteadyClock::now())))
        link = this->makeLink(peerAddress);
    return link;
}

std::shared_ptr<PeerLink> Worker::makeLink(const std::string &peerAddress)
{
    PeerLinkSettings peer;
    peer.ownId = this->settings.id;
    peer.connectTimeout = this->settings.requests.connectTimeout;
    peer.silenceTimeout = this->settings.requests.peerSilence;
    auto link = std::make_shared<PeerLink>(
        this->context, peerAddress, peer,
        [this, peerAddress](const Error &reason) { this->observer.peerLost(peerAddress, reason); });
    if (this->shuttingDown)
        link->disableSilenceTimeout();
    return link;
}

} // namespace Sagecrank

// Accepts connections, answers pull requests, and closes connections that exceed the time limit.
#include "ControlServer.h"

#include <LibCore/Time.h>
#include <LibNet/FramedConnection.h>

#include <boost/asio/steady_timer.hpp>

namespace Sagecrank {

using boost::asio::ip::tcp;

namespace {

constexpr std::uint32_t maximumConcurrentPulls = 8; // See PullAdmission.
constexpr std::uint32_t maximumConnections = 64;

// A peer that stalls or reads too slowly occupies a slot that other peers wait for.
constexpr Duration connectionTimeout = Milliseconds(5000);

} // namespace

struct ControlServer::Session
{
    std::shared_ptr<FramedConnection> connection;
    boost::asio::steady_timer timer;
    bool admitted = false; // Holds a slot of PullAdmission.

    explicit Session(boost::asio::io_context &context)
        : timer(context)
    {
    }
};

ControlServer::ControlServer(boost::asio::io_context &context, std::uint64_t seed, Serve serve)
    : context(context)
    , acceptor(context)
    , admission(maximumConcurrentPulls, seed)
    , serve(std::move(serve))
{
}

Result<void> ControlServer::start(const std::string &listenAddress)
{
    const tcp::endpoint endpoint = TRY(parseTcpEndpoint(listenAddress));
    boost::system::error_code error;
    this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return makeError(ErrorKind::Unavailable, "open control port", listenAddress, error.message());
    this->acceptNext();
    return success();
}

void ControlServer::stop()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

void ControlServer::acceptNext()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (!this->acceptor.is_open())
            return;
        if (!error && this->connections < maximumConnections)
            this->open(std::move(socket));
        else if (!error)
            ++this->counts.refused;
        this->acceptNext();
    });
}

void ControlServer::open(tcp::socket socket)
{
    auto session = std::make_shared<Session>(this->context);
    ++this->connections;
    FramedConnectionHooks hooks;
    hooks.onFrame = [this, session](FrameType type, std::span<const char> payload) {
        const Result<PullRequest> request =
            decode<PullRequest>(payload, "read pull request", session->connection->peerName());
        if (type != FrameType::PullRequest || !request || session->admitted) {
            ++this->counts.malformed;
            session->connection->close(
                makeError(ErrorKind::InvalidInput, "read pull request", "", "not a pull request"));
            return;
        }
        this->answer(*session, request.value());
    };
    hooks.onClosed = [this, session](const Error &) {
        session->timer.cancel();
        --this->connections;
        if (session->admitted)
            this->admission.end();
        this->counts.servedBytes += session->connection->bytesSent();
    };
    session->connection =
        std::make_shared<FramedConnection>(std::move(socket), maximumPullRequestSize, std::move(hooks));
    session->timer.expires_after(connectionTimeout);
    const std::weak_ptr<FramedConnection> connection = session->connection;
    session->timer.async_wait([connection](const boost::system::error_code &error) {
        const auto open = connection.lock();
        if (!error && open)
            open->close(
                makeError(ErrorKind::Timeout, "serve pull", "", "the connection exceeded its time limit"));
    });
    session->connection->start();
}

void ControlServer::answer(Session &session, const PullRequest &request)
{
    PullResponse response;
    session.admitted = this->admission.begin();
    if (session.admitted) {
        response = this->serve(request);
        ++this->counts.served;
    } else {
        response.answer = PullAnswer::Busy;
        const auto wait = std::chrono::duration_cast<Milliseconds>(this->admission.retryAfter());
        response.retryAfterMilliseconds = static_cast<std::uint32_t>(wait.count());
        ++this->counts.refused;
    }
    session.connection->send(encodeFrame(FrameType::PullResponse, response));
}

} // namespace Sagecrank

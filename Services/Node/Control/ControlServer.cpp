// Accepts connections, answers pull requests and table exchanges, and closes connections that exceed the time
// limit.
#include "ControlServer.h"

#include <LibCore/Time.h>
#include <LibNet/AcceptRetry.h>
#include <LibNet/FramedConnection.h>

#include <boost/asio/steady_timer.hpp>

#include <optional>

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
    bool admitted = false;             // Holds a slot of PullAdmission.
    std::optional<TableStream> tables; // Holds a slot of TableAdmission.

    explicit Session(boost::asio::io_context &context)
        : timer(context)
    {
    }
};

ControlServer::ControlServer(boost::asio::io_context &context, Membership &membership, std::uint32_t linkMbps,
                             std::uint64_t seed, Serve serve)
    : context(context)
    , acceptor(context)
    , membership(membership)
    , admission(maximumConcurrentPulls, seed)
    , tableAdmission(linkMbps, seed + 1)
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
        continueAccepting(this->acceptor, error, [this] { this->acceptNext(); });
    });
}

void ControlServer::open(tcp::socket socket)
{
    auto session = std::make_shared<Session>(this->context);
    ++this->connections;
    FramedConnectionHooks hooks;
    hooks.onFrame = [this, session](FrameType type, std::span<const char> payload) {
        const Result<void> handled = this->handleFrame(*session, type, payload);
        if (handled)
            return;
        ++this->counts.malformed;
        session->connection->close(handled.error());
    };
    hooks.onClosed = [this, session](const Error &) { this->endSession(*session); };
    session->connection =
        std::make_shared<FramedConnection>(std::move(socket), maximumTableBatchBytes, std::move(hooks));
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

void ControlServer::endSession(Session &session)
{
    session.timer.cancel();
    --this->connections;
    if (session.admitted) {
        this->admission.end();
        this->counts.servedBytes += session.connection->bytesSent();
    }
    if (session.tables)
        this->tableAdmission.end();
}

Result<void> ControlServer::handleFrame(Session &session, FrameType type, std::span<const char> payload)
{
    if (type == FrameType::PullRequest && !session.admitted && !session.tables)
        return this->handlePull(session, payload);
    if (type == FrameType::TableBatch && !session.admitted)
        return this->handleTableBatch(session, payload);
    return makeError(ErrorKind::InvalidInput, "serve control port", session.connection->peerName(),
                     "unexpected frame");
}

Result<void> ControlServer::handlePull(Session &session, std::span<const char> payload)
{
    const std::string &peer = session.connection->peerName();
    if (payload.size() > maximumPullRequestSize)
        return makeError(ErrorKind::TooLarge, "read pull request", peer, "the request is too long");
    this->answer(session, TRY(decode<PullRequest>(payload, "read pull request", peer)));
    return success();
}

Result<void> ControlServer::handleTableBatch(Session &session, std::span<const char> payload)
{
    const TableBatch part =
        TRY(decode<TableBatch>(payload, "exchange tables", session.connection->peerName()));
    const Instant now = SteadyClock::now();
    if (!session.tables && !this->tableAdmission.begin(now)) {
        ++this->counts.tablesRefused;
        const auto wait = static_cast<std::uint32_t>(this->tableAdmission.retryAfter().count());
        this->sendTableBatch(session, {{}, true, wait});
        return success();
    }
    if (!session.tables) {
        ++this->counts.tablesServed;
        session.tables.emplace(this->membership);
    }
    const std::vector<TableBatch> answer = TRY(session.tables->receive(now, part));
    for (const TableBatch &next : answer)
        this->sendTableBatch(session, next);
    return success();
}

void ControlServer::sendTableBatch(Session &session, const TableBatch &part)
{
    Bytes frame = encodeFrame(FrameType::TableBatch, part);
    this->tableAdmission.sent(frame.size());
    this->counts.tableBytesSent += frame.size();
    session.connection->send(std::move(frame));
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

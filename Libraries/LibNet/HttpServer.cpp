// Accepting connections, and ending them with the server.
#include <LibNet/FramedConnection.h>
#include <LibNet/HttpServer.h>
#include <LibNet/HttpSession.h>

namespace Sagecrank {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

namespace {

void acceptNext(const std::shared_ptr<HttpServer::State> &state)
{
    state->acceptor.async_accept(
        state->context.get_executor(), [state](const beast::error_code &error, HttpSocket socket) {
            if (!state->acceptor.is_open())
                return;
            // Above the limit a connection is closed at once: those that are served keep their memory.
            const bool room = state->sessions.size() < state->settings.maximumConnections;
            if (!error && room) {
                beast::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<HttpSession>(std::move(socket), state)->awaitRequest();
            }
            acceptNext(state);
        });
}

} // namespace

HttpServer::HttpServer(boost::asio::io_context &context, HttpServerSettings settings, HttpHandler handler)
    : state(std::make_shared<State>(context, settings, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    this->stopAccepting();
}

Result<void> HttpServer::listen(const std::string &address)
{
    const tcp::endpoint endpoint = TRY(parseTcpEndpoint(address, true));
    TRY_VOID(openListener(this->state->acceptor, endpoint, this->state->settings.reusePort));
    acceptNext(this->state);
    return success();
}

std::string HttpServer::address() const
{
    beast::error_code ignored;
    return formatEndpoint(this->state->acceptor.local_endpoint(ignored));
}

void HttpServer::disableKeepAlive()
{
    this->state->closing = true;
}

// Failure: a caller sends a request on a kept connection while this process ends. Symptom: it is passed on
// and its connection closed without an answer. Connections without a request under way are closed here, and
// the others after their answer, so that nothing new can come.
void HttpServer::stopAccepting()
{
    this->disableKeepAlive();
    beast::error_code ignored;
    this->state->acceptor.close(ignored);
    const std::unordered_set<HttpSession *> open = this->state->sessions;
    for (HttpSession *session : open)
        session->closeWhenIdle();
}

std::size_t HttpServer::pendingResponses() const
{
    return this->state->pendingResponses;
}

void HttpServer::closeAll()
{
    this->stopAccepting();
    const std::unordered_set<HttpSession *> open = this->state->sessions;
    for (HttpSession *session : open)
        session->close();
}

} // namespace Sagecrank

// Implements accepting connections and shutting the server down.
#include <LibNet/AcceptRetry.h>
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
            // Above the limit, new connections are closed at once to bound memory.
            const bool belowLimit = state->sessions.size() < state->settings.maximumConnections;
            if (!error && belowLimit) {
                beast::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<HttpSession>(std::move(socket), state)->awaitRequest();
            }
            continueAccepting(state->acceptor, error, [state] { acceptNext(state); });
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

// A request that arrives on a keep-alive connection during shutdown would reach the handler, and its
// connection would close without a response. So connections without a request in progress are closed here and
// the others after their response.
void HttpServer::stopAccepting()
{
    this->disableKeepAlive();
    beast::error_code ignored;
    this->state->acceptor.close(ignored);
    const std::unordered_set<HttpSession *> open = this->state->sessions;
    for (HttpSession *session : open)
        session->closeWhenIdle();
}

// Without a response, the caller of an upload would not know whether it may send it again.
void HttpServer::rejectPartialRequests()
{
    this->stopAccepting();
    this->state->rejectsPartialRequests = true;
    const std::unordered_set<HttpSession *> open = this->state->sessions;
    for (HttpSession *session : open)
        session->rejectPartialRequest();
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

// An HTTP/1.1 server on an io_context with a single thread. Malformed input gets an error response and
// affects only its own connection.
#pragma once

#include <LibCore/Time.h>
#include <LibNet/HttpMessages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Sagecrank {

// Size and time limits for requests.
struct HttpLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 1'048'576;
    Milliseconds headerTimeout{60000}; // From the first byte of a request to the end of its headers.
    Milliseconds idleTimeout{60000};   // Between requests; also for receiving a body.
};

// Bytes that replace a serialised response.
struct RawResponse
{
    std::string bytes;
    bool closesConnection = false; // Closes after them, regardless of keep-alive.
    // Sent once the next request on the connection has been received, ahead of its response.
    std::string prefixForNextResponse;
};

struct HttpServerSettings
{
    HttpLimits limits;
    std::uint32_t maximumConnections = 4096;
    bool reusePort = false; // SO_REUSEPORT: several threads listen on the same address.
    // How long a closing server waits for a caller to read the last response on its connection. On a
    // congested path a response takes several round trips to arrive.
    Milliseconds lingerTimeout{500};
    // If set, replaces `limits` for each request, so that limits can change while the server runs.
    std::function<HttpLimits()> currentLimits;
    // Whether a pipelined request may be handled before earlier requests on its connection have been
    // answered. If not set, none may, and each request is read after the previous response. Responses are
    // sent in request order either way.
    std::function<bool(const HttpRequest &)> mayPipeline;
    // Asked before `bytes` more of a request's body are held, which then has `bodyBytes`. An empty result
    // rejects the request with 503, and what has been received of it is dropped. Other results are kept until
    // the request has been answered.
    std::function<std::shared_ptr<void>(std::uint64_t bytes, std::uint64_t bodyBytes)> reserveBody;
    // Observes a request that was answered with an error of the server's own: it did not reach the handler,
    // or the handler's response cannot be encoded.
    std::function<void(std::uint32_t status, std::string_view reason)> requestRejected;
    // Fault injection for emulators; production servers set neither. rewriteResponse receives a whole
    // response, header and body. respondBeforeBody may answer a request whose body is still being received,
    // which closes the connection.
    std::function<RawResponse(std::string response)> rewriteResponse;
    std::function<std::optional<HttpResponse>(const HttpRequest &header)> respondBeforeBody;
};

// A request that awaits its response. Used only on its connection's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    // Only the first call has an effect. Does nothing when the caller has disconnected.
    virtual void respond(HttpResponse response) = 0;

    // Closes the connection without a response, as if the response had been lost.
    virtual void drop() = 0;

    // Registers a hook that runs when the caller closes its connection before the response.
    virtual void onCallerDisconnected(std::function<void()> hook) = 0;
};

using HttpHandler = std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Port 0 selects any free port.
    Result<void> listen(const std::string &address);
    std::string address() const; // The listening address.

    // From now on, each response carries "Connection: close", so that callers reconnect elsewhere.
    void disableKeepAlive();

    // Refuses new connections and closes idle ones. Implies disableKeepAlive().
    void stopAccepting();

    // Rejects each request that has been received only in part or not been read yet, as not run. Implies
    // stopAccepting(). Call on the server's thread; the rejections count as pending responses once it has run
    // what is queued then.
    void rejectPartialRequests();

    // Closes all connections, also those with a request in progress. Call on the server's thread.
    void closeAll();

    // Requests passed to the handler whose responses have not been sent. Callable from any thread.
    std::size_t pendingResponses() const;

    struct State; // Defined in HttpSession.h.

private:
    std::shared_ptr<State> state; // Shared with open connections, which may outlive the server.
};

} // namespace Sagecrank

// An HTTP/1.1 server on one io_context that one thread runs. Bad input is answered with a clear error and
// costs only its own connection.
#pragma once

#include <LibCore/Time.h>
#include <LibNet/HttpMessages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace Sagecrank {

// What a caller may send and how long it may take.
struct HttpLimits
{
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 1'048'576;
    Milliseconds headerTimeout{60000}; // From a request's first byte to the end of its headers.
    Milliseconds idleTimeout{60000};   // Between requests; also for the body of one to come in.
};

// What leaves the server in place of an answer's own bytes.
struct RawResponse
{
    std::string bytes;
    bool closesConnection = false; // The connection ends after them, whatever the answer says.
    std::string
        prefixForNextResponse; // Leaves when the next request on the connection has come, before its answer.
};

struct HttpServerSettings
{
    HttpLimits limits;
    std::uint32_t maximumConnections = 4096;
    bool reusePort = false; // Lets several threads listen on the same address.
    // How long a caller has to take the last answer of its connection when the server closes; on a full path
    // an answer is some round trips behind.
    Milliseconds lingerTimeout{500};
    // Replaces `limits` for each request when it is set: limits that change while the server runs.
    std::function<HttpLimits()> currentLimits;
    // Whether a request may be handed on before those ahead of it on its connection are answered. Not set:
    // none may, and each is read once the one before it is answered. Answers leave in order either way.
    std::function<bool(const HttpRequest &)> mayPipeline;
    // For stand-ins of faulty servers; a server of the product has neither. The first is given a whole
    // answer, header and body; the second may answer a request whose body is still coming, which ends its
    // connection.
    std::function<RawResponse(std::string answer)> rewriteResponse;
    std::function<std::optional<HttpResponse>(const HttpRequest &header)> respondBeforeBody;
};

// One request that waits for its answer. Belongs to its connection's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    // Once; later ones are ignored. Harmless when the caller has gone.
    virtual void respond(HttpResponse response) = 0;

    // Closes the connection without an answer; for a caller, that looks like an answer lost on its way.
    virtual void drop() = 0;

    // Called when the caller closes its connection before the answer.
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

    // Port 0 takes any free port.
    Result<void> listen(const std::string &address);
    std::string address() const; // Where it listens.

    // Each answer from now on asks the caller to close its connection and turn elsewhere.
    void disableKeepAlive();

    // No new connections. Implies disableKeepAlive().
    void stopAccepting();

    // Ends idle connections too. Runs on the server's thread.
    void closeAll();

    // Requests that were handed on and whose answers have not left. From any thread.
    std::size_t pendingResponses() const;

    struct State; // Only the .cpp file knows what is in it.

private:
    std::shared_ptr<State> state; // Outlives the server while connections end.
};

} // namespace Sagecrank

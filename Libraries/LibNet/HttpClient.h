// An HTTP/1.1 client with a keep-alive connection pool, used on the one thread of its io_context. A failure
// tells whether the request may have reached the server, which decides whether it may be retried.
#pragma once

#include <LibCore/Time.h>
#include <LibNet/HttpMessages.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sagecrank {

struct HttpFailure
{
    Error error;
    bool mayHaveBeenSent = true;   // False only when no byte of the request was sent.
    bool responseTooLarge = false; // The server sent more in some part of its response than the client holds.
    // The status and the header of a valid response to this request whose body is not complete. They may
    // prove that the request did not run.
    std::optional<HttpResponse> incompleteResponse;
};

struct HttpClientSettings
{
    std::uint32_t maximumIdleConnections = 16; // Per address.
    std::uint64_t maximumBodyBytes = 1'048'576;
    Milliseconds idleTimeout{30000};
};

enum class ConnectionReuse : std::uint8_t {
    Allowed,    // Uses an idle pooled connection if there is one.
    Disallowed, // Opens a new connection: a pooled one may be dead without having been closed.
};

struct HttpSendOptions
{
    Duration timeout{}; // Covers connecting, sending and receiving the response.
    // A request header that the server echoes in its response. A response with another value belongs to an
    // earlier request on the same connection and is skipped. A request does not use a connection that has
    // carried one with the same value, since responses to the two could not be told apart. Empty disables
    // both.
    std::string correlationHeader;
    ConnectionReuse connectionReuse = ConnectionReuse::Allowed;
    // Whether the server echoes the correlation header in every response. One without it then belongs to no
    // request, and ends the connection and the call.
    bool echoRequired = false;
};

// The result of a connection probe.
enum class Reachability : std::uint8_t {
    Reachable, // A pooled connection is still open, or a new one was accepted.
    Refused,   // Nothing listens at the address.
    Unknown,   // The connection attempt timed out or failed in another way.
};

class HttpClientCall;
class HttpConnectionPool;

class HttpClient
{
public:
    using ResponseCallback = std::function<void(const HttpFailure *failure, HttpResponse response)>;

    // Refers to a running call. cancel() aborts the call, and its callback receives a failure.
    class Handle
    {
    public:
        Handle() = default;
        explicit Handle(std::weak_ptr<HttpClientCall> call)
            : call(std::move(call))
        {
        }
        void cancel();

    private:
        std::weak_ptr<HttpClientCall> call;
    };

    HttpClient(boost::asio::io_context &context, HttpClientSettings settings);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // The callback runs once, on the io_context.
    Handle send(const std::string &address, HttpRequest request, HttpSendOptions options,
                ResponseCallback done);
    Handle send(const std::string &address, HttpRequest request, Duration timeout, ResponseCallback done)
    {
        return this->send(address, std::move(request), HttpSendOptions{timeout, {}, ConnectionReuse::Allowed},
                          std::move(done));
    }

    // Probes whether something listens at the address. A connection opened for this goes to the pool. The
    // callback runs once, on the io_context.
    void checkReachable(const std::string &address, Duration timeout, std::function<void(Reachability)> done);

private:
    std::shared_ptr<HttpConnectionPool> pool;
};

} // namespace Sagecrank

// An HTTP/1.1 client with kept connections for one io_context that one thread runs. An error says whether the
// request may have reached the other side, which decides whether it may be sent again.
#pragma once

#include <LibCore/Time.h>
#include <LibNet/HttpMessages.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Sagecrank {

struct HttpFailure
{
    Error error;
    bool mayHaveBeenSent = true; // False only when no byte of the request left.
};

struct HttpClientSettings
{
    std::uint32_t maximumIdleConnections = 16; // Kept for each address.
    std::uint64_t maximumBodyBytes = 1'048'576;
    Milliseconds idleTimeout{30000};
};

enum class ConnectionReuse : std::uint8_t {
    Allowed,    // One that is idle, if there is one.
    Disallowed, // A new one: those that are kept may have fallen silent without an end.
};

struct HttpSendOptions
{
    Duration timeout{}; // Spans connecting, sending and the answer.
    // A header of the request that its answer repeats. An answer with another value belongs to an earlier
    // request on the same connection and is passed over. Empty: answers are not checked.
    std::string correlationHeader;
    ConnectionReuse connectionReuse = ConnectionReuse::Allowed;
};

// What a look at the other side showed.
enum class Reachability : std::uint8_t {
    Reachable, // It holds a kept connection open, or took a new one.
    Refused,   // Nothing listens there.
    Unknown,   // No answer in time.
};

class HttpClientCall;

class HttpClient
{
public:
    using ResponseCallback = std::function<void(const HttpFailure *failure, HttpResponse response)>;

    // Ends the call it stands for when cancel() is called; the hook then gets a failure.
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

    // The hook is called once, from the io_context.
    Handle send(const std::string &address, HttpRequest request, HttpSendOptions options,
                ResponseCallback done);
    Handle send(const std::string &address, HttpRequest request, Duration timeout, ResponseCallback done)
    {
        return this->send(address, std::move(request), HttpSendOptions{timeout, {}, ConnectionReuse::Allowed},
                          std::move(done));
    }

    // Whether something listens there. A connection that this opens is kept for the next request. The hook is
    // called once, from the io_context.
    void checkReachable(const std::string &address, Duration timeout, std::function<void(Reachability)> done);

    struct Pool; // Only the .cpp file knows what is in it.

private:
    std::shared_ptr<Pool> pool;
};

} // namespace Sagecrank

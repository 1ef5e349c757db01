// The connections of an HTTP client, and which of the idle ones may carry a request. Internal to LibNet,
// since it includes Beast's headers.
#pragma once

#include <LibNet/HttpClient.h>
#include <LibNet/HttpWire.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

// A connection to a server, with the correlation values of the requests that it has carried.
//
// A server may send any of its responses a second time, later, on the same connection. The correlation value
// tells such a copy from the response to another request, but not from the response to the same request sent
// again. So a connection never carries two requests with one value.
class HttpConnection
{
public:
    HttpConnection(boost::asio::io_context &context, std::uint64_t number)
        : stream(context)
        , number(number)
    {
    }

    // An empty value is not checked and may be carried any number of times.
    bool mayCarry(std::string_view correlationValue) const;
    void recordRequest(std::string_view correlationValue);

    // It has carried as many values as it may record, and must not be used again.
    bool isExhausted() const;

    // False if the server has closed the connection or has sent bytes that nobody asked for: a request sent
    // on it would needlessly end with an unknown outcome.
    bool isQuiet();

    std::uint32_t requestCount() const { return this->requests; }

    HttpStream stream;
    const std::uint64_t number; // Among the connections of its client.

private:
    std::uint32_t requests = 0;
    // Hashes, without duplicates. A collision costs a new connection.
    std::vector<std::size_t> carriedValues;
};

// Used on the one thread of its io_context.
class HttpConnectionPool
{
public:
    HttpConnectionPool(boost::asio::io_context &context, HttpClientSettings settings)
        : context(context)
        , settings(settings)
    {
    }

    // Returns the most recently used idle connection that may carry a request with this value, or null.
    std::unique_ptr<HttpConnection> acquire(const std::string &address, std::string_view correlationValue);
    std::unique_ptr<HttpConnection> makeConnection();
    // Closes a connection that is exhausted.
    void release(const std::string &address, std::unique_ptr<HttpConnection> connection,
                 Duration idleTimeout);
    bool hasUsable(const std::string &address) const;

    boost::asio::io_context &context;
    const HttpClientSettings settings;

private:
    struct IdleConnection
    {
        std::unique_ptr<HttpConnection> connection;
        Instant expiresAt;

        bool isUsable(Instant now) const { return this->expiresAt > now && this->connection->isQuiet(); }
    };

    std::unordered_map<std::string, std::deque<IdleConnection>> idle; // Newest at the back.
    std::uint64_t connectionsMade = 0;
};

} // namespace Sagecrank

// The connections of an HTTP client, and which of the idle ones may carry a request. Internal to LibNet,
// since it includes Beast's headers.
#pragma once

#include <LibNet/HttpClient.h>
#include <LibNet/HttpWire.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace Sagecrank {

// A connection to a server.
class HttpConnection
{
public:
    HttpConnection(boost::asio::io_context &context, std::uint64_t number)
        : stream(context)
        , number(number)
    {
    }

    void recordRequest() { ++this->requests; }

    // False if the server has closed the connection or has sent bytes that nobody asked for: a request sent
    // on it would needlessly end with an unknown outcome.
    bool isQuiet();

    std::uint32_t requestCount() const { return this->requests; }

    HttpStream stream;
    const std::uint64_t number; // Among the connections of its client.

private:
    std::uint32_t requests = 0;
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

    // Returns the most recently used idle connection, or null.
    std::unique_ptr<HttpConnection> acquire(const std::string &address);
    std::unique_ptr<HttpConnection> makeConnection();
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

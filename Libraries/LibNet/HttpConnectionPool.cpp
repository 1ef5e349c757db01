// Implements the choice of a connection for a request.
#include <LibNet/HttpConnectionPool.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <functional>

namespace Sagecrank {

namespace {

// Bounds the memory of a connection. One that has carried as many requests is closed after its response, so
// that the list of their correlation values is always complete.
constexpr std::size_t maximumRequestsPerConnection = 1000;

} // namespace

bool HttpConnection::isExhausted() const
{
    return this->carriedValues.size() >= maximumRequestsPerConnection;
}

bool HttpConnection::mayCarry(std::string_view correlationValue) const
{
    const std::size_t hash = std::hash<std::string_view>{}(correlationValue);
    return correlationValue.empty()
           || std::ranges::find(this->carriedValues, hash) == this->carriedValues.end();
}

void HttpConnection::recordRequest(std::string_view correlationValue)
{
    ++this->requests;
    if (!correlationValue.empty())
        this->carriedValues.push_back(std::hash<std::string_view>{}(correlationValue));
}

bool HttpConnection::isQuiet()
{
    char byte = 0;
    const ssize_t size = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<HttpConnection> HttpConnectionPool::acquire(const std::string &address,
                                                            std::string_view correlationValue)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    std::deque<IdleConnection> &connections = found->second;
    const Instant now = SteadyClock::now();
    for (std::size_t index = connections.size(); index-- > 0;) {
        IdleConnection &candidate = connections[index];
        const bool usable = candidate.isUsable(now);
        if (usable && !candidate.connection->mayCarry(correlationValue))
            continue;
        std::unique_ptr<HttpConnection> connection = std::move(candidate.connection);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        if (usable)
            return connection;
    }
    return nullptr;
}

std::unique_ptr<HttpConnection> HttpConnectionPool::makeConnection()
{
    return std::make_unique<HttpConnection>(this->context, ++this->connectionsMade);
}

void HttpConnectionPool::release(const std::string &address, std::unique_ptr<HttpConnection> connection,
                                 Duration idleTimeout)
{
    if (connection->isExhausted())
        return;
    std::deque<IdleConnection> &connections = this->idle[address];
    if (connections.size() >= this->settings.maximumIdleConnections)
        connections.pop_front();
    connections.push_back({std::move(connection), SteadyClock::now() + idleTimeout});
}

bool HttpConnectionPool::hasUsable(const std::string &address) const
{
    const auto found = this->idle.find(address);
    return found != this->idle.end()
           && std::ranges::any_of(found->second, [](const IdleConnection &candidate) {
                  return candidate.connection->isQuiet();
              });
}

} // namespace Sagecrank

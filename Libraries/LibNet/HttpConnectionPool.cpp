// Implements the choice of a connection for a request.
#include <LibNet/HttpConnectionPool.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace Sagecrank {

bool HttpConnection::isQuiet()
{
    char byte = 0;
    const ssize_t size = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::unique_ptr<HttpConnection> HttpConnectionPool::acquire(const std::string &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end())
        return nullptr;
    std::deque<IdleConnection> &connections = found->second;
    const Instant now = SteadyClock::now();
    while (!connections.empty()) {
        IdleConnection newest = std::move(connections.back());
        connections.pop_back();
        if (newest.isUsable(now))
            return std::move(newest.connection);
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

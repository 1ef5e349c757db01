// A persistent connection to a node or an upstream, with at most one outstanding request. send() reconnects
// if it is closed.
#pragma once

#include <Load/ResponseReader.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Sagecrank {

struct OutgoingRequest
{
    std::string method;
    std::string target;
    std::string callId;
    std::string key; // Idempotency key; empty: none.
    std::string body;
    std::string deadline; // In milliseconds; empty: no deadline header.
};

class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
    // Exactly one of the two is called for each send(), unless close() is called.
    struct Callbacks
    {
        std::function<void(LoadConnection &, const Response &)> onResponse;
        std::function<void(LoadConnection &, const std::string &reason)> onFailure;
    };

    LoadConnection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint,
                   Callbacks callbacks);
    ~LoadConnection();
    LoadConnection(const LoadConnection &) = delete;
    LoadConnection &operator=(const LoadConnection &) = delete;

    void send(const OutgoingRequest &request);
    // Closes the connection and reports the failure of its request with this reason.
    void abort(const std::string &reason);
    // Closes the connection without a callback.
    void close();

    bool isBusy() const { return this->busy; }

    // The call on the connection; set and read by the owner only.
    std::size_t call = 0;

private:
    struct Transport;

    void connect();
    void write();
    void read();
    void onBytesRead(std::size_t size);
    void fail(const std::string &reason);

    std::unique_ptr<Transport> transport;
    boost::asio::ip::tcp::endpoint endpoint;
    Callbacks callbacks;
    ResponseReader reader;
    bool busy = false;            // A request is outstanding.
    bool reading = false;         // At most one read is pending.
    std::uint64_t generation = 0; // Incremented on close; callbacks of an earlier socket are ignored.
};

} // namespace Sagecrank

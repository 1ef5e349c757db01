// One kept connection to a node or an upstream, with at most one request on it. Reconnects when it is asked
// to send and is not open.
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
    std::string key; // Empty: no idempotency key.
    std::string body;
    std::string deadline; // Milliseconds as text; empty: none is told.
};

class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
    // One of the two is called once for each send().
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
    // Gives the request up: closes the connection and reports it broken with this reason.
    void abort(const std::string &reason);
    // Ends the connection without a report.
    void close();

    bool isBusy() const { return this->busy; }

    // Which call is on it; kept for the owner.
    std::size_t call = 0;

private:
    struct Wire; // Only the .cpp file knows what is in it.

    void connect();
    void write();
    void read();
    void received(std::size_t size);
    void fail(const std::string &reason);

    std::unique_ptr<Wire> wire;
    boost::asio::ip::tcp::endpoint endpoint;
    Callbacks callbacks;
    ResponseReader reader;
    bool busy = false;    // A request waits for its answer.
    bool reading = false; // At most one read is pending.
    std::uint64_t generation =
        0; // Counts sockets, so that the end of an old one is not taken for the new one's.
};

} // namespace Sagecrank

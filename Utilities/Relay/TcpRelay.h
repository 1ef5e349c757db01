// Forwards TCP connections to another address and injects faults into them on command.
#pragma once

#include "LinkFaults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace Sagecrank {

class RelayedConnection;

class TcpRelay
{
public:
    // Throws boost::system::system_error when it cannot listen.
    TcpRelay(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &listen,
             boost::asio::ip::tcp::endpoint target, LinkFaults &faults);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->acceptor.local_endpoint(); }

    void silenceConnections(bool up, bool down);
    void resetConnections();

private:
    void accept();
    void removeClosed();

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    const boost::asio::ip::tcp::endpoint target;
    LinkFaults &faults;
    std::vector<std::weak_ptr<RelayedConnection>> connections;
};

} // namespace Sagecrank

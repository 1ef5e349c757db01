// Accepts relay commands over TCP, one per line, and responds to each with "ok" or an error message.
#pragma once

#include "LinkFaults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace Sagecrank {

class ControlPort
{
public:
    using CommandHandler = std::function<void(const RelayCommand &)>;

    // Throws boost::system::system_error when it cannot listen.
    ControlPort(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &listen,
                CommandHandler handler);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->acceptor.local_endpoint(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor;
    const CommandHandler handler;
};

} // namespace Sagecrank

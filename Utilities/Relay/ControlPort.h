// Takes relay commands, one on a line, and answers each with "ok" or the reason why it is none.
#pragma once

#include "LinkFaults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace Sagecrank {

class ControlPort
{
public:
    using Hook = std::function<void(const RelayCommand &)>;

    // Throws boost::system::system_error when it cannot listen.
    ControlPort(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &listen, Hook hook);

    boost::asio::ip::tcp::endpoint localEndpoint() const { return this->acceptor.local_endpoint(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor;
    const Hook hook;
};

} // namespace Sagecrank

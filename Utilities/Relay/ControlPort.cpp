// Reads command lines from control connections and passes the parsed commands to the handler.
#include "ControlPort.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <utility>

namespace Sagecrank {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

class ControlConnection : public std::enable_shared_from_this<ControlConnection>
{
public:
    ControlConnection(tcp::socket socket, ControlPort::CommandHandler handler)
        : socket(std::move(socket))
        , handler(std::move(handler))
    {
    }

    void read()
    {
        constexpr std::size_t maximumLine = 256;
        asio::async_read_until(
            this->socket, asio::dynamic_buffer(this->input, maximumLine), '\n',
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t size) {
                if (!error)
                    self->handleLine(size);
            });
    }

private:
    void handleLine(std::size_t size)
    {
        const std::string line = this->input.substr(0, size - 1);
        this->input.erase(0, size);
        const Result<RelayCommand> command = parseRelayCommand(line);
        if (command)
            this->handler(command.value());
        this->output = command ? "ok\n" : command.error().message + "\n";
        asio::async_write(
            this->socket, asio::buffer(this->output),
            [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t) {
                if (!error)
                    self->read();
            });
    }

    tcp::socket socket;
    ControlPort::CommandHandler handler;
    std::string input;
    std::string output;
};

} // namespace

ControlPort::ControlPort(asio::io_context &context, const tcp::endpoint &listen, CommandHandler handler)
    : acceptor(context, listen)
    , handler(std::move(handler))
{
    this->accept();
}

void ControlPort::accept()
{
    this->acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            std::make_shared<ControlConnection>(std::move(socket), this->handler)->read();
        this->accept();
    });
}

} // namespace Sagecrank

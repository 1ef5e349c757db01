// Sends and receives gossip datagrams and drives the membership state machine.
#include "ControlGossip.h"

#include <LibAccount/AllowanceMessages.h>
#include <LibNet/FramedConnection.h>

#include <boost/asio/buffer.hpp>

namespace Sagecrank {

namespace {

using boost::asio::ip::udp;

// Half of a gossip round (200 ms); the cost of a tick is negligible at this rate.
constexpr Duration tickInterval = Milliseconds(100);

// About 200 full datagrams: a burst of replies that arrives while the thread is busy.
constexpr int receiveBufferBytes = 256 * 1024;

Result<udp::endpoint> parseUdpEndpoint(const std::string &address)
{
    const auto parsed = TRY(parseTcpEndpoint(address));
    return udp::endpoint(parsed.address(), parsed.port());
}

std::string describe(const udp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

ControlGossip::ControlGossip(boost::asio::io_context &context, MembershipSettings settings, Member self,
                             MembershipHooks hooks, DatagramHook allowanceReceived, std::uint64_t seed)
    : socket(context)
    , timer(context)
    , allowanceReceived(std::move(allowanceReceived))
    , machine(std::move(settings), std::move(self), this->withSend(std::move(hooks)), seed)
{
}

MembershipHooks ControlGossip::withSend(MembershipHooks hooks)
{
    hooks.send = [this](const std::string &address, const std::string &bytes) { this->send(address, bytes); };
    return hooks;
}

Result<void> ControlGossip::start(const std::string &listenAddress)
{
    const udp::endpoint endpoint = TRY(parseUdpEndpoint(listenAddress));
    boost::system::error_code error;
    this->socket.open(endpoint.protocol(), error);
    if (!error)
        this->socket.bind(endpoint, error);
    if (error)
        return makeError(ErrorKind::Unavailable, "open gossip socket", listenAddress, error.message());
    this->socket.non_blocking(true, error);
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    this->receiveNext();
    this->machine.tick(SteadyClock::now());
    this->scheduleTick();
    return success();
}

void ControlGossip::stop()
{
    boost::system::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
}

// The datagram is dropped when the socket buffer is full; the protocol tolerates loss.
void ControlGossip::send(const std::string &address, const std::string &bytes)
{
    const Result<udp::endpoint> endpoint = parseUdpEndpoint(address);
    boost::system::error_code error;
    if (endpoint)
        this->socket.send_to(boost::asio::buffer(bytes), endpoint.value(), 0, error);
    if (!endpoint || error)
        ++this->failures;
}

void ControlGossip::receive(std::string_view bytes)
{
    const bool isAllowance = !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == allowanceProtocol;
    if (!isAllowance)
        return this->machine.receive(SteadyClock::now(), describe(this->sender), bytes);
    if (this->allowanceReceived)
        this->allowanceReceived(describe(this->sender), bytes);
}

void ControlGossip::receiveNext()
{
    this->socket.async_receive_from(boost::asio::buffer(this->buffer), this->sender,
                                    [this](const boost::system::error_code &error, std::size_t size) {
                                        if (!this->socket.is_open())
                                            return;
                                        if (!error)
                                            this->receive({this->buffer.data(), size});
                                        this->receiveNext();
                                    });
}

void ControlGossip::scheduleTick()
{
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (error || !this->socket.is_open())
            return;
        this->machine.tick(SteadyClock::now());
        this->scheduleTick();
    });
}

} // namespace Sagecrank

// Forwards datagrams with the delays and losses of the link.
#include "UdpRelay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace Sagecrank {

namespace asio = boost::asio;
using asio::ip::udp;

UdpRelay::Peer::Peer(asio::io_context &context, udp::endpoint sender)
    : socket(context, udp::endpoint(asio::ip::address_v4::loopback(), 0))
    , sender(std::move(sender))
{
}

UdpRelay::UdpRelay(asio::io_context &context, const udp::endpoint &listen, udp::endpoint target,
                   LinkFaults &faults)
    : context(context)
    , socket(context, listen)
    , target(std::move(target))
    , faults(faults)
{
    this->receiveFromSenders();
}

void UdpRelay::receiveFromSenders()
{
    this->socket.async_receive_from(asio::buffer(this->buffer), this->from,
                                    [this](const boost::system::error_code &error, std::size_t size) {
                                        if (error == asio::error::operation_aborted)
                                            return;
                                        if (!error) {
                                            std::shared_ptr<Peer> &peer = this->peers[this->from];
                                            if (!peer) {
                                                peer = std::make_shared<Peer>(this->context, this->from);
                                                this->receiveFromTarget(peer);
                                            }
                                            this->forward(RelayDirection::Up,
                                                          std::string(this->buffer.data(), size),
                                                          peer->socket, this->target);
                                        }
                                        this->receiveFromSenders();
                                    });
}

void UdpRelay::receiveFromTarget(const std::shared_ptr<Peer> &peer)
{
    peer->socket.async_receive_from(asio::buffer(peer->buffer), peer->from,
                                    [this, peer](const boost::system::error_code &error, std::size_t size) {
                                        if (error == asio::error::operation_aborted)
                                            return;
                                        if (!error)
                                            this->forward(RelayDirection::Down,
                                                          std::string(peer->buffer.data(), size),
                                                          this->socket, peer->sender);
                                        this->receiveFromTarget(peer);
                                    });
}

void UdpRelay::forward(RelayDirection direction, std::string datagram, udp::socket &outgoing,
                       const udp::endpoint &to)
{
    if (this->faults.blackholed() || this->faults.shouldDropDatagram())
        return;
    auto timer = std::make_shared<asio::steady_timer>(this->context, this->faults.delay(direction));
    timer->async_wait(
        [timer, datagram = std::move(datagram), &outgoing, to](const boost::system::error_code &error) {
            boost::system::error_code ignored;
            if (!error)
                outgoing.send_to(asio::buffer(datagram), to, 0, ignored);
        });
}

} // namespace Sagecrank

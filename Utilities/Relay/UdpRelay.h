// Forwards datagrams to another address and the responses back. Drops them at random from a seed, and delays
// them.
#pragma once

#include "LinkFaults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace Sagecrank {

class UdpRelay
{
public:
    // Throws boost::system::system_error when it cannot listen.
    UdpRelay(boost::asio::io_context &context, const boost::asio::ip::udp::endpoint &listen,
             boost::asio::ip::udp::endpoint target, LinkFaults &faults);

    boost::asio::ip::udp::endpoint localEndpoint() const { return this->socket.local_endpoint(); }

private:
    static constexpr std::size_t maximumDatagram = 65536;

    // The socket that forwards the datagrams of one sender, so that responses can be returned to that sender.
    struct Peer
    {
        Peer(boost::asio::io_context &context, boost::asio::ip::udp::endpoint sender);

        boost::asio::ip::udp::socket socket;
        boost::asio::ip::udp::endpoint sender;
        boost::asio::ip::udp::endpoint from;
        std::array<char, maximumDatagram> buffer{};
    };

    void receiveFromSenders();
    void receiveFromTarget(const std::shared_ptr<Peer> &peer);
    void forward(RelayDirection direction, std::string datagram, boost::asio::ip::udp::socket &outgoing,
                 const boost::asio::ip::udp::endpoint &to);

    boost::asio::io_context &context;
    boost::asio::ip::udp::socket socket;
    const boost::asio::ip::udp::endpoint target;
    LinkFaults &faults;
    boost::asio::ip::udp::endpoint from;
    std::array<char, maximumDatagram> buffer{};
    std::map<boost::asio::ip::udp::endpoint, std::shared_ptr<Peer>> peers;
};

} // namespace Sagecrank

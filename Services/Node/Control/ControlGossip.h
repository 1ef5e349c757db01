// Runs the membership state machine on a UDP socket and a timer. Used on the control thread only.
#pragma once

#include <LibMembership/Membership.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>
#include <unordered_map>

namespace Sagecrank {

class ControlGossip
{
public:
    using DatagramHook = std::function<void(const std::string &from, std::string_view bytes)>;

    // The `send` hook is replaced; the caller sets the others. `allowanceReceived` gets the datagrams of the
    // allowances, which share the port.
    ControlGossip(boost::asio::io_context &context, MembershipSettings settings, Member self,
                  MembershipHooks hooks, DatagramHook allowanceReceived, std::uint64_t seed);

    // Commands.
    Result<void> start(const std::string &listenAddress);
    void stop();
    void send(const std::string &address, const std::string &bytes);
    Membership &membership() { return this->machine; }

    // Queries.
    const Membership &membership() const { return this->machine; }
    std::uint64_t sendFailures() const { return this->failures; }

private:
    MembershipHooks withSend(MembershipHooks hooks);
    void receive(std::string_view bytes);
    void receiveNext();
    void scheduleTick();

    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    const DatagramHook allowanceReceived;
    Membership machine;
    boost::asio::ip::udp::endpoint sender;
    // One byte more than the limit, so that an oversized datagram is detected rather than truncated.
    std::array<char, maximumDatagramBytes + 1> buffer{};
    std::uint64_t failures = 0;
};

} // namespace Sagecrank

// A fake node at the other end of a peer link. It records calls, and the test responds to them.
#pragma once

#include <LibNet/FramedConnection.h>
#include <LibWire/PeerMessages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// Accepts connections and records calls; the test responds to them.
class FakePeer
{
public:
    explicit FakePeer(boost::asio::io_context &context)
        : acceptor(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        this->accept();
    }

    std::string address() const { return formatEndpoint(this->acceptor.local_endpoint()); }

    void answer(std::size_t index, const std::string &body, std::uint32_t status = 200)
    {
        this->answerOn(this->connections.size() - 1, index, body, status);
    }

    // Responds on an earlier connection, the one that the call arrived on.
    void answerOn(std::size_t connection, std::size_t index, const std::string &body,
                  std::uint32_t status = 200)
    {
        CallResponse response;
        response.callId = this->calls[index].callId;
        response.outcome = Outcome::Done;
        response.status = status;
        response.body = body;
        this->connections[connection]->send(encodeFrame(FrameType::CallResponse, response));
    }

    void refuse(std::size_t index, bool claimHeld, bool draining = false)
    {
        CallResponse response = this->refusal(index, "queue_full");
        response.claimHeld = claimHeld;
        response.draining = draining;
        this->connections.back()->send(encodeFrame(FrameType::CallResponse, response));
    }

    // The upstream has rejected the call.
    void shed(std::size_t index)
    {
        CallResponse response = this->refusal(index, "upstream_shed");
        response.reachedUpstream = true;
        this->connections.back()->send(encodeFrame(FrameType::CallResponse, response));
    }

    void stop() { this->acceptor.close(); } // New connections are refused.

    void grant(std::uint64_t callId)
    {
        this->connections.back()->send(encodeFrame(FrameType::CallGrant, CallGrant{callId}));
    }

    std::vector<CallRequest> calls;
    std::vector<std::shared_ptr<FramedConnection>> connections;
    bool repliesToPings = true;
    bool grantsBodies = false; // Replies to a Hello.
    std::vector<CallHead> heads;
    std::vector<CallBody> bodies;
    int cancels = 0;
    int withdrawals = 0;

private:
    CallResponse refusal(std::size_t index, std::string_view reason) const
    {
        CallResponse response;
        response.callId = this->calls[index].callId;
        response.outcome = Outcome::NotRun;
        response.reason = reason;
        response.status = 503;
        response.retryAfterMilliseconds = 70;
        return response;
    }

    void accept()
    {
        this->acceptor.async_accept(
            [this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
                if (error)
                    return;
                const auto connection = std::make_shared<FramedConnection>(
                    std::move(socket), maximumFrameSize,
                    FramedConnectionHooks{[this](FrameType type, std::span<const char> payload) {
                                              this->handleFrame(type, payload);
                                          },
                                          [](const Error &) {}});
                this->connections.push_back(connection);
                connection->start();
                this->accept();
            });
    }

    void handleFrame(FrameType type, std::span<const char> payload)
    {
        if (type == FrameType::CallRequest)
            this->calls.push_back(decode<CallRequest>(payload, "test", "").value());
        if (type == FrameType::Hello && this->grantsBodies)
            this->connections.back()->send(encodeFrame(FrameType::Hello, HelloMessage{}));
        if (type == FrameType::CallHead)
            this->heads.push_back(decode<CallHead>(payload, "test", "").value());
        if (type == FrameType::CallBody)
            this->bodies.push_back(decode<CallBody>(payload, "test", "").value());
        if (type == FrameType::CallCancel)
            ++this->cancels;
        if (type == FrameType::CallWithdraw)
            ++this->withdrawals;
        if (type == FrameType::Ping && this->repliesToPings)
            this->connections.back()->send(
                encodeFrame(FrameType::Pong, decode<Heartbeat>(payload, "test", "").value()));
    }

    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace Sagecrank

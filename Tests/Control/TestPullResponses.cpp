// What a node takes for the response to a pull of a configuration or to an exchange of member tables.
#include <Node/Control/ControlClient.h>
#include <Node/Control/TableExchangeClient.h>

#include <LibNet/FramedConnection.h>

#include <Support/TableTest.h>

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

// A node that responds to the first frame of each connection with these bytes, and then closes it.
class RespondingPeer
{
public:
    explicit RespondingPeer(Bytes bytes)
        : bytes(std::move(bytes))
        , acceptor(this->context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        this->acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            cr_assert(!error);
            FramedConnectionHooks hooks;
            hooks.onFrame = [this](FrameType, std::span<const char>) {
                if (!this->bytes.empty())
                    this->connection->send(this->bytes);
                this->connection->shutdownSend();
            };
            hooks.onClosed = [](const Error &) {};
            this->connection = std::make_shared<FramedConnection>(std::move(socket), maximumPullResponseSize,
                                                                  std::move(hooks));
            this->connection->start();
        });
    }

    template <typename Value>
    Result<Value>
    await(const std::function<void(const std::string &address, std::function<void(Result<Value>)>)> &begin)
    {
        std::optional<Result<Value>> result;
        begin(formatEndpoint(this->acceptor.local_endpoint()),
              [&result](Result<Value> received) { result.emplace(std::move(received)); });
        const Instant limit = SteadyClock::now() + std::chrono::seconds(10);
        while (!result && SteadyClock::now() < limit)
            this->context.run_one_for(Milliseconds(20));
        cr_assert(result.has_value());
        return std::move(*result);
    }

    Result<PullResult> pull()
    {
        return this->await<PullResult>([this](const std::string &address, auto done) {
            pullFromPeer(this->context, address, {"node-1", "site", 1, 0}, std::move(done));
        });
    }

    Result<std::size_t> exchange()
    {
        Membership membership({}, memberOf("node-1"), {}, 1);
        return this->await<std::size_t>([this, &membership](const std::string &address, auto done) {
            exchangeTables(this->context, address, membership, std::move(done));
        });
    }

    static Member memberOf(const std::string &id)
    {
        Member member;
        member.id = id;
        member.incarnation = 1;
        member.zone = "z";
        member.gossipAddress = "127.0.0.1:9";
        return member;
    }

private:
    boost::asio::io_context context{1};
    Bytes bytes;
    tcp::acceptor acceptor;
    std::shared_ptr<FramedConnection> connection;
};

Bytes part(Bytes bytes, std::size_t size)
{
    bytes.resize(std::min(size, bytes.size()));
    return bytes;
}

struct PullRow
{
    const char *what;
    Bytes bytes;
    std::optional<PullAnswer> answer; // Not set: the pull fails.
};

Bytes pullFrame(PullAnswer answer)
{
    return encodeFrame(FrameType::PullResponse, PullResponse{answer, 0, 7, "configuration"});
}

std::vector<PullRow> pullRows()
{
    return {
        {"a whole configuration", pullFrame(PullAnswer::Full), PullAnswer::Full},
        {"a delta", pullFrame(PullAnswer::Delta), PullAnswer::Delta},
        {"a version that is missing", pullFrame(PullAnswer::Missing), PullAnswer::Missing},
        {"a busy node", pullFrame(PullAnswer::Busy), PullAnswer::Busy},
        {"an answer of no kind", pullFrame(static_cast<PullAnswer>(200)), std::nullopt},
        {"a frame of another type", encodeFrame(FrameType::CallResponse, PullResponse()), std::nullopt},
        {"a frame without a message", encodeFrame(FrameType::PullResponse, std::string()), std::nullopt},
        {"bytes that are no frame", Bytes(64, 'x'), std::nullopt},
        {"nothing", {}, std::nullopt},
    };
}

struct ExchangeRow
{
    const char *what;
    Bytes bytes;
    bool isComplete;
};

std::vector<ExchangeRow> exchangeRows()
{
    Membership other({}, RespondingPeer::memberOf("node-2"), {}, 1);
    TableStream stream(other);
    Membership asking({}, RespondingPeer::memberOf("node-1"), {}, 1);
    TableStream first(asking);
    const std::vector<TableBatch> answer = stream.receive(SteadyClock::now(), first.open()).value();
    cr_assert(!answer.empty());
    TableBatch busy;
    busy.retryAfterMilliseconds = 5;
    return {
        {"a batch", encodeFrame(FrameType::TableBatch, answer.front()), false},
        {"a busy node", encodeFrame(FrameType::TableBatch, busy), false},
        {"a datagram that cannot be decoded",
         encodeFrame(FrameType::TableBatch, TableBatch{{"xyz"}, true, 0}), false},
        {"a frame of another type", encodeFrame(FrameType::PullResponse, PullResponse()), false},
        {"bytes that are no frame", Bytes(64, 'x'), false},
    };
}

} // namespace

// Guards against an answer of a node in trouble that passes for a configuration, and against one that is
// sound and does not.
Test(pullResponse, eachShapeHasOneMeaning)
{
    for (const PullRow &row : pullRows()) {
        const Result<PullResult> result = RespondingPeer(row.bytes).pull();
        cr_assert(result.has_value() == row.answer.has_value(), "%s", row.what);
        cr_assert(!row.answer || result.value().response.answer == *row.answer, "%s", row.what);
        cr_assert(!row.answer || result.value().response.payload == "configuration", "%s", row.what);
    }
}

// Guards against a part of a configuration passing for all of it when a node stops within its response.
Test(pullResponse, aResponseThatStopsAtAnyByteIsNone)
{
    for (const PullRow &row : pullRows()) {
        for (std::size_t size = 0; size < row.bytes.size(); ++size)
            cr_assert(!RespondingPeer(part(row.bytes, size)).pull().has_value(), "%s, %zu bytes", row.what,
                      size);
    }
}

// Guards against an exchange that counts as complete when the partner stops within it.
Test(pullResponse, anExchangeThatStopsAtAnyByteIsIncomplete)
{
    for (const ExchangeRow &row : exchangeRows()) {
        for (std::size_t size = 0; size <= row.bytes.size(); ++size)
            cr_assert(!RespondingPeer(part(row.bytes, size)).exchange().has_value() || row.isComplete,
                      "%s, %zu bytes", row.what, size);
    }
}

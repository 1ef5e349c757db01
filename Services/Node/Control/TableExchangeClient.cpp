// Sends and receives the batches of one table exchange.
#include "TableExchangeClient.h"

#include "PeerRequest.h"

namespace Sagecrank {

namespace {

struct Exchange : PeerRequest<std::size_t>
{
    TableStream stream;

    Exchange(boost::asio::io_context &context, Membership &membership)
        : PeerRequest(context)
        , stream(membership)
    {
    }

    // Error: whatever ends the exchange without a complete answer.
    Result<void> receive(FrameType type, std::span<const char> payload)
    {
        const std::string &peer = this->connection->peerName();
        const TableBatch part = TRY(decode<TableBatch>(payload, "exchange tables", peer));
        if (type != FrameType::TableBatch)
            return makeError(ErrorKind::InvalidInput, "exchange tables", peer, "not a table batch");
        if (part.retryAfterMilliseconds != 0)
            return makeError(ErrorKind::Unavailable, "exchange tables", peer, "the peer is busy");
        const std::vector<TableBatch> answer = TRY(this->stream.receive(SteadyClock::now(), part));
        if (this->stream.isComplete())
            return success();
        for (const TableBatch &next : answer)
            this->connection->send(encodeFrame(FrameType::TableBatch, next));
        return success();
    }
};

void begin(const std::shared_ptr<Exchange> &exchange, boost::asio::ip::tcp::socket socket)
{
    FramedConnectionHooks hooks;
    hooks.onFrame = [exchange](FrameType type, std::span<const char> payload) {
        const Result<void> received = exchange->receive(type, payload);
        if (!received)
            exchange->finish(received.error());
        else if (exchange->stream.isComplete())
            exchange->finish(exchange->stream.recordsExchanged());
        if (!exchange->done)
            exchange->connection->close(makeError(ErrorKind::Unavailable, "exchange tables", "", "done"));
    };
    hooks.onClosed = [exchange](const Error &error) { exchange->finish(error); };
    exchange->connection =
        std::make_shared<FramedConnection>(std::move(socket), maximumTableBatchBytes, std::move(hooks));
    exchange->connection->start();
    exchange->connection->send(encodeFrame(FrameType::TableBatch, exchange->stream.open()));
}

} // namespace

void exchangeTables(boost::asio::io_context &context, const std::string &address, Membership &membership,
                    std::function<void(Result<std::size_t>)> done)
{
    const auto exchange = std::make_shared<Exchange>(context, membership);
    exchange->done = std::move(done);
    startPeerRequest(context, exchange, address, "exchange tables",
                     {tableConnectTimeout, tableExchangeTimeout},
                     [exchange](boost::asio::ip::tcp::socket socket) { begin(exchange, std::move(socket)); });
}

} // namespace Sagecrank

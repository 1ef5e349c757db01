// Sends and receives the batches of one table exchange.
#include "TableExchangeClient.h"

#include <LibNet/FramedConnection.h>

#include <boost/asio/steady_timer.hpp>

namespace Sagecrank {

namespace {

struct Exchange
{
    std::shared_ptr<FramedConnection> connection;
    boost::asio::steady_timer timer;
    TableStream stream;
    std::function<void(Result<std::size_t>)> done; // Empty once called.

    Exchange(boost::asio::io_context &context, Membership &membership)
        : timer(context)
        , stream(membership)
    {
    }

    void finish(Result<std::size_t> result)
    {
        if (!this->done)
            return;
        const auto callback = std::move(this->done);
        this->done = nullptr;
        this->timer.cancel();
        callback(std::move(result));
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
    exchange->timer.expires_after(tableExchangeTimeout);
    exchange->timer.async_wait([exchange, address](const boost::system::error_code &error) {
        if (error)
            return;
        const Error timeout = makeError(ErrorKind::Timeout, "exchange tables", address, "no answer in time");
        exchange->finish(timeout);
        if (exchange->connection)
            exchange->connection->close(timeout);
    });
    connectFramed(context, address, tableConnectTimeout,
                  [exchange](Result<boost::asio::ip::tcp::socket> socket) {
                      if (!exchange->done)
                          return;
                      if (!socket)
                          return exchange->finish(std::move(socket).assume_error());
                      begin(exchange, std::move(socket).assume_value());
                  });
}

} // namespace Sagecrank

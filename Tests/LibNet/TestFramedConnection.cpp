// The order of frames on a connection whose other side reads slowly, and frames that are taken back.
#include <LibNet/FramedConnection.h>
#include <LibWire/PeerMessages.h>

#include <Support/TableTest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

// More than the sockets of a connection hold, so that what is sent after it waits.
constexpr std::size_t blockingBody = std::size_t{12} << 20;
constexpr std::size_t largeBody = 100'000;

Bytes callFrame(std::uint64_t callId, std::size_t bodySize)
{
    CallRequest request;
    request.callId = callId;
    request.body.assign(bodySize, 'x');
    return encodeFrame(FrameType::CallRequest, request);
}

// A connection whose other side reads nothing until readAll().
class NarrowPath
{
public:
    NarrowPath()
        : acceptor(this->context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        tcp::socket socket(this->context);
        socket.connect(this->acceptor.local_endpoint());
        this->sender = std::make_shared<FramedConnection>(
            std::move(socket), std::size_t{16} << 20,
            FramedConnectionHooks{[](FrameType, std::span<const char>) {}, [](const Error &) {}});
        this->sender->send(callFrame(1, blockingBody), 1);
        this->context.run_for(Milliseconds(20));
    }

    void readAll(std::size_t count)
    {
        FramedConnectionHooks hooks;
        hooks.frame = [this](FrameType, std::span<const char> payload) {
            this->arrived.push_back(decode<CallRequest>(payload, "test", "").value().callId);
        };
        hooks.closed = [](const Error &) {};
        const auto receiver = std::make_shared<FramedConnection>(this->acceptor.accept(),
                                                                 std::size_t{16} << 20, std::move(hooks));
        receiver->start();
        const Instant limit = SteadyClock::now() + std::chrono::seconds(20);
        while (this->arrived.size() < count && SteadyClock::now() < limit)
            this->context.run_one_for(Milliseconds(20));
        this->context.run_for(Milliseconds(20));
        receiver->close(makeError(ErrorKind::Unavailable, "test", "", "ended"));
    }

    boost::asio::io_context context{1};
    tcp::acceptor acceptor;
    std::shared_ptr<FramedConnection> sender;
    std::vector<std::uint64_t> arrived;
};

} // namespace

// A heartbeat or a short answer waits behind all bodies of a narrow path, and its connection is taken for
// dead.
Test(framedConnection, smallFramesWaitForOneLargeFrameAtMost)
{
    NarrowPath path;
    path.sender->send(callFrame(2, largeBody), 2);
    path.sender->send(callFrame(3, largeBody), 3);
    path.sender->send(callFrame(4, 10), 4);
    path.readAll(4);
    const std::vector<std::uint64_t> expected{1, 4, 2, 3};
    cr_assert(path.arrived == expected);
}

namespace {

struct WithdrawRow
{
    const char *what;
    std::uint64_t tag;
    bool taken;
    std::vector<std::uint64_t> arrived;
};

const WithdrawRow withdrawRows[] = {
    {"a large frame that waits", 2, true, {1, 3}},
    {"a small frame that waits", 3, true, {1, 2}},
    {"one that is being written", 1, false, {1, 3, 2}},
    {"one that was never sent", 9, false, {1, 3, 2}},
};

} // namespace

// A body that nobody waits for any more fills a narrow path, or a frame of which a part has left is taken for
// one that has not.
TABLE_TEST(framedConnection, aFrameThatWaitsCanBeTakenBack, withdrawRows)
{
    NarrowPath path;
    path.sender->send(callFrame(2, largeBody), 2);
    path.sender->send(callFrame(3, 10), 3);
    cr_assert(path.sender->isWaiting(row.tag) == row.taken, "%s", row.what);
    cr_assert(path.sender->withdraw(row.tag) == row.taken, "%s", row.what);
    cr_assert(!path.sender->isWaiting(row.tag), "%s", row.what);
    path.readAll(row.arrived.size());
    cr_assert(path.arrived == row.arrived, "%s", row.what);
}

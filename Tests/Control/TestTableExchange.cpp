// Exchanges of member tables over TCP on loopback: what a partner gets, and what a hostile or greedy one
// does.
#include <Node/Control/ControlServer.h>
#include <Node/Control/TableExchangeClient.h>

#include <LibNet/FramedConnection.h>

#include <Support/TableTest.h>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

Member memberOf(const std::string &id)
{
    Member member;
    member.id = id;
    member.incarnation = 1;
    member.zone = "z";
    member.gossipAddress = "127.0.0.1:9";
    return member;
}

std::string freeAddress(boost::asio::io_context &context)
{
    const tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// A node with a table of this many members that serves its control port.
class ServingNode
{
public:
    ServingNode(std::size_t members, std::uint32_t linkMbps)
        : address(freeAddress(this->context))
        , membership({}, memberOf("server"), {}, 1)
        , server(this->context, this->membership, linkMbps, 1,
                 [](const PullRequest &) { return PullResponse(); })
    {
        Datagram datagram;
        datagram.kind = DatagramKind::Gossip;
        datagram.sequence = 1;
        datagram.sender = "other";
        for (std::size_t i = 1; i < members; ++i) {
            datagram.members = {memberOf("m" + std::to_string(i))};
            cr_assert(
                this->membership.receiveStreamed(SteadyClock::now(), encodeDatagram(datagram)).has_value());
        }
        cr_assert(this->server.start(this->address).has_value());
    }

    // Runs an exchange of this node with the server to its end.
    Result<std::size_t> exchange(Membership &asking)
    {
        std::optional<Result<std::size_t>> ended;
        exchangeTables(this->context, this->address, asking,
                       [&ended](const Result<std::size_t> &result) { ended.emplace(result); });
        while (!ended)
            this->context.run_for(Milliseconds(5));
        return *ended;
    }

    // Sends a frame and runs until the server has closed the connection.
    void sendUntilClosed(const Bytes &frame)
    {
        bool closed = false;
        std::shared_ptr<FramedConnection> connection;
        connectFramed(this->context, this->address, Milliseconds(1000), [&](Result<tcp::socket> socket) {
            FramedConnectionHooks hooks;
            hooks.onFrame = [](FrameType, std::span<const char>) {};
            hooks.onClosed = [&closed](const Error &) { closed = true; };
            connection = std::make_shared<FramedConnection>(std::move(socket).assume_value(),
                                                            maximumFrameSize, std::move(hooks));
            connection->start();
            connection->send(frame);
        });
        while (!closed)
            this->context.run_for(Milliseconds(5));
    }

    boost::asio::io_context context{1};
    std::string address;
    Membership membership;
    ControlServer server;
};

struct HostileFrameRow
{
    const char *what;
    Bytes frame;
};

std::vector<HostileFrameRow> hostileFrameRows()
{
    Datagram request;
    request.kind = DatagramKind::SyncRequest;
    request.sender = "greedy";
    request.wanted.assign(100, hashId("m1"));
    const std::vector<std::string> repeated(20, encodeDatagram(request));
    const std::string tooLong(maximumTableBatchBytes, 'x');
    return {
        {"bytes that are no batch", encodeFrame(FrameType::TableBatch, std::string("x"))},
        {"a datagram that cannot be decoded",
         encodeFrame(FrameType::TableBatch, TableBatch{{"xyz"}, true, 0})},
        {"more requests than a table holds",
         encodeFrame(FrameType::TableBatch, TableBatch{repeated, true, 0})},
        {"a batch above the limit", encodeFrame(FrameType::TableBatch, TableBatch{{tooLong}, true, 0})},
        {"a frame of another protocol", encodeFrame(FrameType::CallRequest, std::string("x"))},
    };
}

} // namespace

// Guards against a partner that gets a part of the table only, or gives nothing of its own.
Test(tableExchange, bothSidesGetWhatTheyLack)
{
    ServingNode node(1000, 1000);
    Membership asking({}, memberOf("asker"), {}, 2);
    const Result<std::size_t> records = node.exchange(asking);
    cr_assert(records.has_value(), "%s", records ? "" : records.error().describe().c_str());
    cr_assert(asking.members().presentCount() == 1001, "%zu known", asking.members().presentCount());
    cr_assert(node.membership.members().presentCount() == 1001);
    cr_assert(records.value() == 1001, "%zu records", records.value());
    cr_assert(node.exchange(asking).value() == 0, "nothing is left to exchange");
}

// Guards against a peer that costs a node more than its own connection: the node crashes, sends without end,
// or serves nobody afterwards.
Test(tableExchange, hostileFrameCostsItsConnectionOnly)
{
    ServingNode node(100, 1000);
    for (const HostileFrameRow &row : hostileFrameRows())
        node.sendUntilClosed(row.frame);
    Membership asking({}, memberOf("asker"), {}, 2);
    cr_assert(node.exchange(asking).has_value());
    cr_assert(asking.members().presentCount() == 101);
}

// Guards against tables that fill a slow link on which calls wait: beyond its share the node rejects the
// exchange, and the asking node hears of it at once.
Test(tableExchange, slowLinkServesNoMoreThanItsShare)
{
    ServingNode node(2000, 1);
    std::size_t served = 0;
    for (int i = 0; i < 20; ++i) {
        Membership asking({}, memberOf("asker"), {}, 2);
        served += node.exchange(asking).has_value() ? 1 : 0;
    }
    cr_assert(served >= 1 && served <= 4, "%zu of 20 served", served);
    cr_assert(node.server.counters().tablesRefused == 20 - served);
}

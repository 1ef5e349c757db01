// The server for other nodes: calls, body grants, malformed input and shutdown.
#include "GateFixture.h"

#include <Node/Peers/PeerLink.h>
#include <Node/Peers/PeerServer.h>

#include <Support/TableTest.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

Bytes callOfNoClass()
{
    CallRequest call;
    call.callId = 1;
    call.cluster = "booking";
    call.callClass = static_cast<CallClass>(200);
    return encodeFrame(FrameType::CallRequest, call);
}

struct HostileRow
{
    const char *what;
    Bytes bytes;
};

Bytes makeFrame(FrameType type, const std::vector<unsigned char> &payload)
{
    Bytes bytes(frameHeaderSize + payload.size());
    const auto length = static_cast<std::uint32_t>(payload.size());
    std::memcpy(bytes.data(), &length, sizeof(length));
    bytes[sizeof(length)] = static_cast<char>(type);
    std::copy(payload.begin(), payload.end(), bytes.begin() + frameHeaderSize);
    return bytes;
}

Bytes callsWithDuplicateId()
{
    CallRequest request;
    request.callId = 1;
    request.cluster = "booking";
    request.remainingMicroseconds = 30000000;
    Bytes bytes = encodeFrame(FrameType::CallRequest, request);
    const Bytes again = bytes;
    bytes.insert(bytes.end(), again.begin(), again.end());
    return bytes;
}

CallHead makeHead(std::uint64_t callId, std::uint64_t bodyBytes)
{
    CallHead head;
    head.call.callId = callId;
    head.call.cluster = "booking";
    head.call.remainingMicroseconds = 30000000;
    head.call.method = "POST";
    head.call.target = "/" + std::to_string(callId);
    head.bodyBytes = bodyBytes;
    return head;
}

Bytes makeHeadAndBodies(std::uint64_t headBytes, const std::vector<CallBody> &bodies)
{
    Bytes bytes = encodeFrame(FrameType::CallHead, makeHead(1, headBytes));
    for (const CallBody &body : bodies) {
        const Bytes frame = encodeFrame(FrameType::CallBody, body);
        bytes.insert(bytes.end(), frame.begin(), frame.end());
    }
    return bytes;
}

const HostileRow hostileRows[] = {
    {"a frame of four gigabytes", {'\xff', '\xff', '\xff', '\xff', 2}},
    {"an unknown type", makeFrame(static_cast<FrameType>(200), {1, 2, 3})},
    {"an answer where a call belongs", makeFrame(FrameType::CallResponse, {})},
    {"a call that ends too early", makeFrame(FrameType::CallRequest, {1, 2, 3})},
    {"a call of no class", callOfNoClass()},
    {"a call with a string of two gigabytes",
     makeFrame(FrameType::CallRequest, {1, 0, 0, 0, 0, 0, 0, 0, 255, 255, 255, 127})},
    {"a call number that is used twice", callsWithDuplicateId()},
    {"a hello that ends too early", makeFrame(FrameType::Hello, {1, 2, 3})},
    {"a body without a head", encodeFrame(FrameType::CallBody, CallBody{1, "x"})},
    {"a body of another call", makeHeadAndBodies(1, {{2, "x"}})},
    {"a body twice", makeHeadAndBodies(1, {{1, "x"}, {1, "x"}})},
    {"a body longer than its head says", makeHeadAndBodies(1, {{1, "xx"}})},
    {"a body shorter than its head says", makeHeadAndBodies(2, {{1, "x"}})},
    {"a head of no body", makeHeadAndBodies(0, {})},
    {"a head of a body that no call may have", makeHeadAndBodies(maximumBodySize + 1, {})},
    {"a grant where a call belongs", encodeFrame(FrameType::CallGrant, CallGrant{1})},
    {"HTTP", {'G', 'E', 'T', ' ', '/', ' ', 'H', 'T', 'T', 'P', '/', '1', '.', '1', '\r', '\n', '\r', '\n'}},
};

class PeerServerFixture : public GateFixture
{
public:
    explicit PeerServerFixture(BodyGrantSettings grants = {}, std::uint64_t bodyMemoryBytes = 1 << 30,
                               Duration idleTimeout = PeerServer::defaultIdleTimeout)
        : bodies(grants)
        , bodyMemory(bodyMemoryBytes)
        , server({this->context, this->client}, this->gate, this->bodies, this->bodyMemory, this->observer,
                 idleTimeout)
    {
        cr_assert(this->server.listen("127.0.0.1:0").has_value());
        this->link = std::make_shared<PeerLink>(this->context, this->server.address(), linkSettings(),
                                                [](const Error &) {});
    }

    void call(const std::string &name)
    {
        CallRequest request;
        request.cluster = "booking";
        request.remainingMicroseconds = 30000000;
        request.attemptId = name;
        request.callerCallId = name;
        request.method = "GET";
        request.target = "/" + name;
        this->link->call(request,
                         [this, name](CallResponse response) { this->answers[name] = std::move(response); });
    }

    // Sends the bytes on a connection of their own and reports whether the server closed it.
    bool closesAfter(const Bytes &bytes)
    {
        tcp::socket socket(this->context);
        socket.connect(parseTcpEndpoint(this->server.address()).value());
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::array<char, 64> buffer{};
        bool closed = false;
        // A grant may arrive before the connection is closed.
        std::function<void()> readNext = [&] {
            socket.async_read_some(boost::asio::buffer(buffer),
                                   [&](const boost::system::error_code &error, std::size_t) {
                                       closed = static_cast<bool>(error);
                                       if (!closed)
                                           readNext();
                                   });
        };
        readNext();
        return this->runUntil([&closed] { return closed; });
    }

    BodyGrantQueue bodies;
    BodyMemory bodyMemory;
    PeerServer server;
    std::shared_ptr<PeerLink> link;

private:
    static PeerLinkSettings linkSettings()
    {
        PeerLinkSettings settings;
        settings.ownId = "a1";
        return settings;
    }
};

} // namespace

// A faulty or hostile peer sends malformed input. Its connection is closed; a call in progress from another
// node is not affected.
TABLE_TEST(peerServer, malformedInputClosesOnlyItsOwnConnection, hostileRows)
{
    PeerServerFixture fixture;
    fixture.announce(4, UpstreamCondition::Ready);
    fixture.call("good");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    cr_assert(fixture.closesAfter(row.bytes), "%s", row.what);
    cr_assert(fixture.logged.size() == 1, "%s", row.what);
    cr_assert(fixture.logged[0].find("peer.frame_invalid") != std::string::npos);
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", "well"));
    cr_assert(fixture.runUntil([&] { return fixture.answered("good"); }));
    cr_assert(fixture.answers["good"].body == "well", "%s", row.what);
}

// A node dies while one of its idempotent calls runs here and another is queued. Their responses can no
// longer be delivered, so the queued call is removed and the running one cancelled, which frees the slot for
// other callers.
Test(peerServer, callsOfADeadNodeAreCancelled)
{
    PeerServerFixture fixture;
    for (const char *name : {"running", "waiting"}) {
        CallRequest request;
        request.cluster = "booking";
        request.remainingMicroseconds = 30000000;
        request.idempotent = true;
        request.method = "GET";
        request.target = "/";
        request.attemptId = name;
        fixture.link->call(request, [](const CallResponse &) {});
    }
    cr_assert(
        fixture.runUntil([&] { return fixture.receivedRequests.size() == 1 && fixture.gate.queued() == 1; }));
    fixture.link.reset();
    cr_assert(fixture.runUntil([&] { return fixture.gate.inFlight() == 0; }));
    cr_assert(fixture.receivedRequests.size() == 1);
}

// A response counts as unsent until it has been written. Counting it as sent earlier would let the process
// exit with a response still queued.
Test(peerServer, aResponseCountsAsUnsentUntilItHasBeenWritten)
{
    PeerServerFixture fixture;
    fixture.call("slow");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    cr_assert(fixture.server.connectionsWithUnsentResponses() == 0);
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", "well"));
    cr_assert(fixture.runUntil([&] { return fixture.gate.inFlight() == 0; }));
    cr_assert(fixture.server.connectionsWithUnsentResponses() == 1);
    cr_assert(fixture.runUntil([&] { return fixture.server.connectionsWithUnsentResponses() == 0; }));
    cr_assert(fixture.runUntil([&] { return fixture.answered("slow"); }));
}

// The same counter when the peer disconnects before it has read the response.
Test(peerServer, aDisconnectClearsUnsentResponses)
{
    PeerServerFixture fixture;
    fixture.call("slow");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", std::string(512, 'x')));
    cr_assert(fixture.runUntil([&] { return fixture.server.connectionsWithUnsentResponses() == 1; }));
    fixture.link.reset();
    cr_assert(fixture.runUntil([&] { return fixture.server.connectionsWithUnsentResponses() == 0; }));
}

namespace {

// Allows one of the large bodies below in transit at a time.
BodyGrantSettings slowLinkSettings()
{
    BodyGrantSettings grants;
    grants.inFlightTime = Milliseconds(300);
    grants.bytesPerSecond = static_cast<double>(minimumGrantedBodySize) / 0.2;
    return grants;
}

CallRequest largeCall(const std::string &name, Milliseconds remaining = std::chrono::seconds(30))
{
    CallRequest request;
    request.cluster = "booking";
    request.remainingMicroseconds = static_cast<std::uint64_t>(Microseconds(remaining).count());
    request.attemptId = name;
    request.method = "POST";
    request.target = "/" + name;
    request.body = std::string(minimumGrantedBodySize, 'x');
    return request;
}

// A raw connection of another node; the test sends frames and inspects the replies.
class RawPeer
{
public:
    explicit RawPeer(PeerServerFixture &fixture)
        : socket(fixture.context)
    {
        this->socket.connect(parseTcpEndpoint(fixture.server.address()).value());
        this->read();
    }

    void send(const Bytes &frame) { boost::asio::write(this->socket, boost::asio::buffer(frame)); }

    tcp::socket socket;
    std::vector<FrameType> frames;
    std::vector<std::uint64_t> granted;
    std::vector<CallResponse> answers;
    std::optional<std::uint64_t> goAwayCallId; // From the GoAway frame.
    bool closed = false;                       // By the server.

private:
    void read()
    {
        this->socket.async_read_some(boost::asio::buffer(this->buffer),
                                     [this](const boost::system::error_code &error, std::size_t size) {
                                         this->closed = static_cast<bool>(error);
                                         if (error)
                                             return;
                                         (void)this->reader.feed(
                                             {this->buffer.data(), size},
                                             [this](FrameType type, std::span<const char> payload) {
                                                 this->handleFrame(type, payload);
                                             });
                                         this->read();
                                     });
    }

    void handleFrame(FrameType type, std::span<const char> payload)
    {
        this->frames.push_back(type);
        if (type == FrameType::CallGrant)
            this->granted.push_back(decode<CallGrant>(payload, "test", "").value().callId);
        if (type == FrameType::CallResponse)
            this->answers.push_back(decode<CallResponse>(payload, "test", "").value());
        if (type == FrameType::GoAway)
            this->goAwayCallId = decode<GoAway>(payload, "test", "").value().lastCallId;
    }

    std::array<char, 4096> buffer{};
    FrameReader reader;
};

using Frames = std::vector<FrameType>;

struct HelloRow
{
    const char *what;
    std::uint32_t protocol;
    BodyGrantSettings grants;
    Frames frames;
};

const HelloRow helloRows[] = {
    {"an older version knows no Hello in answer", 1, slowLinkSettings(), {FrameType::Pong}},
    {"this version", bodyGrantProtocolVersion, slowLinkSettings(), {FrameType::Hello, FrameType::Pong}},
    {"a link that is not told", bodyGrantProtocolVersion, {}, {FrameType::Pong}},
};

struct LinkRow
{
    const char *what;
    BodyGrantSettings grants;
};

const LinkRow linkRows[] = {{"a link that is not told", {}}, {"a narrow link", slowLinkSettings()}};

using Granted = std::vector<std::uint64_t>;

struct ReleaseRow
{
    const char *what;
    Bytes frame;
};

const ReleaseRow releaseRows[] = {
    {"its body comes",
     encodeFrame(FrameType::CallBody, CallBody{1, std::string(minimumGrantedBodySize, 'x')})},
    {"its caller gives up", encodeFrame(FrameType::CallCancel, CallCancel{1})},
    {"its connection is lost", {}},
};

} // namespace

// The server announces that it grants bodies before any other frame, and only to peers that support it.
TABLE_TEST(peerServer, repliesToHelloWhenBodiesAreGranted, helloRows)
{
    PeerServerFixture fixture(row.grants);
    RawPeer sender(fixture);
    sender.send(encodeFrame(FrameType::Hello, HelloMessage{"a1", row.protocol}));
    sender.send(encodeFrame(FrameType::Ping, Heartbeat{1}));
    cr_assert(fixture.runUntil([&] { return sender.frames.size() >= row.frames.size(); }));
    cr_assert(sender.frames == row.frames, "%s", row.what);
}

// A large call is answered and its body is complete, whether or not it waits for a grant.
TABLE_TEST(peerServer, aLargeCallIsAnswered, linkRows)
{
    PeerServerFixture fixture(row.grants);
    fixture.announce(4, UpstreamCondition::Ready);
    for (const char *name : {"one", "two", "three"}) {
        fixture.link->call(largeCall(name), [&fixture, name](CallResponse response) {
            fixture.answers[name] = std::move(response);
        });
    }
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 3; }), "%s", row.what);
    for (std::size_t index = 0; index < 3; ++index) {
        cr_assert(fixture.receivedRequests[index].body == std::string(minimumGrantedBodySize, 'x'));
        fixture.exchanges[index]->respond(
            makeResponse(200, "text/plain", fixture.receivedRequests[index].target));
    }
    cr_assert(fixture.runUntil([&] { return fixture.answers.size() == 3; }));
    for (const char *name : {"one", "two", "three"})
        cr_assert(fixture.answers[name].body == "/" + std::string(name));
}

// A granted body occupies the link. The next one is granted once the first grant is released, in any of these
// ways.
TABLE_TEST(peerServer, aGrantIsReleased, releaseRows)
{
    PeerServerFixture fixture(slowLinkSettings());
    fixture.announce(4, UpstreamCondition::Ready);
    RawPeer first(fixture);
    RawPeer second(fixture);
    first.send(encodeFrame(FrameType::CallHead, makeHead(1, minimumGrantedBodySize)));
    cr_assert(fixture.runUntil([&] { return first.granted == Granted{1}; }));
    second.send(encodeFrame(FrameType::CallHead, makeHead(2, minimumGrantedBodySize)));
    second.send(encodeFrame(FrameType::Ping, Heartbeat{1}));
    fixture.context.run_for(Milliseconds(50));
    cr_assert(second.granted.empty());
    if (row.frame.empty())
        first.socket.close();
    else
        first.send(row.frame);
    cr_assert(fixture.runUntil([&] { return second.granted == Granted{2}; }), "%s", row.what);
}

// Guards against descriptors that peers which vanished without a reset keep for good.
Test(peerServer, aSilentPeerIsDisconnectedAndAnActiveOneIsNot)
{
    PeerServerFixture fixture({}, 1 << 30, Milliseconds(1000));
    fixture.announce(4, UpstreamCondition::Ready);
    RawPeer silent(fixture);
    RawPeer active(fixture);
    std::uint64_t sequence = 0;
    cr_assert(fixture.runUntil([&] {
        active.send(encodeFrame(FrameType::Ping, Heartbeat{++sequence}));
        return silent.closed;
    }));
    const std::size_t frames = active.frames.size();
    active.send(encodeFrame(FrameType::Ping, Heartbeat{++sequence}));
    cr_assert(fixture.runUntil([&] { return active.frames.size() > frames; }));
    cr_expect(!active.closed);
}

struct MemoryRow
{
    const char *what;
    BodyGrantSettings grants;
    Outcome secondOutcome;
    std::uint64_t limitBytes;
};

const MemoryRow memoryRows[] = {
    {"bodies that are announced", slowLinkSettings(), Outcome::NotRun, minimumGrantedBodySize * 3 / 2},
    {"bodies that come with their calls", {}, Outcome::NotRun, minimumGrantedBodySize * 3 / 2},
    {"enough memory for both", {}, Outcome::Done, minimumGrantedBodySize * 3},
};

// Guards against calls whose bodies together fill the memory of the upstream's node.
TABLE_TEST(peerServer, aBodyBeyondTheMemoryIsRefused, memoryRows)
{
    PeerServerFixture fixture(row.grants, row.limitBytes);
    fixture.announce(4, UpstreamCondition::Ready);
    const auto call = [&fixture](const char *name) {
        fixture.link->call(largeCall(name), [&fixture, name](CallResponse response) {
            fixture.answers[name] = std::move(response);
        });
    };
    call("first");
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }), "%s", row.what);
    call("second");
    if (row.secondOutcome == Outcome::Done) {
        cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 2; }));
        fixture.exchanges[1]->respond(makeResponse(200, "text/plain", ""));
    }
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("second"); }));
    cr_expect(fixture.answers["second"].outcome == row.secondOutcome);
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", ""));
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("first"); }));
    cr_assert(fixture.runUntil([&] { return fixture.bodyMemory.heldBytes() == 0; }));
}

// The sender dies silently after its grant. The grant expires, and the next body is granted.
Test(peerServer, aGrantWhoseBodyDoesNotComeExpires)
{
    BodyGrantSettings grants = slowLinkSettings();
    grants.grantLifetime = Milliseconds(50);
    PeerServerFixture fixture(grants);
    RawPeer sender(fixture);
    sender.send(encodeFrame(FrameType::CallHead, makeHead(1, minimumGrantedBodySize)));
    sender.send(encodeFrame(FrameType::CallHead, makeHead(2, minimumGrantedBodySize)));
    cr_assert(fixture.runUntil([&] { return sender.granted == Granted({1, 2}); }));
}

// A call whose body cannot arrive in time is refused as not run before the body is sent.
Test(peerServer, aBodyThatWouldArriveLateIsRefusedBeforeItIsSent)
{
    PeerServerFixture fixture(slowLinkSettings());
    RawPeer sender(fixture);
    sender.send(encodeFrame(FrameType::CallHead, makeHead(1, minimumGrantedBodySize)));
    CallHead late = makeHead(2, minimumGrantedBodySize);
    late.call.remainingMicroseconds = 300000;
    sender.send(encodeFrame(FrameType::CallHead, late));
    cr_assert(fixture.runUntil([&] { return sender.answers.size() == 1; }));
    cr_assert(sender.answers[0].callId == 2);
    cr_assert(sender.answers[0].outcome == Outcome::NotRun);
    cr_assert(sender.answers[0].retryAfterMilliseconds > 0);
    cr_assert(sender.granted == Granted{1});
}

// A call that awaits a grant is refused as soon as its body can no longer arrive in time, not at its
// deadline.
Test(peerServer, aBodyThatWaitedTooLongIsRefused)
{
    PeerServerFixture fixture(slowLinkSettings());
    RawPeer sender(fixture);
    sender.send(encodeFrame(FrameType::CallHead, makeHead(1, minimumGrantedBodySize)));
    CallHead late = makeHead(2, minimumGrantedBodySize);
    late.call.remainingMicroseconds = 450000;
    sender.send(encodeFrame(FrameType::CallHead, late));
    const Instant sent = SteadyClock::now();
    cr_assert(fixture.runUntil([&] { return sender.answers.size() == 1; }));
    cr_assert(SteadyClock::now() - sent < Milliseconds(450));
    cr_assert(sender.answers[0].outcome == Outcome::NotRun);
    cr_assert(sender.granted == Granted{1});
}

// A call that the gate would refuse is refused before its body is sent.
Test(peerServer, aBodyIsNotSentForACallThatTheGateRefuses)
{
    PeerServerFixture fixture(slowLinkSettings());
    fixture.announce(1, UpstreamCondition::Draining);
    RawPeer sender(fixture);
    sender.send(encodeFrame(FrameType::CallHead, makeHead(1, minimumGrantedBodySize)));
    cr_assert(fixture.runUntil([&] { return sender.answers.size() == 1; }));
    cr_assert(sender.answers[0].outcome == Outcome::NotRun);
    cr_assert(sender.answers[0].reason == "draining");
    cr_assert(sender.granted.empty());
    cr_assert(fixture.gate.inFlight() == 0);
}

// The queue for grants is bounded: further calls are refused and may be retried elsewhere.
Test(peerServer, theGrantQueueIsBounded)
{
    BodyGrantSettings grants = slowLinkSettings();
    grants.maximumQueued = 2;
    PeerServerFixture fixture(grants);
    RawPeer sender(fixture);
    for (const std::uint64_t callId : {1, 2, 3, 4})
        sender.send(encodeFrame(FrameType::CallHead, makeHead(callId, minimumGrantedBodySize)));
    cr_assert(fixture.runUntil([&] { return sender.answers.size() == 1; }));
    cr_assert(sender.answers[0].callId == 4);
    cr_assert(sender.answers[0].reason == "peer_congested");
    cr_assert(sender.answers[0].outcome == Outcome::NotRun);
}

// A node that shuts down must wait until its peers have read their last responses. If it closed while a peer
// still sends, a TCP reset could destroy them.
Test(peerServer, shutdownWaitsUntilPeersHaveReadTheirResponses)
{
    PeerServerFixture fixture;
    RawPeer sender(fixture);
    CallRequest request;
    request.callId = 7;
    request.cluster = "booking";
    request.method = "GET";
    request.target = "/";
    request.remainingMicroseconds = 30000000;
    sender.send(encodeFrame(FrameType::CallRequest, request));
    cr_assert(fixture.runUntil([&] { return fixture.receivedRequests.size() == 1; }));
    fixture.exchanges[0]->respond(makeResponse(200, "text/plain", "well"));
    cr_assert(fixture.runUntil([&] { return fixture.gate.inFlight() == 0; }));
    fixture.server.goAway();
    request.callId = 8;
    sender.send(encodeFrame(FrameType::CallRequest, request));
    cr_assert(fixture.runUntil([&] { return sender.goAwayCallId.has_value(); }));
    cr_assert(sender.answers.size() == 1 && *sender.goAwayCallId == 7);
    cr_assert(fixture.server.pendingCloses() == 1);
    sender.socket.close();
    cr_assert(fixture.runUntil([&] { return fixture.server.pendingCloses() == 0; }));
    cr_assert(fixture.receivedRequests.size() == 1, "a call was accepted after GoAway");
}

// A peer that is dead or has no response to read must not delay the shutdown.
Test(peerServer, shutdownDoesNotWaitForPeersWithoutResponses)
{
    PeerServerFixture fixture;
    RawPeer sender(fixture);
    sender.send(encodeFrame(FrameType::Ping, Heartbeat{1}));
    cr_assert(fixture.runUntil([&] { return sender.frames.size() == 1; }));
    fixture.server.goAway();
    cr_assert(fixture.server.pendingCloses() == 0);
}

// A granted body is in transit when the node shuts down. Its call is refused as not run, and the grant is
// released.
Test(peerServer, shutdownRefusesCallsWithAGrantedBody)
{
    PeerServerFixture fixture(slowLinkSettings());
    RawPeer sender(fixture);
    sender.send(encodeFrame(FrameType::CallHead, makeHead(1, minimumGrantedBodySize)));
    cr_assert(fixture.runUntil([&] { return sender.granted.size() == 1; }));
    fixture.server.goAway();
    sender.send(encodeFrame(FrameType::CallBody, CallBody{1, std::string(minimumGrantedBodySize, 'x')}));
    cr_assert(fixture.runUntil([&] { return sender.goAwayCallId.has_value(); }));
    cr_assert(sender.answers.size() == 1 && sender.answers[0].outcome == Outcome::NotRun);
    cr_assert(fixture.receivedRequests.empty() && fixture.gate.inFlight() == 0);
}

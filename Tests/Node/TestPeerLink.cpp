// The connection to another node when the peer responds late or out of order, is silent, or fails.
#include "FakePeer.h"

#include <Node/Peers/PeerLink.h>

#include <Support/TableTest.h>

#include <map>

using namespace Sagecrank;

namespace {

class LinkFixture
{
public:
    LinkFixture()
        : peer(this->context)
        , link(std::make_shared<PeerLink>(this->context, this->peer.address(), this->settings(),
                                          [](const Error &) {}))
    {
    }

    std::uint64_t call(const std::string &name, std::size_t bodyBytes = 0)
    {
        CallRequest request;
        request.body = std::string(bodyBytes, 'x');
        request.remainingMicroseconds = 30000000;
        request.cluster = "booking";
        request.attemptId = name;
        return this->link->call(
            request, [this, name](CallResponse response) { this->answers[name] = std::move(response); });
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const Instant limit = SteadyClock::now() + std::chrono::seconds(20);
        while (!condition() && SteadyClock::now() < limit)
            this->context.run_one_for(Milliseconds(20));
        return condition();
    }

    static PeerLinkSettings settings()
    {
        PeerLinkSettings settings;
        settings.ownId = "a1";
        settings.silenceTimeout = Milliseconds(100);
        return settings;
    }

    boost::asio::io_context context{1};
    FakePeer peer;
    std::shared_ptr<PeerLink> link;
    std::map<std::string, CallResponse> answers;
};

struct OrderRow
{
    std::vector<std::size_t> order;
};

const OrderRow orderRows[] = {{{0, 1, 2}}, {{2, 1, 0}}, {{1, 2, 0}}};

} // namespace

// Three calls share one connection and are answered in any order. Each must get its own response.
TABLE_TEST(peerLink, matchesResponsesToCalls, orderRows)
{
    LinkFixture fixture;
    for (const char *name : {"0", "1", "2"})
        fixture.call(name);
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 3; }));
    for (const std::size_t index : row.order)
        fixture.peer.answer(index, fixture.peer.calls[index].attemptId);
    cr_assert(fixture.runUntil([&] { return fixture.answers.size() == 3; }));
    for (const char *name : {"0", "1", "2"})
        cr_assert(fixture.answers[name].body == name);
    cr_assert(fixture.peer.connections.size() == 1);
}

// Guards against a status that is none reaching a caller from a node of an earlier version.
Test(peerLink, aResponseWithoutAValidStatusIsUnknown)
{
    LinkFixture fixture;
    fixture.call("0");
    cr_assert(fixture.runUntil([&] { return !fixture.peer.calls.empty(); }));
    fixture.peer.answer(0, "broken", 0);
    cr_assert(fixture.runUntil([&] { return !fixture.answers.empty(); }));
    const CallResponse &answer = fixture.answers["0"];
    cr_assert(answer.outcome == Outcome::Unknown && answer.status == 502 && answer.body.empty());
}

// A middlebox drops the state of a connection, which stays open and silent while new ones work. The call on
// it ends as unknown after the silence timeout, and the next call succeeds on a new connection.
Test(peerLink, silentConnectionIsReplaced)
{
    LinkFixture fixture;
    fixture.peer.repliesToPings = false;
    fixture.call("lost");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("lost"); }));
    cr_assert(fixture.answers["lost"].outcome == Outcome::Unknown);
    fixture.peer.repliesToPings = true;
    fixture.call("next");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 2; }));
    fixture.peer.answer(1, "next");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("next"); }));
    cr_assert(fixture.answers["next"].outcome == Outcome::Done);
    cr_assert(fixture.peer.connections.size() == 2);
}

// The same when every call is cancelled before the silence timeout and a new one follows at once. A timer
// that restarted with each call would never expire, and every call would be sent on the dead connection.
Test(peerLink, silenceIsDetectedWithShortDeadlines)
{
    LinkFixture fixture;
    fixture.peer.repliesToPings = false;
    int calls = 0;
    const auto callAndGiveUp = [&] {
        const std::uint64_t id = fixture.call("short");
        ++calls;
        const Instant until = SteadyClock::now() + Milliseconds(30);
        fixture.runUntil([&] { return SteadyClock::now() >= until; });
        fixture.link->cancel(id);
        return fixture.peer.connections.size() >= 2;
    };
    bool replaced = false;
    while (!replaced && calls < 200)
        replaced = callAndGiveUp();
    cr_assert(replaced);
}

// A slow upstream takes much longer than the silence timeout, but the peer replies to heartbeats. The
// connection is healthy and its call must not be ended.
Test(peerLink, slowUpstreamIsNotSilence)
{
    LinkFixture fixture;
    fixture.call("slow");
    const Instant until = SteadyClock::now() + Milliseconds(400);
    fixture.runUntil([&] { return SteadyClock::now() >= until; });
    cr_assert(fixture.answers.empty());
    fixture.peer.answer(0, "late");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("slow"); }));
    cr_assert(fixture.answers["slow"].body == "late");
}

// Nothing listens at the address. No byte was sent, so the call did not run and may be retried elsewhere.
Test(peerLink, unreachableIsNotRun)
{
    LinkFixture fixture;
    fixture.link = std::make_shared<PeerLink>(fixture.context, "127.0.0.1:1", LinkFixture::settings(),
                                              [](const Error &) {});
    fixture.call("one");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("one"); }));
    cr_assert(fixture.answers["one"].outcome == Outcome::NotRun);
    // Within the backoff the next call is refused without a connection attempt, also as not run.
    fixture.call("two");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("two"); }));
    cr_assert(fixture.answers["two"].outcome == Outcome::NotRun);
}

// The peer dies after it was sent a call, so the call's outcome is unknown.
Test(peerLink, lostConnectionIsUnknown)
{
    LinkFixture fixture;
    fixture.call("one");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    fixture.peer.connections[0]->close(makeError(ErrorKind::Unavailable, "test", "", "killed"));
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("one"); }));
    cr_assert(fixture.answers["one"].outcome == Outcome::Unknown);
}

// A cancelled call is cancelled at the peer, and a late response to it is dropped.
Test(peerLink, cancelIsForwardedAndALateResponseIsDropped)
{
    LinkFixture fixture;
    const std::uint64_t id = fixture.call("one");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    fixture.link->cancel(id);
    cr_assert(fixture.runUntil([&] { return fixture.peer.cancels == 1; }));
    fixture.peer.answer(0, "late");
    fixture.call("two");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 2; }));
    fixture.peer.answer(1, "two");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("two"); }));
    cr_assert(!fixture.answers.contains("one"));
}

// A node drops the link to a node that it has not called for long. The connection, which keeps itself alive
// while reading, must be closed with it; otherwise each replaced host would leak one.
Test(peerLink, droppedLinkClosesItsConnection)
{
    LinkFixture fixture;
    fixture.call("one");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    cr_assert(!fixture.link->unusedSince(SteadyClock::now() + std::chrono::hours(1)));
    fixture.peer.answer(0, "one");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("one"); }));
    cr_assert(fixture.link->unusedSince(SteadyClock::now() + std::chrono::hours(1)));
    fixture.link.reset();
    cr_assert(fixture.runUntil([&] { return !fixture.peer.connections[0]->isOpen(); }));
}

// A path is congested while this node shuts down. A call that may be running behind it must not be ended.
Test(peerLink, silenceTimeoutIsDisabledDuringShutdown)
{
    LinkFixture fixture;
    fixture.peer.repliesToPings = false;
    fixture.call("slow");
    fixture.link->disableSilenceTimeout();
    const Instant until = SteadyClock::now() + 4 * LinkFixture::settings().silenceTimeout;
    fixture.runUntil([&] { return SteadyClock::now() >= until; });
    cr_assert(fixture.answers.empty());
    fixture.peer.answer(0, "late");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("slow"); }));
    cr_assert(fixture.answers["slow"].body == "late");
}

// The peer grants bodies: a large body is sent only after its grant, while a small call does not wait.
Test(peerLink, aLargeBodyIsSentAfterItsGrant)
{
    LinkFixture fixture;
    fixture.peer.grantsBodies = true;
    const std::uint64_t id = fixture.call("large", minimumGrantedBodySize);
    cr_assert(fixture.runUntil([&] { return fixture.peer.heads.size() == 1; }));
    cr_assert(fixture.peer.heads[0].bodyBytes == minimumGrantedBodySize);
    cr_assert(fixture.peer.heads[0].call.body.empty());
    fixture.call("small", minimumGrantedBodySize - 1);
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    cr_assert(fixture.peer.bodies.empty());
    fixture.peer.grant(id);
    cr_assert(fixture.runUntil([&] { return fixture.peer.bodies.size() == 1; }));
    cr_assert(fixture.peer.bodies[0].callId == id);
    cr_assert(fixture.peer.bodies[0].body == std::string(minimumGrantedBodySize, 'x'));
}

// The peer runs an older version without grants, so calls are sent whole.
Test(peerLink, aPeerWithoutGrantsIsSentTheWholeCall)
{
    LinkFixture fixture;
    fixture.call("large", minimumGrantedBodySize);
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    cr_assert(fixture.peer.calls[0].body == std::string(minimumGrantedBodySize, 'x'));
    cr_assert(fixture.peer.calls[0].remainingMicroseconds <= 30000000);
    cr_assert(fixture.peer.heads.empty());
}

namespace {

struct LostRow
{
    const char *what;
    bool granted;
    Outcome outcome;
};

const LostRow lostRows[] = {
    {"before its grant it has not run", false, Outcome::NotRun},
    {"after its grant nobody knows", true, Outcome::Unknown},
};

} // namespace

// The peer dies with a large call pending.
TABLE_TEST(peerLink, aLostLargeCallIsUnknownOnlyAfterItsGrant, lostRows)
{
    LinkFixture fixture;
    fixture.peer.grantsBodies = true;
    const std::uint64_t id = fixture.call("large", minimumGrantedBodySize);
    cr_assert(fixture.runUntil([&] { return fixture.peer.heads.size() == 1; }));
    if (row.granted) {
        fixture.peer.grant(id);
        cr_assert(fixture.runUntil([&] { return fixture.peer.bodies.size() == 1; }));
    }
    fixture.peer.connections[0]->close(makeError(ErrorKind::Unavailable, "test", "", "killed"));
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("large"); }));
    cr_assert(fixture.answers["large"].outcome == row.outcome, "%s", row.what);
}

// The caller gives up while its body awaits a grant, and the grant crosses the cancellation. The body is not
// sent.
Test(peerLink, aCancelledCallSendsNoBody)
{
    LinkFixture fixture;
    fixture.peer.grantsBodies = true;
    const std::uint64_t id = fixture.call("large", minimumGrantedBodySize);
    cr_assert(fixture.runUntil([&] { return fixture.peer.heads.size() == 1; }));
    fixture.link->cancel(id);
    fixture.peer.grant(id);
    fixture.call("next");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    fixture.peer.answer(0, "next");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("next"); }));
    cr_assert(fixture.peer.cancels == 1);
    cr_assert(fixture.peer.bodies.empty());
}

// During shutdown, a withdrawn call that awaits its grant is reported as not run at once.
Test(peerLink, aWithdrawnCallThatAwaitsItsGrantHasNotRun)
{
    LinkFixture fixture;
    fixture.peer.grantsBodies = true;
    const std::uint64_t id = fixture.call("large", minimumGrantedBodySize);
    cr_assert(fixture.runUntil([&] { return fixture.peer.heads.size() == 1; }));
    fixture.link->withdraw(id);
    cr_assert(fixture.answers["large"].outcome == Outcome::NotRun);
    cr_assert(fixture.runUntil([&] { return fixture.peer.cancels == 1; }));
}

// A grant for a call without a pending body is a protocol error: the connection is closed and its call ends.
Test(peerLink, anUnexpectedGrantClosesTheConnection)
{
    LinkFixture fixture;
    const std::uint64_t id = fixture.call("small");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    fixture.peer.grant(id);
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("small"); }));
    cr_assert(fixture.answers["small"].outcome == Outcome::Unknown);
}

namespace {

struct GoAwayRow
{
    const char *what;
    std::uint64_t lastCallId; // Of two calls.
    bool secondHasNotRun;
};

const GoAwayRow goAwayRows[] = {
    {"the second crossed the end", 1, true},
    {"both were taken", 2, false},
};

} // namespace

// A call is in transit while its target node shuts down. Without the id in GoAway, its caller would be told
// that it may have run.
TABLE_TEST(peerLink, aCallAfterTheLastAcceptedOneHasNotRun, goAwayRows)
{
    LinkFixture fixture;
    fixture.call("first");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    fixture.call("second");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 2; }));
    fixture.peer.answer(0, "well");
    FramedConnection &peerEnd = *fixture.peer.connections[0];
    peerEnd.send(encodeFrame(FrameType::GoAway, GoAway{row.lastCallId}));
    peerEnd.shutdownSend();
    cr_assert(fixture.runUntil([&] { return fixture.answers.size() == 2; }));
    cr_assert(fixture.answers["first"].body == "well", "%s", row.what);
    const CallResponse &second = fixture.answers["second"];
    cr_assert(second.outcome == (row.secondHasNotRun ? Outcome::NotRun : Outcome::Unknown), "%s", row.what);
    cr_assert(second.retryAfterMilliseconds > 0);
    cr_assert(fixture.runUntil([&] { return !peerEnd.isOpen(); }), "the connection was not closed");
}

// After GoAway, neither a new call nor the body of one that awaits its grant may be sent to the peer.
Test(peerLink, nothingIsSentAfterGoAway)
{
    LinkFixture fixture;
    fixture.peer.grantsBodies = true;
    fixture.call("running");
    fixture.call("large", minimumGrantedBodySize);
    cr_assert(fixture.runUntil([&] { return fixture.peer.heads.size() == 1; }));
    fixture.peer.connections[0]->send(encodeFrame(FrameType::GoAway, GoAway{2}));
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("large"); }));
    cr_assert(fixture.answers["large"].outcome == Outcome::NotRun);
    fixture.call("next");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("next"); }));
    cr_assert(fixture.answers["next"].outcome == Outcome::NotRun);
    cr_assert(fixture.peer.calls.size() == 1 && !fixture.answers.contains("running"));
}

namespace {

struct ResponseRow
{
    const char *what;
    Outcome outcome;
    std::uint32_t status;
    Outcome expected;
};

const ResponseRow responseRows[] = {
    {"a success", Outcome::Done, 200, Outcome::Done},
    {"a failure of the upstream's own", Outcome::Done, 500, Outcome::Done},
    {"a rejection", Outcome::NotRun, 503, Outcome::NotRun},
    {"an unknown outcome", Outcome::Unknown, 504, Outcome::Unknown},
    {"the status 000", Outcome::Done, 0, Outcome::Unknown},
    {"a status below all", Outcome::Done, 99, Outcome::Unknown},
    {"an interim status", Outcome::Done, 100, Outcome::Unknown},
    {"a status above all", Outcome::Done, 999, Outcome::Unknown},
    {"no outcome that there is", static_cast<Outcome>(9), 200, Outcome::Unknown},
};

Bytes responseFrame(const ResponseRow &row, std::uint64_t callId)
{
    CallResponse response;
    response.callId = callId;
    response.outcome = row.outcome;
    response.status = row.status;
    response.headers = {{"A", "a"}};
    response.body = "done";
    return encodeFrame(FrameType::CallResponse, response);
}

// The response to a call of which the peer sends so many bytes and closes the connection.
CallResponse receive(const ResponseRow &row, std::size_t size)
{
    LinkFixture fixture;
    fixture.call("0");
    cr_assert(fixture.runUntil([&] { return !fixture.peer.calls.empty(); }));
    Bytes frame = responseFrame(row, fixture.peer.calls[0].callId);
    frame.resize(std::min(size, frame.size()));
    if (!frame.empty())
        fixture.peer.connections[0]->send(std::move(frame));
    fixture.peer.connections[0]->shutdownSend();
    cr_assert(fixture.runUntil([&] { return !fixture.answers.empty(); }));
    return fixture.answers["0"];
}

} // namespace

// Guards against an answer of a node in trouble that reaches the caller, and against one that is sound and
// does not.
TABLE_TEST(peerLink, eachShapeOfAResponseHasOneOutcome, responseRows)
{
    const CallResponse response = receive(row, std::string::npos);
    cr_assert(response.outcome == row.expected, "%s: %u", row.what, response.status);
    cr_assert(response.body == (row.expected == row.outcome ? "done" : ""), "%s", row.what);
}

// Guards against a part of a response passing for all of it when a node stops within it.
TABLE_TEST(peerLink, aResponseThatStopsAtAnyByteIsUnknown, responseRows)
{
    const std::size_t whole = responseFrame(row, 1).size();
    for (std::size_t size = 0; size < whole; ++size) {
        const CallResponse response = receive(row, size);
        cr_assert(response.outcome == Outcome::Unknown && response.body.empty(), "%s, %zu bytes", row.what,
                  size);
    }
}

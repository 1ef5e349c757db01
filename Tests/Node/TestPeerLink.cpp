// The connection to another node when the other side is late, out of order, silent, or gone.
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

// Three callers share one connection and the answers come in any order. Each must get its own.
TABLE_TEST(peerLink, eachCallGetsItsOwnAnswer, orderRows)
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

// Something between the two ends loses track of the connection: it stays open and silent while new ones work.
// The call on it ends as unknown after the allowed silence, and the next call goes through on a new
// connection.
Test(peerLink, silentConnectionIsReplaced)
{
    LinkFixture fixture;
    fixture.peer.answersPings = false;
    fixture.call("lost");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("lost"); }));
    cr_assert(fixture.answers["lost"].outcome == Outcome::Unknown);
    fixture.peer.answersPings = true;
    fixture.call("next");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 2; }));
    fixture.peer.answer(1, "next");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("next"); }));
    cr_assert(fixture.answers["next"].outcome == Outcome::Done);
    cr_assert(fixture.peer.connections.size() == 2);
}

// The same, when every call gives up before the allowed silence is over and a new one follows at once. A
// clock that starts anew with each call would never find the silence, and every call would go into the dead
// connection.
Test(peerLink, silenceIsFoundUnderShortDeadlines)
{
    LinkFixture fixture;
    fixture.peer.answersPings = false;
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

// A slow upstream: no answer for much longer than the allowed silence, but the other node answers the probes.
// The connection is well and the call on it must not be given up.
Test(peerLink, slowIsNotSilent)
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

// Nobody listens there. No byte left, so the call did not run and may go elsewhere.
Test(peerLink, unreachableIsNotRun)
{
    LinkFixture fixture;
    fixture.link = std::make_shared<PeerLink>(fixture.context, "127.0.0.1:1", LinkFixture::settings(),
                                              [](const Error &) {});
    fixture.call("one");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("one"); }));
    cr_assert(fixture.answers["one"].outcome == Outcome::NotRun);
    // Within the backoff the next one is refused without a try, and as well not run.
    fixture.call("two");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("two"); }));
    cr_assert(fixture.answers["two"].outcome == Outcome::NotRun);
}

// The other node dies with a call on it that it had been sent: nobody knows whether it ran.
Test(peerLink, lostConnectionIsUnknown)
{
    LinkFixture fixture;
    fixture.call("one");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    fixture.peer.connections[0]->close(makeError(ErrorKind::Unavailable, "test", "", "killed"));
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("one"); }));
    cr_assert(fixture.answers["one"].outcome == Outcome::Unknown);
}

// The caller gives up: the other node is told, and a late answer finds nobody.
Test(peerLink, cancelIsPassedOnAndALateAnswerIsDropped)
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

// A node that has not called another one for long drops what it knows of it. The connection has to go with
// it: it keeps itself alive while it reads, and hosts that are replaced all day would leave one behind each.
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

// A path is full while this node ends. An upstream at work behind it must not be answered for.
Test(peerLink, aNodeThatEndsWaitsThroughSilence)
{
    LinkFixture fixture;
    fixture.peer.answersPings = false;
    fixture.call("slow");
    fixture.link->disableSilenceTimeout();
    const Instant until = SteadyClock::now() + 4 * LinkFixture::settings().silenceTimeout;
    fixture.runUntil([&] { return SteadyClock::now() >= until; });
    cr_assert(fixture.answers.empty());
    fixture.peer.answer(0, "late");
    cr_assert(fixture.runUntil([&] { return fixture.answers.contains("slow"); }));
    cr_assert(fixture.answers["slow"].body == "late");
}

// The other node grants bodies: a large one stays here until then and a small call beside it does not wait.
Test(peerLink, aLargeBodyLeavesWhenItIsGranted)
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

// The other node is of a version that knows no grants: the call goes there whole, as it always did.
Test(peerLink, aNodeThatGrantsNothingIsSentTheWholeCall)
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

// The other node dies with a large call on it.
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

// The caller gives up while its body waits, and the grant crosses the word of it: the body does not leave.
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

// This node is about to end: what waits for its grant is told at once that it has not run.
Test(peerLink, aWithdrawnCallThatWaitsForItsGrantHasNotRun)
{
    LinkFixture fixture;
    fixture.peer.grantsBodies = true;
    const std::uint64_t id = fixture.call("large", minimumGrantedBodySize);
    cr_assert(fixture.runUntil([&] { return fixture.peer.heads.size() == 1; }));
    fixture.link->withdraw(id);
    cr_assert(fixture.answers["large"].outcome == Outcome::NotRun);
    cr_assert(fixture.runUntil([&] { return fixture.peer.cancels == 1; }));
}

// A grant for a call that has no body to send comes from a broken peer; the connection ends with the call on
// it.
Test(peerLink, aGrantThatNoBodyWaitsForClosesTheConnection)
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

// A call crosses the end of the node that it is sent to, and its caller is told that it may have run.
TABLE_TEST(peerLink, aCallThatCrossesTheEndOfItsNodeHasNotRun, goAwayRows)
{
    LinkFixture fixture;
    fixture.call("first");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 1; }));
    fixture.call("second");
    cr_assert(fixture.runUntil([&] { return fixture.peer.calls.size() == 2; }));
    fixture.peer.answer(0, "well");
    FramedConnection &end = *fixture.peer.connections[0];
    end.send(encodeFrame(FrameType::GoAway, GoAway{row.lastCallId}));
    end.shutdownSend();
    cr_assert(fixture.runUntil([&] { return fixture.answers.size() == 2; }));
    cr_assert(fixture.answers["first"].body == "well", "%s", row.what);
    const CallResponse &second = fixture.answers["second"];
    cr_assert(second.outcome == (row.secondHasNotRun ? Outcome::NotRun : Outcome::Unknown), "%s", row.what);
    cr_assert(second.retryAfterMilliseconds > 0);
    cr_assert(fixture.runUntil([&] { return !end.isOpen(); }), "its end was not closed");
}

// A call that waits for its grant, or comes after the last word, must not be sent to a node that ends.
Test(peerLink, aNodeThatEndsIsSentNothingMore)
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

// Whether a gate keeps to what its upstream asks for in its answers: a limit on its calls, and none when it
// leaves.
#include "GateFixture.h"

#include <LibDecide/TargetGate.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

constexpr std::uint32_t slots = 6;

struct AdmissionRow
{
    const char *name;
    AdmissionHooks (*make)();
};

const AdmissionRow admissionRows[] = {
    {"classes",
     [] {
         return makeAdmissionHooks(std::make_shared<Gate>(GateSettings{slots, 64, 7}));
     }},
    {"targets",
     [] {
         return makeAdmissionHooks(std::make_shared<TargetGate>(TargetGateSettings{slots, 64, 7}));
     }},
};

// Answers every request at once with the same headers, and keeps calls waiting at the gate.
class BusyUpstream
{
public:
    BusyUpstream(AdmissionHooks admission, std::vector<Header> headers)
        : fixture(std::move(admission))
        , headers(std::move(headers))
    {
        this->announce(1, UpstreamCondition::Ready);
    }

    void announce(std::uint64_t sequence, UpstreamCondition condition, const char *instance = "i-1",
                  std::uint64_t startedAt = 1)
    {
        UpstreamAnnouncement announcement{"booking", this->fixture.upstream.address(), slots, condition};
        announcement.instance = instance;
        announcement.startedAt = startedAt;
        announcement.sequence = sequence;
        this->fixture.gate.announce(announcement);
    }

    void runFor(Duration length)
    {
        const Instant end = SteadyClock::now() + length;
        while (SteadyClock::now() < end)
            this->step();
    }

    void answerWith(std::vector<Header> changed) { this->headers = std::move(changed); }

    std::size_t received() const { return this->fixture.receivedRequests.size(); }

    GateFixture fixture;

private:
    void step()
    {
        // A gate may refuse a call at once, so the loop may not wait for the calls to stay open.
        constexpr std::size_t waitingCalls = 12;
        const std::size_t open = this->submitted - this->fixture.answers.size();
        for (std::size_t count = open; count < waitingCalls; ++count)
            this->fixture.submit(std::to_string(this->submitted++), CallClass::Interactive, "",
                                 std::chrono::seconds(2), true);
        this->fixture.context.restart();
        this->fixture.context.run_one_for(Milliseconds(5));
        for (; this->responded < this->fixture.exchanges.size(); ++this->responded) {
            HttpResponse response = makeResponse(200, "text/plain", "done");
            response.headers = this->headers;
            this->fixture.exchanges[this->responded]->respond(std::move(response));
        }
    }

    std::vector<Header> headers;
    std::size_t submitted = 0;
    std::size_t responded = 0;
};

} // namespace

// Guards against calls far above the limit that an upstream names.
TABLE_TEST(upstreamLimit, gateKeepsNamedLimit, admissionRows)
{
    constexpr double callsPerSecond = 20;
    // What the users' rule LIMIT allows.
    constexpr double allowedFactor = 1.5;
    constexpr double allowedExtra = 5;
    BusyUpstream upstream(row.make(), {{CallHeaders{}.upstreamLimit, "20"}});
    upstream.runFor(Milliseconds(500));
    const Instant from = SteadyClock::now();
    const std::size_t before = upstream.received();
    upstream.runFor(Milliseconds(1500));
    const double seconds = std::chrono::duration<double>(SteadyClock::now() - from).count();
    const double received = static_cast<double>(upstream.received() - before);
    cr_assert(received <= allowedFactor * callsPerSecond * seconds + allowedExtra, "%s: %.0f in %.1f s",
              row.name, received, seconds);
    cr_assert(received > 0, "%s: nothing was sent", row.name);
}

// Guards against calls to an upstream whose answers say that it leaves, also after a delayed "ready".
TABLE_TEST(upstreamLimit, gateSendsNothingToAnUpstreamThatLeaves, admissionRows)
{
    BusyUpstream upstream(row.make(), {{CallHeaders{}.upstreamLeaving, "1"}});
    cr_assert(upstream.fixture.runUntil([&] {
        upstream.runFor(Milliseconds(5));
        return !upstream.fixture.answers.empty();
    }));
    upstream.runFor(Milliseconds(50));
    const std::size_t before = upstream.received();
    upstream.announce(2, UpstreamCondition::Ready);
    upstream.runFor(Milliseconds(200));
    cr_assert(upstream.received() == before, "%s: %zu more", row.name, upstream.received() - before);
}

// Guards against a limit or a departure that outlives the instance that stated it.
TABLE_TEST(upstreamLimit, nextInstanceBeginsAnew, admissionRows)
{
    const CallHeaders names;
    BusyUpstream upstream(row.make(), {{names.upstreamLimit, "1"}, {names.upstreamLeaving, "1"}});
    upstream.runFor(Milliseconds(50));
    cr_assert(upstream.fixture.gate.announcement().instance == "i-1");
    upstream.answerWith({});
    const std::size_t before = upstream.received();
    upstream.announce(1, UpstreamCondition::Ready, "i-2", 2);
    upstream.runFor(Milliseconds(500));
    constexpr std::size_t twiceTheSlots = std::size_t{2} * slots;
    cr_assert(upstream.received() > before + twiceTheSlots, "%s: %zu more", row.name,
              upstream.received() - before);
}

// Guards against an instance that gets no calls, since an answer of the earlier run of its name stated that
// that one leaves.
TABLE_TEST(upstreamLimit, statementOfAnEarlierRunOfTheNameIsIgnored, admissionRows)
{
    GateFixture fixture(row.make());
    const auto announce = [&fixture](std::uint64_t startedAt) {
        UpstreamAnnouncement announcement{
            "booking", fixture.upstream.address(), slots, UpstreamCondition::Ready, "i-1", startedAt};
        fixture.gate.announce(announcement);
    };
    announce(1);
    fixture.submit("first", CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.exchanges.size() == 1; }));
    announce(2);
    HttpResponse response = makeResponse(200, "text/plain", "done");
    response.headers = {{CallHeaders{}.upstreamLeaving, "1"}};
    fixture.exchanges[0]->respond(std::move(response));
    cr_assert(fixture.runUntil([&] { return fixture.answered("first"); }));
    fixture.submit("second", CallClass::Interactive, "");
    fixture.runUntil([&] { return fixture.exchanges.size() == 2 || fixture.answered("second"); });
    cr_assert(fixture.exchanges.size() == 2, "%s", row.name);
}

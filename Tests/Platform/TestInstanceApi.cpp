// Check-ins and goodbyes of the server beside a node, from the wire to what the node believes.
#include <Node/Upstream/UpstreamPresence.h>
#include <Support/TableTest.h>
#include <platform/EmulatedServer.h>
#include <platform/InstanceApi.h>

using namespace Sagecrank;

namespace {

class InstanceFixture
{
public:
    InstanceFixture()
    {
        this->node.announced = [this](const UpstreamAnnouncement &announcement, UpstreamState state) {
            return this->presence.announced(this->now, announcement, state);
        };
        this->node.left = [this](const std::string &instance) {
            return this->presence.left(this->now, instance);
        };
        this->node.announcementRefused = [this](const Error &) { ++this->refusals; };
        this->node.ready = [this] { return this->isReady; };
    }

    std::uint32_t put(const std::string &id, const std::string &body)
    {
        return this->api.handle({"PUT", "/api/instances/" + id, {}, body}, this->node).status;
    }

    std::uint32_t checkIn(const std::string &id, const char *state, int sequence, int born)
    {
        return this->put(
            id, R"({"service":"booking","address":"10.0.0.9:80","zone":"z","version":"v1","slots":6,)"
                R"("state":")"
                    + std::string(state) + R"(","coldLeft":"0ms","callSeq":)" + std::to_string(sequence)
                    + R"(,"born":)" + std::to_string(born) + "}");
    }

    std::uint32_t leave(const std::string &id)
    {
        return this->api.handle({"DELETE", "/api/instances/" + id, {}, {}}, this->node).status;
    }

    Platform::InstanceApi api{"10.0.0.9:80"};
    AdminHooks node;
    Instant now{};
    bool isReady = false;
    int refusals = 0;
    std::string instance;
    UpstreamPresence presence{
        {[](const std::string &) {},
         [this](const UpstreamAnnouncement &announcement) { this->instance = announcement.instance; },
         [](const std::string &, UpstreamState, std::uint32_t) {}}};
};

struct BadRow
{
    const char *what;
    const char *body;
};

const BadRow badRows[] = {
    {"no bytes", ""},
    {"not JSON", "\xff\xfe"},
    {"no service", R"({"address":"10.0.0.9:80","slots":6,"state":"ready","callSeq":9,"born":9})"},
    {"slots of another type",
     R"({"service":"b","address":"10.0.0.9:80","slots":"6","state":"ready","callSeq":9,"born":9})"},
    {"unknown state",
     R"({"service":"b","address":"10.0.0.9:80","slots":6,"state":"odd","callSeq":9,"born":9})"},
    {"born of another type",
     R"({"service":"b","address":"10.0.0.9:80","slots":6,"state":"ready","callSeq":9,"born":"x"})"},
    {"another server's address",
     R"({"service":"b","address":"10.0.0.8:80","slots":6,"state":"ready","callSeq":9,"born":9})"},
};

} // namespace

// Some other writer sends a check-in that cannot be read or is not of the server beside this node. Believed,
// it would take a healthy server out; so it is refused, counted, and the server that is known stays.
TABLE_TEST(instanceCalls, aForeignCheckInChangesNothing, badRows)
{
    InstanceFixture fixture;
    cr_assert(fixture.checkIn("i-1", "ready", 1, 100) == 200);
    cr_assert(fixture.put("i-2", row.body) == 400, "%s", row.what);
    cr_assert(fixture.refusals == 1);
    cr_assert(fixture.instance == "i-1" && fixture.presence.state() == UpstreamState::Ready);
}

// A server crashes; another start of it announces itself at the same address. A check-in and a goodbye of the
// first one, held up on their way, arrive afterwards. The later start stays, whatever their numbers say, and
// also when it has the same id.
Test(instanceCalls, aLateWordOfAnEarlierStartChangesNothing)
{
    InstanceFixture fixture;
    fixture.checkIn("i-1", "ready", 7, 100);
    cr_assert(fixture.checkIn("i-2", "ready", 1, 200) == 200);
    cr_assert(fixture.checkIn("i-1", "draining", 8, 100) == 200);
    cr_assert(fixture.leave("i-1") == 200);
    cr_assert(fixture.instance == "i-2" && fixture.presence.state() == UpstreamState::Ready);

    cr_assert(fixture.checkIn("i-2", "ready", 1, 300) == 200);
    cr_assert(fixture.checkIn("i-2", "draining", 9, 200) == 200);
    cr_assert(fixture.presence.state() == UpstreamState::Ready);
}

// A server says goodbye; one of its earlier check-ins arrives after it. Taken for new, it would bring back a
// server that ends in a moment, and calls would be lost there.
Test(instanceCalls, goodbyeIsFinalForItsStart)
{
    InstanceFixture fixture;
    fixture.checkIn("i-1", "ready", 1, 100);
    cr_assert(fixture.leave("i-1") == 200);
    cr_assert(fixture.presence.state() == UpstreamState::Gone);
    fixture.checkIn("i-1", "ready", 2, 100);
    cr_assert(fixture.presence.state() == UpstreamState::Gone);
    fixture.checkIn("i-1", "ready", 1, 101);
    cr_assert(fixture.presence.state() == UpstreamState::Ready);
}

Test(instanceCalls, theProbeSaysWhetherTheNodeIsReady)
{
    InstanceFixture fixture;
    cr_assert(fixture.api.handle({"GET", "/api/readyz", {}, {}}, fixture.node).status == 503);
    fixture.isReady = true;
    cr_assert(fixture.api.handle({"GET", "/api/readyz", {}, {}}, fixture.node).status == 200);
}

// What the stand-in of a server writes is what the node reads.
Test(instanceCalls, readsWhatTheStandInWrites)
{
    InstanceFixture fixture;
    UpstreamAnnouncement announcement{"booking", "10.0.0.9:80", 6, UpstreamCondition::Ready, "i-9", 5000, 3};
    const HttpRequest checkIn = Platform::encodeCheckIn(announcement, UpstreamState::Warming);
    cr_assert(fixture.api.handle(checkIn, fixture.node).status == 200);
    cr_assert(fixture.instance == "i-9" && fixture.presence.state() == UpstreamState::Warming);
    const HttpRequest goodbye = Platform::encodeCheckIn(announcement, UpstreamState::Gone);
    cr_assert(fixture.api.handle(goodbye, fixture.node).status == 200);
    cr_assert(fixture.presence.state() == UpstreamState::Gone);
}

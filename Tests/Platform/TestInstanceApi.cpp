// Tests check-ins and deregistration of the server on a node's host, from the request to the node's state.
#include <Node/Upstream/UpstreamPresence.h>
#include <Support/TableTest.h>
#include <platform/EmulatedServer.h>
#include <platform/InstanceApi.h>

#include <string>

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
            return this->presence.left(this->now, this->unixNow, instance);
        };
        this->node.announcementRefused = [this](const Error &) { ++this->rejections; };
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

    std::uint32_t deregister(const std::string &id)
    {
        return this->api.handle({"DELETE", "/api/instances/" + id, {}, {}}, this->node).status;
    }

    Platform::InstanceApi api{"10.0.0.9:80"};
    AdminHooks node;
    Instant now{};
    std::uint64_t unixNow = 100; // In milliseconds, as the start times of the instances.
    bool isReady = false;
    int rejections = 0;
    std::string instance;
    UpstreamPresence presence{
        {[](const std::string &) {},
         [this](const UpstreamAnnouncement &announcement) { this->instance = announcement.instance; },
         [](const UpstreamAnnouncement &, UpstreamState) {}}};
};

struct InvalidRow
{
    const char *what;
    std::string body;
};

const InvalidRow invalidRows[] = {
    {"no bytes", ""},
    {"not JSON", "\xff\xfe"},
    {"no service", R"({"address":"10.0.0.9:80","slots":6,"state":"ready","callSeq":9,"born":9})"},
    {"slots of another type",
     R"({"service":"b","address":"10.0.0.9:80","slots":"6","state":"ready","callSeq":9,"born":9})"},
    {"unknown state",
     R"({"service":"b","address":"10.0.0.9:80","slots":6,"state":"odd","callSeq":9,"born":9})"},
    {"born of another type",
     R"({"service":"b","address":"10.0.0.9:80","slots":6,"state":"ready","callSeq":9,"born":"x"})"},
    {"a port out of range",
     R"({"service":"b","address":"10.0.0.9:99999","slots":6,"state":"ready","callSeq":9,"born":9})"},
    {"more slots than a number holds",
     R"({"service":"b","address":"10.0.0.9:80","slots":99999999999999999999,"state":"ready","callSeq":9,"born":9})"},
    {"a number beyond a double",
     R"({"service":"b","address":"10.0.0.9:80","slots":6,"state":"ready","callSeq":1e999999,"born":9})"},
    {"nested lists", R"({"service":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}"},
    {"nested lists beside the fields",
     R"({"service":"b","address":"10.0.0.9:80","slots":6,"state":"ready","callSeq":9,"born":9,"x":)"
         + std::string(100'000, '[') + std::string(100'000, ']') + "}"},
    {"another server's address",
     R"({"service":"b","address":"10.0.0.8:80","slots":6,"state":"ready","callSeq":9,"born":9})"},
};

struct EarlyDepartureRow
{
    const char *what;
    const char *id; // Of an instance that started after "i-1", and of which nothing has arrived.
    UpstreamState expected;
};

const EarlyDepartureRow earlyDepartureRows[] = {
    {"another name: the earlier instance expires by itself", "i-2", UpstreamState::Ready},
    {"the name of the earlier instance", "i-1", UpstreamState::Gone},
};

struct NextAddressRow
{
    const char *address; // As the node names it.
    const char *body;
};

const NextAddressRow nextAddressRows[] = {
    {"", "{}"},
    {"10.0.0.9:7383", R"({"beatAddr":"10.0.0.9:7383"})"},
};

} // namespace

// A check-in is malformed or comes from another server than the one on this host. Accepting it would take a
// healthy server out of service, so it is rejected and counted, and the known server stays.
TABLE_TEST(instanceApi, invalidCheckInIsRejected, invalidRows)
{
    InstanceFixture fixture;
    cr_assert(fixture.checkIn("i-1", "ready", 1, 100) == 200);
    cr_assert(fixture.put("i-2", row.body) == 400, "%s", row.what);
    cr_assert(fixture.rejections == 1);
    cr_assert(fixture.instance == "i-1" && fixture.presence.state() == UpstreamState::Ready);
}

// A server crashes, and a new instance checks in at the same address. A delayed check-in and deregistration
// of the first instance arrive afterwards. The new instance stays, whatever their sequence numbers, even if
// it has the same id.
Test(instanceApi, lateCheckInOfEarlierInstanceIsIgnored)
{
    InstanceFixture fixture;
    fixture.checkIn("i-1", "ready", 7, 100);
    cr_assert(fixture.checkIn("i-2", "ready", 1, 200) == 200);
    cr_assert(fixture.checkIn("i-1", "draining", 8, 100) == 200);
    cr_assert(fixture.deregister("i-1") == 200);
    cr_assert(fixture.instance == "i-2" && fixture.presence.state() == UpstreamState::Ready);

    cr_assert(fixture.checkIn("i-2", "ready", 1, 300) == 200);
    cr_assert(fixture.checkIn("i-2", "draining", 9, 200) == 200);
    cr_assert(fixture.presence.state() == UpstreamState::Ready);
}

// An earlier check-in arrives after the server has deregistered. Accepting it would send calls to a server
// that is about to exit.
Test(instanceApi, deregistrationIsFinalForInstance)
{
    InstanceFixture fixture;
    fixture.checkIn("i-1", "ready", 1, 100);
    cr_assert(fixture.deregister("i-1") == 200);
    cr_assert(fixture.presence.state() == UpstreamState::Gone);
    fixture.checkIn("i-1", "ready", 2, 100);
    cr_assert(fixture.presence.state() == UpstreamState::Gone);
    fixture.checkIn("i-1", "ready", 1, 101);
    cr_assert(fixture.presence.state() == UpstreamState::Ready);
}

// Guards against calls reaching an instance whose departure was confirmed before anything else of it arrived:
// its late announcement does not make it ready. The next run of its name is accepted at once.
TABLE_TEST(instanceApi, departureBeforeTheFirstCheckInIsFinal, earlyDepartureRows)
{
    InstanceFixture fixture;
    fixture.checkIn("i-1", "ready", 1, 90);
    cr_assert(fixture.deregister(row.id) == 200);
    fixture.checkIn(row.id, "ready", 1, 95);
    cr_assert(fixture.presence.state() == row.expected, "%s", row.what);
    cr_assert(fixture.instance == "i-1", "%s", row.what);
    fixture.checkIn(row.id, "ready", 1, 101);
    cr_assert(fixture.presence.state() == UpstreamState::Ready && fixture.instance == row.id, "%s", row.what);
}

// Guards against an instance that runs and gets no calls any more, since a departure of an earlier run of its
// name arrived late.
Test(instanceApi, lateDepartureOfAnEarlierRunIsOvercome)
{
    InstanceFixture fixture;
    fixture.checkIn("i-1", "ready", 1, 90);
    fixture.checkIn("i-1", "ready", 1, 95);
    fixture.deregister("i-1");
    fixture.now += departedNameTimeout;
    fixture.checkIn("i-1", "ready", 9, 95);
    cr_assert(fixture.presence.state() == UpstreamState::Ready);
}

Test(instanceApi, readinessProbeReportsNodeState)
{
    InstanceFixture fixture;
    cr_assert(fixture.api.handle({"GET", "/api/readyz", {}, {}}, fixture.node).status == 503);
    fixture.isReady = true;
    cr_assert(fixture.api.handle({"GET", "/api/readyz", {}, {}}, fixture.node).status == 200);
}

// The response to a check-in names the address for the next one.
TABLE_TEST(instanceApi, responseNamesTheNextAddress, nextAddressRows)
{
    InstanceFixture fixture;
    fixture.node.nextAddress = [&row](AnnouncementResult) { return std::string(row.address); };
    const UpstreamAnnouncement announcement{"booking", "10.0.0.9:80", 6, UpstreamCondition::Ready, "i-9"};
    const HttpResponse response =
        fixture.api.handle(Platform::encodeCheckIn(announcement, UpstreamState::Ready), fixture.node);
    cr_assert(response.status == 200 && response.body == row.body, "%s", response.body.c_str());
}

// The node decodes the check-ins that the emulated server encodes.
Test(instanceApi, decodesEmulatedCheckIns)
{
    InstanceFixture fixture;
    UpstreamAnnouncement announcement{"booking", "10.0.0.9:80", 6, UpstreamCondition::Ready, "i-9", 5000, 3};
    const HttpRequest checkIn = Platform::encodeCheckIn(announcement, UpstreamState::Warming);
    cr_assert(fixture.api.handle(checkIn, fixture.node).status == 200);
    cr_assert(fixture.instance == "i-9" && fixture.presence.state() == UpstreamState::Warming);
    const HttpRequest deregistration = Platform::encodeCheckIn(announcement, UpstreamState::Gone);
    cr_assert(fixture.api.handle(deregistration, fixture.node).status == 200);
    cr_assert(fixture.presence.state() == UpstreamState::Gone);
}

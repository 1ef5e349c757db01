// The admin port: valid and invalid announcements, commands and queries.
#include <Node/Admin/AdminFrontend.h>

#include <Support/TableTest.h>

#include <vector>

using namespace Sagecrank;

namespace {

class AdminFixture
{
public:
    HttpResponse ask(const char *method, const char *target, const char *body = "")
    {
        return this->admin.answer({method, target, {}, body});
    }

    std::vector<UpstreamAnnouncement> announced;
    std::vector<UpstreamState> states;
    int drains = 0;
    bool ready = false;
    AdminFrontend admin{AdminHooks{[this](const UpstreamAnnouncement &announcement, UpstreamState state) {
                                       this->announced.push_back(announcement);
                                       this->states.push_back(state);
                                       return AnnouncementResult::Accepted;
                                   },
                                   {},
                                   {},
                                   [this] { ++this->drains; },
                                   [] { return 3U; },
                                   [this] { return this->ready; },
                                   [] { return std::string("{}"); },
                                   [] { return std::string("metric 1\n"); },
                                   [] { return std::string("[]"); }}};
};

struct InvalidRow
{
    const char *body;
    const char *problem;
};

const InvalidRow invalidRows[] = {
    {"", "not a JSON object"},
    {"[1]", "not a JSON object"},
    {R"({"address":"127.0.0.1:1","slots":1,"state":"ready"})", "cluster must be a string"},
    {R"({"cluster":"","address":"127.0.0.1:1","slots":1,"state":"ready"})", "cluster must be a string"},
    {R"({"cluster":"a","address":"somewhere:1","slots":1,"state":"ready"})", "address must be an ip:port"},
    {R"({"cluster":"a","address":"127.0.0.1:1","slots":0,"state":"ready"})", "slots must be a whole number"},
    {R"({"cluster":"a","address":"127.0.0.1:1","slots":"six","state":"ready"})",
     "slots must be a whole number"},
    {R"({"cluster":"a","address":"127.0.0.1:1","slots":1,"state":"happy"})", "state must be warming"},
    {R"({"cluster":"a","address":"127.0.0.1:1","slots":1,"state":"none"})", "state must be warming"},
};

struct PageRow
{
    const char *method;
    const char *target;
    std::uint32_t status;
};

const PageRow pageRows[] = {
    {"GET", "/health", 200},  {"GET", "/ready", 503},         {"GET", "/status", 200},
    {"GET", "/metrics", 200}, {"GET", "/spans?limit=1", 200}, {"GET", "/nothing", 404},
    {"POST", "/health", 404}, {"GET", "/v1/drain", 404},      {"DELETE", "/v1/upstream", 404},
};

} // namespace

Test(adminFrontend, acceptsAnnouncement)
{
    AdminFixture fixture;
    const HttpResponse answer =
        fixture.ask("POST", "/v1/upstream",
                    R"({"cluster":"booking","address":"127.0.0.1:9101","slots":6,"state":"warming"})");
    cr_assert(answer.status == 200);
    cr_assert(answer.body == R"({"in_flight":3})");
    cr_assert(fixture.announced.size() == 1);
    cr_assert(fixture.announced[0].cluster == "booking");
    cr_assert(fixture.announced[0].slots == 6);
    cr_assert(fixture.states[0] == UpstreamState::Warming);
}

// An invalid announcement is rejected as a whole, with the reason: applying it in part would add a service to
// the mesh that cannot be reached.
TABLE_TEST(adminFrontend, rejectsInvalidAnnouncement, invalidRows)
{
    AdminFixture fixture;
    const HttpResponse answer = fixture.ask("POST", "/v1/upstream", row.body);
    cr_assert(answer.status == 400);
    cr_assert(answer.body.find(row.problem) != std::string::npos, "%s: %s", row.body, answer.body.c_str());
    cr_assert(fixture.announced.empty());
}

TABLE_TEST(adminFrontend, pages, pageRows)
{
    AdminFixture fixture;
    cr_assert(fixture.ask(row.method, row.target).status == row.status, "%s %s", row.method, row.target);
    cr_assert(fixture.drains == 0);
}

Test(adminFrontend, postDrainStartsDrain)
{
    AdminFixture fixture;
    cr_assert(fixture.ask("POST", "/v1/drain").status == 202);
    cr_assert(fixture.drains == 1);
}

// The drill of the stand-in of the store: it comes back from an older copy, as the users' pages say of
// theirs.
#include "StoreFixture.h"

#include <platform/RowsProtocol.h>

using namespace Sagecrank;

namespace {

struct Told
{
    std::uint32_t status = 0; // Zero: no answer.
    std::string era;
    std::string body;
};

class DrillFixture : public StoreFixture
{
public:
    Told send(const std::string &method, const std::string &target, const std::string &body = {})
    {
        return this->await<Told>([&](auto done) {
            this->plain.send(this->server.address(), {method, target, {}, body}, std::chrono::seconds(5),
                             [done](const HttpFailure *failure, const HttpResponse &response) {
                                 if (failure != nullptr)
                                     return done(Told{});
                                 done(Told{response.status, std::string(Platform::findEraHeader(response)),
                                           response.body});
                             });
        });
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        cr_assert(this->write({table, {}, key, value, false, std::nullopt}).has_value());
    }

    std::string valueOf(const std::string &table, const std::string &key)
    {
        const Result<Platform::RowsResponse> found = this->rows(table);
        cr_assert(found.has_value());
        for (const Platform::StoredRow &row : found.value().rows) {
            if (row.key == key)
                return row.value;
        }
        return {};
    }
};

struct AnswerRow
{
    const char *method;
    const char *target;
    const char *body;
    std::uint32_t status;
};

const AnswerRow answerRows[] = {
    {"GET", "/api/rows-get?table=t&part=", "", 200},
    {"GET", "/api/rows-feed?table=t&after=0&waitMs=0", "", 200},
    {"GET", "/api/rows-feed?table=t&after=99&waitMs=1000", "", 410},
    {"POST", "/api/rows-tx", R"({"precondition":[],"setKeys":[],"remove":[]})", 200},
    {"POST", "/api/rows-tx",
     R"({"precondition":[{"table":"t","part":"","key":"k","ver":9}],"setKeys":[)"
     R"({"table":"t","part":"","key":"k","value":""}],"remove":[]})",
     412},
    {"GET", "/api/no-such-call", "", 400},
};

} // namespace

// Every answer says which life of the store gives it, refusals too.
TABLE_TEST(storeDrill, everyAnswerStatesTheEra, answerRows)
{
    DrillFixture fixture;
    fixture.service.takeCopy();
    cr_assert(fixture.service.returnFromCopy({}));
    const Told told = fixture.send(row.method, row.target, row.body);
    cr_assert(told.status == row.status && told.era == "2", "%s: %u, era %s", row.target, told.status,
              told.era.c_str());
}

// What the system wrote since the copy is gone and its revisions are given out again; what the operator and
// the servers wrote is written again; the era rises by one each time.
Test(storeDrill, losesWhatTheSystemWrote)
{
    DrillFixture fixture;
    fixture.put("sagecrank", "kept", "a");
    fixture.put("op", "config", "1");
    fixture.service.takeCopy();
    const std::uint64_t copied = fixture.rows("sagecrank").value().newestRevision;
    fixture.put("sagecrank", "lost", "b");
    fixture.put("op", "config", "2");
    fixture.put("servers", "s1", "c");
    cr_assert(fixture.send("POST", "/emulator/return", "{}").status == 200);
    cr_assert(fixture.valueOf("sagecrank", "kept") == "a" && fixture.valueOf("sagecrank", "lost").empty());
    cr_assert(fixture.valueOf("op", "config") == "2" && fixture.valueOf("servers", "s1") == "c");
    cr_assert(fixture.rows("sagecrank").value().newestRevision == copied + 2);
    cr_assert(fixture.send("POST", "/emulator/return", "{}").status == 200);
    cr_assert(fixture.send("GET", "/api/rows-get?table=t&part=").era == "3");
}

// It is away first, and the operator takes a while; what the operator wrote meanwhile is not written over.
Test(storeDrill, isAwayAndIsWrittenAgainLater)
{
    DrillFixture fixture;
    fixture.put("op", "config", "1");
    fixture.put("op", "other", "1");
    fixture.service.takeCopy();
    fixture.put("op", "config", "2");
    fixture.put("op", "other", "2");
    cr_assert(fixture.send("POST", "/emulator/return", R"({"away_ms":100,"written_again_ms":1500})").status
              == 200);
    cr_assert(fixture.send("GET", "/api/rows-get?table=op&part=").status == 0);
    fixture.runUntil([] { return false; }, Milliseconds(200));
    cr_assert(fixture.valueOf("op", "config") == "1");
    fixture.put("op", "config", "3");
    fixture.runUntil([] { return false; }, Milliseconds(1600));
    cr_assert(fixture.valueOf("op", "config") == "3" && fixture.valueOf("op", "other") == "2");
}

// What cannot be obeyed is told, and changes nothing.
Test(storeDrill, aCommandThatMakesNoSenseIsRefused)
{
    DrillFixture fixture;
    cr_assert(fixture.send("POST", "/emulator/return", "{}").status == 409);
    cr_assert(fixture.send("POST", "/emulator/copy").status == 200);
    cr_assert(fixture.send("POST", "/emulator/return", R"({"away_ms":-1})").status == 400);
    cr_assert(fixture.send("POST", "/emulator/era", "moon").status == 200);
    cr_assert(fixture.send("GET", "/api/rows-get?table=t&part=").era == "moon");
    cr_assert(fixture.send("POST", "/emulator/era", "own").status == 200);
    cr_assert(fixture.send("GET", "/api/rows-get?table=t&part=").era == "1");
}

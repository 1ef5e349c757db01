// Tests how the store's emulator simulates a restore from an older copy, as the platform's documentation
// describes it.
#include "StoreFixture.h"

#include <platform/RowsProtocol.h>

using namespace Sagecrank;

namespace {

struct StoreResponse
{
    std::uint32_t status = 0; // Zero: no response.
    std::string era;
    std::string body;
};

class RestoreFixture : public StoreFixture
{
public:
    StoreResponse send(const std::string &method, const std::string &target, const std::string &body = {})
    {
        return this->await<StoreResponse>([&](auto done) {
            this->httpClient.send(this->server.address(), {method, target, {}, body}, std::chrono::seconds(5),
                                  [done](const HttpFailure *failure, const HttpResponse &response) {
                                      if (failure != nullptr)
                                          return done(StoreResponse{});
                                      done(StoreResponse{response.status,
                                                         std::string(Platform::findEraHeader(response)),
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

struct ResponseRow
{
    const char *method;
    const char *target;
    const char *body;
    std::uint32_t status;
};

const ResponseRow responseRows[] = {
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

// Every response states the store's era, including errors.
TABLE_TEST(emulatorRestore, everyResponseStatesTheEra, responseRows)
{
    RestoreFixture fixture;
    fixture.service.takeSnapshot();
    cr_assert(fixture.service.restoreSnapshot({}));
    const StoreResponse response = fixture.send(row.method, row.target, row.body);
    cr_assert(response.status == row.status && response.era == "2", "%s: %u, era %s", row.target,
              response.status, response.era.c_str());
}

// After a restore, what the system has written since the copy is lost and its revisions are reused. What the
// operator and the servers wrote is written again. The era increases by one each time.
Test(emulatorRestore, losesWritesOfTheSystem)
{
    RestoreFixture fixture;
    fixture.put("sagecrank", "kept", "a");
    fixture.put("op", "config", "1");
    fixture.service.takeSnapshot();
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

// The store is unavailable at first, and the operator's rows are rewritten later. Rows that the operator
// writes in the meantime are not overwritten.
Test(emulatorRestore, isUnavailableThenRewritten)
{
    RestoreFixture fixture;
    fixture.put("op", "config", "1");
    fixture.put("op", "other", "1");
    fixture.service.takeSnapshot();
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

// An invalid command is rejected and has no effect.
Test(emulatorRestore, invalidCommandIsRejected)
{
    RestoreFixture fixture;
    cr_assert(fixture.send("POST", "/emulator/return", "{}").status == 409);
    cr_assert(fixture.send("POST", "/emulator/copy").status == 200);
    cr_assert(fixture.send("POST", "/emulator/return", R"({"away_ms":-1})").status == 400);
    cr_assert(fixture.send("POST", "/emulator/era", "moon").status == 200);
    cr_assert(fixture.send("GET", "/api/rows-get?table=t&part=").era == "moon");
    cr_assert(fixture.send("POST", "/emulator/era", "own").status == 200);
    cr_assert(fixture.send("GET", "/api/rows-get?table=t&part=").era == "1");
}

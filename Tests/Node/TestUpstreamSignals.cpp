// What a gate reads from the headers in which an upstream states its limit and that it leaves.
#include "GateFixture.h"

#include <Node/Gate/UpstreamSignals.h>
#include <Support/TableTest.h>

#include <algorithm>

using namespace Sagecrank;

namespace {

struct LimitRow
{
    const char *text;
    LimitStatementKind kind;
    double callsPerSecond;
};

const LimitRow limitRows[] = {
    {"17.4", LimitStatementKind::Named, 17.4},
    {"20", LimitStatementKind::Named, 20},
    {"0", LimitStatementKind::Named, 0},
    {"0.25", LimitStatementKind::Named, 0.25},
    {"", LimitStatementKind::None, 0},
    {"-1", LimitStatementKind::Malformed, 0},
    {"nan", LimitStatementKind::Malformed, 0},
    {"inf", LimitStatementKind::Malformed, 0},
    {"1e999", LimitStatementKind::Malformed, 0},
    {"17,4", LimitStatementKind::Malformed, 0},
    {"17.4 17.4", LimitStatementKind::Malformed, 0},
    {"many", LimitStatementKind::Malformed, 0},
};

struct LeavingRow
{
    const char *text;
    bool leaving;
};

const LeavingRow leavingRows[] = {{"1", true}, {"0", false}, {"", false}, {"yes", false}};

bool hasLine(const std::vector<std::string> &lines, const std::string &event, const std::string &fields)
{
    return std::ranges::any_of(lines, [&](const std::string &line) {
        return line.find(event) != std::string::npos && line.find(fields) != std::string::npos;
    });
}

void answer(GateFixture &fixture, const std::string &name, std::vector<Header> headers)
{
    const std::size_t index = fixture.exchanges.size();
    fixture.submit(name, CallClass::Interactive, "");
    cr_assert(fixture.runUntil([&] { return fixture.exchanges.size() > index; }));
    HttpResponse response = makeResponse(200, "text/plain", "done");
    response.headers = std::move(headers);
    fixture.exchanges[index]->respond(std::move(response));
    cr_assert(fixture.runUntil([&] { return fixture.answered(name); }));
}

} // namespace

TABLE_TEST(upstreamSignals, readLimit, limitRows)
{
    const CallHeaders names;
    const UpstreamSignals signals = readUpstreamSignals({{names.upstreamLimit, row.text}}, names);
    cr_assert(signals.limit == (LimitStatement{row.kind, row.callsPerSecond}), "%s", row.text);
}

TABLE_TEST(upstreamSignals, readLeaving, leavingRows)
{
    const CallHeaders names;
    cr_assert(readUpstreamSignals({{names.upstreamLeaving, row.text}}, names).leaving == row.leaving, "%s",
              row.text);
}

Test(upstreamSignals, areLogged)
{
    GateFixture fixture;
    const CallHeaders names;
    answer(fixture, "limited", {{names.upstreamLimit, "17.4"}});
    cr_assert(hasLine(fixture.logged, "6012 upstream.limit_changed", "limit_per_s=17.4"));
    cr_assert(hasLine(fixture.logged, "4013 gate.answered", "call=limited"));
    cr_assert(hasLine(fixture.logged, "4013 gate.answered", "limit_per_s=17.4 leaving=0"));
    answer(fixture, "malformed", {{names.upstreamLimit, "many"}});
    cr_assert(hasLine(fixture.logged, "6013 upstream.limit_malformed", ""));
    answer(fixture, "leaving", {{names.upstreamLeaving, "1"}});
    cr_assert(hasLine(fixture.logged, "6012 upstream.limit_changed", "limit_per_s=\"\""));
    cr_assert(hasLine(fixture.logged, "4013 gate.answered", "leaving=1"));
}

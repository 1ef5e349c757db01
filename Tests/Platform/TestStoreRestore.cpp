// The store comes back from an older copy: its revisions are given out again, and what nodes hold stays.
#include "StoreFixture.h"

#include <random>

using namespace Sagecrank;

namespace {

class ReturnFixture : public StoreFixture
{
public:
    // Version 5 was confirmed and seen; the copy has version 3.
    ReturnFixture()
    {
        this->service.putConfiguration(document(3));
        this->service.takeCopy();
        this->writeRows(10);
        this->service.putConfiguration(document(5));
        this->expectNewest(5, {});
    }

    void writeRows(int count)
    {
        for (int row = 0; row < count; ++row) {
            const Result<void> written =
                this->write({"t", "p", std::to_string(row), "v", false, std::nullopt});
            cr_assert(written.has_value(), "%s", written ? "" : written.error().describe().c_str());
        }
    }

    void expectNewest(std::uint64_t version, const HeadQuery &query)
    {
        const Result<Head> found = this->newest(this->source, query);
        cr_assert(found.has_value() && found.value().version == version, "%s",
                  found ? std::to_string(found.value().version).c_str() : found.error().describe().c_str());
    }

    const VersionSource source = Platform::makeConfigurationFeed(this->client, "site");
};

struct LowerRow
{
    const char *what;
    bool quiet;
    int rowsAfterwards; // That the system writes after the configuration.
};

const LowerRow lowerRows[] = {
    {"the store tells that it does not have the revision", false, 0},
    {"the store says nothing", true, 0},
    {"the revision was given out again", false, 30},
};

constexpr Duration hold = Milliseconds(300);

const unsigned drillSeeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

struct BadEraRow
{
    const char *what;
    const char *stated;
    const char *message;
};

const BadEraRow badEraRows[] = {
    {"it falls", "1", "the era has fallen: 1"},
    {"it is missing", "", "no era is stated"},
    {"it is no number", "moon", "the era is no number: moon"},
    {"it is below zero", "-3", "the era is no number: -3"},
    {"it is followed by something", "3x", "the era is no number: 3x"},
    {"it is too large", "99999999999999999999999", "the era is no number: 99999999999999999999999"},
    {"it is very long", "7777777777777777777777777777777777777777777777777777777777",
     "the era is no number: 7777777777777777777777777777777777777777"},
};

} // namespace

// A configuration is written again, and the next one is written, under lower revisions than the node has
// seen. A watch that waits for the revisions to pass those never hears of them.
TABLE_TEST(storeReturn, aConfigurationUnderALowerRevisionIsTaken, lowerRows)
{
    ReturnFixture fixture;
    cr_assert(fixture.service.returnFromCopy({.writtenAgainAfter = Milliseconds(100), .quiet = row.quiet}));
    // It holds version 3 now, which must not come back.
    fixture.expectNewest(5, {5, Duration::zero(), true});
    fixture.runUntil([] { return false; }, Milliseconds(150));
    fixture.service.putConfiguration(document(8));
    fixture.writeRows(row.rowsAfterwards);
    fixture.expectNewest(8, {5, hold, false});
    // From here on a watch waits for news again, and does not read the row each time.
    const Instant begun = SteadyClock::now();
    fixture.expectNewest(8, {8, hold, false});
    cr_assert(SteadyClock::now() - begun > hold / 2, "%s", row.what);
}

// A watch is under way when the store comes back, and its connection falls silent. Another call of the node
// is answered by the new life of the store; the watch is begun anew then, not when it is given up.
Test(storeReturn, aWatchUnderWayIsBegunAnew)
{
    ReturnFixture fixture;
    std::optional<Result<Head>> seen;
    fixture.source.readHead({5, std::chrono::seconds(20), false},
                            [&seen](Result<Head> head) { seen.emplace(head); });
    fixture.runUntil([] { return false; }, Milliseconds(100));
    cr_assert(fixture.service.returnFromCopy({.forgetsWatches = true}));
    fixture.service.putConfiguration(document(8));
    cr_assert(fixture.rows("t").has_value());
    cr_assert(fixture.runUntil([&seen] { return seen.has_value(); }, Milliseconds(1000)));
    cr_assert(seen->has_value() && seen->value().version == 8);
}

// What is stated as the era cannot be right. The highest one seen stays, it is told once, and configurations
// are followed as before; and when the store states a higher one again, it is believed.
TABLE_TEST(storeReturn, aBadEraChangesNothing, badEraRows)
{
    ReturnFixture fixture;
    std::vector<std::string> doubts;
    fixture.client->era()->setSuspectListener(
        [&doubts](const Error &error) { doubts.push_back(error.message); });
    cr_assert(fixture.service.returnFromCopy({}));
    fixture.expectNewest(5, {5, hold, false});
    fixture.service.stateEra(row.stated);
    for (int read = 0; read < 3; ++read)
        fixture.expectNewest(5, {5, Duration::zero(), false});
    fixture.service.putConfiguration(document(8));
    fixture.expectNewest(8, {5, hold, false});
    cr_assert(fixture.client->era()->highest() == 2);
    cr_assert(doubts.size() == 1 && doubts[0] == row.message, "%s: %zu, %s", row.what, doubts.size(),
              doubts.empty() ? "" : doubts[0].c_str());
    fixture.service.stateEra(std::nullopt);
    cr_assert(fixture.service.returnFromCopy({}));
    fixture.expectNewest(8, {8, Duration::zero(), false});
    cr_assert(fixture.client->era()->highest() == 3);
}

// A store of before there were eras states none; that is no fault.
Test(storeReturn, aStoreWithoutErasIsNotDoubted)
{
    StoreFixture fixture;
    int told = 0;
    fixture.client->era()->addChangeListener([&told](const EraChange &) { ++told; });
    fixture.client->era()->setSuspectListener([&told](const Error &) { ++told; });
    fixture.service.stateEra("");
    cr_assert(fixture.rows("t").has_value());
    cr_assert(told == 0 && !fixture.client->era()->highest());
}

// Two nodes write one row, each on the condition that it is as they read it. The store comes back in between,
// and the revision that the first has read is given out again for what the second wrote. Taken for settled,
// the first's write would have replaced what its writer never saw.
Test(storeReturn, aConditionOfAnEarlierEraSettlesNothing)
{
    StoreFixture fixture;
    const auto other = std::make_shared<Platform::RowsClient>(fixture.context, fixture.server.address());
    fixture.service.takeCopy();
    cr_assert(fixture.write({"t", {}, "k", "first", false, std::nullopt}).has_value());
    const Platform::RowsResponse read = fixture.rows("t").value();
    Platform::RowWrite late{"t", {}, "k", "late", false, read.rows[0].revision, read.era};
    fixture.faults(R"({"delay_ms":400})");
    std::optional<Result<void>> written;
    fixture.client->write(late, [&written](const Result<void> &result) { written.emplace(result); });
    fixture.runUntil([] { return false; }, Milliseconds(50));
    fixture.faults("{}");
    cr_assert(fixture.service.returnFromCopy({}));
    const auto second = fixture.await<Result<void>>([&](auto done) {
        other->write({"t", {}, "k", "second", false, 0, std::nullopt}, done);
    });
    cr_assert(second.has_value());
    cr_assert(fixture.runUntil([&written] { return written.has_value(); }, Milliseconds(2000)));
    cr_assert(!written->has_value() && written->error().kind == ErrorKind::Timeout, "it is not known");

    // Known before it is sent: nothing is done.
    const Platform::RowsResponse now = fixture.rows("t").value();
    late.value = "later";
    late.expectedRevision = now.rows[0].revision;
    const Result<void> again = fixture.write(late);
    cr_assert(!again.has_value() && again.error().kind == ErrorKind::Conflict);
    cr_assert(fixture.rows("t").value().rows[0].value != "later");

    // The row was read anew.
    late.expectedEra = now.era;
    cr_assert(fixture.write(late).has_value());
}

// Drill after drill with draws of everything that may differ: how old the copy is, what was written before
// and after, whether the store says that it lacks a revision, whether the watches under way end. The newest
// configuration that was confirmed comes into sight each time, and none before it comes back.
TABLE_TEST(storeReturn, drillsInARowLoseNothing, drillSeeds)
{
    ReturnFixture fixture;
    std::mt19937 random(row);
    const auto draw = [&random](int most) { return std::uniform_int_distribution<int>(0, most)(random); };
    std::uint64_t confirmed = 5;
    std::uint64_t seen = 5;
    const auto look = [&](Duration wait) {
        const Result<Head> found = fixture.newest(fixture.source, {seen, wait, draw(1) == 0});
        if (!found)
            return;
        cr_assert(found.value().version >= seen, "seed %u: back from %llu", row,
                  static_cast<unsigned long long>(seen));
        seen = found.value().version;
    };
    const auto change = [&] {
        fixture.writeRows(draw(6));
        if (draw(2) == 0)
            return;
        confirmed += 1 + static_cast<std::uint64_t>(draw(2));
        fixture.service.putConfiguration(document(static_cast<int>(confirmed)));
    };
    for (int drill = 0; drill < 15; ++drill) {
        if (draw(3) != 0)
            fixture.service.takeCopy();
        for (int step = draw(2); step >= 0; --step) {
            change();
            if (draw(1) == 0)
                look(Milliseconds(20));
        }
        // One that is under way at the return.
        bool ended = draw(1) == 0;
        if (!ended)
            fixture.source.readHead({seen, Milliseconds(100), false},
                                    [&ended](const Result<Head> &) { ended = true; });
        fixture.runUntil([] { return false; }, Milliseconds(draw(10)));
        ReturnSettings settings;
        settings.away = Milliseconds(draw(20));
        settings.writtenAgainAfter = Milliseconds(draw(60));
        settings.quiet = draw(1) == 0;
        settings.forgetsWatches = draw(1) == 0;
        cr_assert(fixture.service.returnFromCopy(settings));
        fixture.runUntil([] { return false; }, settings.away + Milliseconds(10));
        cr_assert(fixture.runUntil([&] { return !fixture.service.isAway(); }, std::chrono::seconds(20)));
        if (draw(1) == 0)
            change();
        const auto arrived = [&] {
            look(Milliseconds(50));
            return seen == confirmed;
        };
        const Instant limit = SteadyClock::now() + std::chrono::seconds(2);
        while (!arrived() && SteadyClock::now() < limit) {
        }
        cr_assert(seen == confirmed, "seed %u, drill %d: %llu of %llu", row, drill,
                  static_cast<unsigned long long>(seen), static_cast<unsigned long long>(confirmed));
        cr_assert(fixture.runUntil([&ended] { return ended; }, std::chrono::seconds(4)),
                  "a watch never ended");
    }
}

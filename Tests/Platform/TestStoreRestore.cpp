// Tests the client and the configuration feed when the store is restored from an older copy: revisions are
// reused, and nodes keep the configuration they have.
#include "StoreFixture.h"

#include <random>

using namespace Sagecrank;

namespace {

class RestoreFixture : public StoreFixture
{
public:
    // Version 5 was acknowledged and read; the copy has version 3.
    RestoreFixture()
    {
        this->service.putConfiguration(document(3));
        this->service.takeSnapshot();
        this->writeRows(10);
        this->service.putConfiguration(document(5));
        this->expectHead(5, {});
    }

    void writeRows(int count)
    {
        for (int row = 0; row < count; ++row) {
            const Result<void> written =
                this->write({"t", "p", std::to_string(row), "v", false, std::nullopt});
            cr_assert(written.has_value(), "%s", written ? "" : written.error().describe().c_str());
        }
    }

    void expectHead(std::uint64_t version, const HeadQuery &query)
    {
        const Result<Head> found = this->readHead(this->source, query);
        cr_assert(found.has_value() && found.value().version == version, "%s",
                  found ? std::to_string(found.value().version).c_str() : found.error().describe().c_str());
    }

    const VersionSource source = Platform::makeConfigurationFeed(this->client, "site");
};

struct LowerRevisionRow
{
    const char *what;
    bool quiet;
    int rowsAfterwards; // Written by the system after the configuration.
};

const LowerRevisionRow lowerRevisionRows[] = {
    {"the store tells that it does not have the revision", false, 0},
    {"the store says nothing", true, 0},
    {"the revision was given out again", false, 30},
};

constexpr Duration watchTimeout = Milliseconds(300);

const unsigned seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

struct InvalidEraRow
{
    const char *what;
    const char *stated;
    const char *message;
};

const InvalidEraRow invalidEraRows[] = {
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

// A configuration is rewritten, and the next one is written, with lower revisions than the node has seen. A
// watch that waits for higher revisions would miss both.
TABLE_TEST(storeRestore, configurationWithLowerRevisionIsApplied, lowerRevisionRows)
{
    RestoreFixture fixture;
    cr_assert(
        fixture.service.restoreSnapshot({.rewriteDelay = Milliseconds(100), .hidesRevisionLoss = row.quiet}));
    // The store has version 3 now, which must not be applied.
    fixture.expectHead(5, {5, Duration::zero(), true});
    fixture.runUntil([] { return false; }, Milliseconds(150));
    fixture.service.putConfiguration(document(8));
    fixture.writeRows(row.rowsAfterwards);
    fixture.expectHead(8, {5, watchTimeout, false});
    // From now on a watch waits for changes again instead of reading the row each time.
    const Instant begun = SteadyClock::now();
    fixture.expectHead(8, {8, watchTimeout, false});
    cr_assert(SteadyClock::now() - begun > watchTimeout / 2, "%s", row.what);
}

// A watch is pending when the store is restored, and its connection gets no response. When another request of
// the node reveals the new era, the watch is restarted immediately instead of after its timeout.
Test(storeRestore, pendingWatchIsRestarted)
{
    RestoreFixture fixture;
    std::optional<Result<Head>> seen;
    fixture.source.readHead({5, std::chrono::seconds(20), false},
                            [&seen](Result<Head> head) { seen.emplace(head); });
    fixture.runUntil([] { return false; }, Milliseconds(100));
    cr_assert(fixture.service.restoreSnapshot({.abandonsWatches = true}));
    fixture.service.putConfiguration(document(8));
    cr_assert(fixture.rows("t").has_value());
    cr_assert(fixture.runUntil([&seen] { return seen.has_value(); }, Milliseconds(1000)));
    cr_assert(seen->has_value() && seen->value().version == 8);
}

// The store states an invalid era. The highest one seen is kept, the error is reported once, and
// configurations are still followed. A higher era stated later is accepted.
TABLE_TEST(storeRestore, invalidEraIsIgnored, invalidEraRows)
{
    RestoreFixture fixture;
    std::vector<std::string> suspects;
    fixture.client->era()->setSuspectListener(
        [&suspects](const Error &error) { suspects.push_back(error.message); });
    cr_assert(fixture.service.restoreSnapshot({}));
    fixture.expectHead(5, {5, watchTimeout, false});
    fixture.service.overrideEra(row.stated);
    for (int read = 0; read < 3; ++read)
        fixture.expectHead(5, {5, Duration::zero(), false});
    fixture.service.putConfiguration(document(8));
    fixture.expectHead(8, {5, watchTimeout, false});
    cr_assert(fixture.client->era()->highest() == 2);
    cr_assert(suspects.size() == 1 && suspects[0] == row.message, "%s: %zu, %s", row.what, suspects.size(),
              suspects.empty() ? "" : suspects[0].c_str());
    fixture.service.overrideEra(std::nullopt);
    cr_assert(fixture.service.restoreSnapshot({}));
    fixture.expectHead(8, {8, Duration::zero(), false});
    cr_assert(fixture.client->era()->highest() == 3);
}

// A store without support for eras states none, which is not an error.
Test(storeRestore, storeWithoutErasIsNotSuspect)
{
    StoreFixture fixture;
    int notifications = 0;
    fixture.client->era()->addChangeListener([&notifications](const EraChange &) { ++notifications; });
    fixture.client->era()->setSuspectListener([&notifications](const Error &) { ++notifications; });
    fixture.service.overrideEra("");
    cr_assert(fixture.rows("t").has_value());
    cr_assert(notifications == 0 && !fixture.client->era()->highest());
}

// Two nodes write a row, each on condition of the revision it has read. The store is restored in between, and
// the revision that the first node has read is reused for the row that the second node writes. The first
// node's write must not be reported as successful, since it replaced a value that the node never saw.
Test(storeRestore, conditionOfEarlierEraIsNotApplied)
{
    StoreFixture fixture;
    const auto other = std::make_shared<Platform::RowsClient>(fixture.context, fixture.server.address());
    fixture.service.takeSnapshot();
    cr_assert(fixture.write({"t", {}, "k", "first", false, std::nullopt}).has_value());
    const Platform::RowsResponse read = fixture.rows("t").value();
    Platform::RowWrite late{"t", {}, "k", "late", false, read.rows[0].revision, read.era};
    fixture.setFaults(R"({"delay_ms":400})");
    std::optional<Result<void>> written;
    fixture.client->write(late, [&written](const Result<void> &result) { written.emplace(result); });
    fixture.runUntil([] { return false; }, Milliseconds(50));
    fixture.setFaults("{}");
    cr_assert(fixture.service.restoreSnapshot({}));
    const auto second = fixture.await<Result<void>>([&](auto done) {
        other->write({"t", {}, "k", "second", false, 0, std::nullopt}, done);
    });
    cr_assert(second.has_value());
    cr_assert(fixture.runUntil([&written] { return written.has_value(); }, Milliseconds(2000)));
    cr_assert(!written->has_value() && written->error().kind == ErrorKind::Timeout, "it is not known");

    // The era has changed before the write is sent, so it is not sent.
    const Platform::RowsResponse now = fixture.rows("t").value();
    late.value = "later";
    late.expectedRevision = now.rows[0].revision;
    const Result<void> again = fixture.write(late);
    cr_assert(!again.has_value() && again.error().kind == ErrorKind::Conflict);
    cr_assert(fixture.rows("t").value().rows[0].value != "later");

    // The row has been read again.
    late.expectedEra = now.era;
    cr_assert(fixture.write(late).has_value());
}

// Repeats restores with random parameters: the age of the copy, the writes before and after, whether the
// store reports unknown revisions, and whether pending watches end. Each time the newest acknowledged
// configuration must be read, and no older one may reappear.
TABLE_TEST(storeRestore, repeatedRestoresLoseNothing, seeds)
{
    RestoreFixture fixture;
    std::mt19937 random(row);
    const auto randomUpTo = [&random](int most) {
        return std::uniform_int_distribution<int>(0, most)(random);
    };
    std::uint64_t confirmed = 5;
    std::uint64_t seen = 5;
    const auto readHeadOnce = [&](Duration wait) {
        const Result<Head> found = fixture.readHead(fixture.source, {seen, wait, randomUpTo(1) == 0});
        if (!found)
            return;
        cr_assert(found.value().version >= seen, "seed %u: back from %llu", row,
                  static_cast<unsigned long long>(seen));
        seen = found.value().version;
    };
    const auto change = [&] {
        fixture.writeRows(randomUpTo(6));
        if (randomUpTo(2) == 0)
            return;
        confirmed += 1 + static_cast<std::uint64_t>(randomUpTo(2));
        fixture.service.putConfiguration(document(static_cast<int>(confirmed)));
    };
    for (int drill = 0; drill < 15; ++drill) {
        if (randomUpTo(3) != 0)
            fixture.service.takeSnapshot();
        for (int step = randomUpTo(2); step >= 0; --step) {
            change();
            if (randomUpTo(1) == 0)
                readHeadOnce(Milliseconds(20));
        }
        // A watch that is pending during the restore.
        bool ended = randomUpTo(1) == 0;
        if (!ended)
            fixture.source.readHead({seen, Milliseconds(100), false},
                                    [&ended](const Result<Head> &) { ended = true; });
        fixture.runUntil([] { return false; }, Milliseconds(randomUpTo(10)));
        RestoreSettings settings;
        settings.outage = Milliseconds(randomUpTo(20));
        settings.rewriteDelay = Milliseconds(randomUpTo(60));
        settings.hidesRevisionLoss = randomUpTo(1) == 0;
        settings.abandonsWatches = randomUpTo(1) == 0;
        cr_assert(fixture.service.restoreSnapshot(settings));
        fixture.runUntil([] { return false; }, settings.outage + Milliseconds(10));
        cr_assert(
            fixture.runUntil([&] { return !fixture.service.isUnavailable(); }, std::chrono::seconds(20)));
        if (randomUpTo(1) == 0)
            change();
        const auto upToDate = [&] {
            readHeadOnce(Milliseconds(50));
            return seen == confirmed;
        };
        const Instant limit = SteadyClock::now() + std::chrono::seconds(2);
        while (!upToDate() && SteadyClock::now() < limit) {
        }
        cr_assert(seen == confirmed, "seed %u, drill %d: %llu of %llu", row, drill,
                  static_cast<unsigned long long>(seen), static_cast<unsigned long long>(confirmed));
        cr_assert(fixture.runUntil([&ended] { return ended; }, std::chrono::seconds(4)),
                  "a watch never ended");
    }
}

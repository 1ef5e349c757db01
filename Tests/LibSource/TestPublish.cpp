// Operators publish while others do and while the platform loses answers. What each is told must be true then
// and stay true.
#include <LibConfig/Assemble.h>
#include <LibSource/FakePlatform.h>
#include <LibSource/Publisher.h>
#include <Support/TableTest.h>

#include <deque>
#include <memory>

using namespace Sagecrank;

namespace {

constexpr Milliseconds longEnough{60000};

std::vector<RenderedSite> castle(std::uint32_t queue, std::size_t services = 2, std::size_t siteCount = 1)
{
    std::vector<RenderedSite> sites;
    for (std::size_t site = 0; site < siteCount; ++site) {
        RenderedSite rendered{"sj-" + std::to_string(site + 1), {}};
        for (std::size_t i = 0; i < services; ++i) {
            const std::string name = "service-" + std::to_string(i);
            Route route;
            route.name = name;
            route.prefix = "/" + name;
            rendered.sections.push_back({name, i == 0 ? queue : 64, {route}});
        }
        sites.push_back(std::move(rendered));
    }
    return sites;
}

std::shared_ptr<std::optional<PublishResult>> publish(FakePlatform &platform, std::uint32_t queue,
                                                      const std::string &who,
                                                      std::optional<std::uint64_t> expected = std::nullopt)
{
    const auto report = std::make_shared<std::optional<PublishResult>>();
    Publisher(platform.tablePort(), platform.objectPort(), platform.scheduler())
        .publish(castle(queue), {expected, "id-" + who, who, 1},
                 [report](const PublishResult &given) { *report = given; });
    return report;
}

PublishResult publishNow(FakePlatform &platform, std::uint32_t queue, const std::string &who,
                         std::optional<std::uint64_t> expected = std::nullopt)
{
    const auto report = publish(platform, queue, who, expected);
    platform.run(longEnough);
    cr_assert(report->has_value(), "no report");
    return **report;
}

Head headOf(const FakePlatform &platform)
{
    return parseHead(platform.row(headKey())).value();
}

// Reads the version in force as a node does; the queue of its first service tells which content it is.
std::uint32_t queueInForce(FakePlatform &platform)
{
    std::uint32_t queue = 0;
    const VersionReader reader(platform.objectPort());
    reader.manifest(headOf(platform), [&](const Result<VersionManifest> &manifest) {
        reader.site(manifest.value(), "sj-1", [&](const Result<SiteManifest> &site) {
            const auto bytes = std::make_shared<SectionBytes>();
            for (const SectionReference &section : site.value().sections) {
                reader.section(section.digest, [&, bytes, site, section](const Result<ObjectBytes> &read) {
                    (*bytes)[section.digest] = read.value();
                    if (bytes->size() == site.value().sections.size())
                        queue = assemble(site.value(), *bytes).value().sections[0].maximumQueue;
                });
            }
        });
    });
    platform.run(Milliseconds(100));
    return queue;
}

std::string operatorOf(const FakePlatform &platform, std::uint64_t version)
{
    const auto row = platform.row(historyKey(version));
    return row ? parseHistory(*row).value().operatorName : "";
}

struct LostRow
{
    const char *name;
    std::deque<WriteOutcome> fates; // Of the transactions that move the head.
    bool otherWins;                 // Another operator's publish lands while this one is in doubt.
    PublishOutcome outcome;
    std::uint64_t head; // Afterwards; the first publish made it 1.
};

using Fate = WriteOutcome;

const LostRow lostRows[] = {
    {"answered", {}, false, PublishOutcome::Accepted, 2},
    {"answer lost after the effect", {Fate::ResponseLost}, false, PublishOutcome::Accepted, 2},
    {"answer lost, and another publishes after it", {Fate::ResponseLost}, true, PublishOutcome::Accepted, 3},
    {"request lost", {Fate::RequestLost}, false, PublishOutcome::Accepted, 2},
    {"request lost, and another wins", {Fate::RequestLost}, true, PublishOutcome::Conflict, 2},
    {"effect after the read-back", {Fate::AppliedLate}, false, PublishOutcome::Accepted, 2},
    {"two copies land late", {Fate::AppliedLate, Fate::AppliedLate}, false, PublishOutcome::Accepted, 2},
    {"late, and another wins before it lands", {Fate::AppliedLate}, true, PublishOutcome::Conflict, 2},
    {"every request lost",
     {Fate::RequestLost, Fate::RequestLost, Fate::RequestLost, Fate::RequestLost, Fate::RequestLost},
     false,
     PublishOutcome::Unknown,
     1},
};

const std::uint32_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};

} // namespace

Test(publish, aNodeReadsWhatWasPublished)
{
    FakePlatform platform;
    cr_assert(publishNow(platform, 7, "anna").version == 1);
    cr_assert(queueInForce(platform) == 7);
    const PublishResult second = publishNow(platform, 8, "bent", 1);
    cr_assert(second.outcome == PublishOutcome::Accepted);
    cr_assert(second.version == 2);
    cr_assert(queueInForce(platform) == 8);
    std::vector<HistoryEntry> history;
    HeadReader(platform.tablePort()).history(10, [&](const Result<std::vector<HistoryEntry>> &entries) {
        history = entries.value();
    });
    platform.run(longEnough);
    cr_assert(history.size() == 2);
    cr_assert(history[0].version == 2 && history[0].operatorName == "bent");
    cr_assert(history[1].version == 1 && history[1].operatorName == "anna");
}

// The transaction that moves the head is sent; its answer, or the request, is lost, or it lands only later,
// perhaps after another operator's. "Accepted" must mean that the version has its place in the history, and
// "conflict" that it never will.
TABLE_TEST(publish, lostAnswersNeverLie, lostRows)
{
    FakePlatform platform;
    cr_assert(publishNow(platform, 7, "anna").outcome == PublishOutcome::Accepted);
    auto fates = row.fates;
    platform.drawWriteOutcome = [&] {
        if (fates.empty())
            return WriteOutcome::Acknowledged;
        const WriteOutcome next = fates.front();
        fates.pop_front();
        return next;
    };
    const auto report = publish(platform, 8, "bent");
    while (row.otherWins && !fates.empty())
        platform.step(platform.now + longEnough);
    if (row.otherWins) {
        platform.run(Milliseconds(5));
        publish(platform, 9, "carl");
    }
    platform.run(longEnough);
    cr_assert(report->has_value(), "%s", row.name);
    cr_assert((*report)->outcome == row.outcome, "%s: %s %s", row.name,
              std::string(publishOutcomeNames.name((*report)->outcome)).c_str(),
              (*report)->error.message.c_str());
    cr_assert(headOf(platform).version == row.head, "%s", row.name);
    if (row.outcome == PublishOutcome::Accepted) {
        cr_assert((*report)->version == 2);
        cr_assert(operatorOf(platform, 2) == "bent", "%s", row.name);
    }
    if (row.outcome == PublishOutcome::Conflict) {
        cr_assert((*report)->winner.version == 2, "%s", row.name);
        cr_assert((*report)->winner.operatorName == "carl", "%s", row.name);
        cr_assert(operatorOf(platform, 2) == "carl", "%s", row.name);
    }
}

// Two operators edit at the same moment and publish over the same version. Exactly one wins; the other is
// told which version beat it and whose it is, and nothing of the two is mixed.
TABLE_TEST(publish, ofTwoOperatorsOneWins, seeds)
{
    FakePlatform platform(row);
    cr_assert(publishNow(platform, 7, "anna").outcome == PublishOutcome::Accepted);
    const auto first = publish(platform, 8, "bent", 1);
    const auto second = publish(platform, 9, "carl", 1);
    platform.run(longEnough);
    const bool bentWon = (*first)->outcome == PublishOutcome::Accepted;
    const PublishResult &loser = bentWon ? **second : **first;
    cr_assert(bentWon || (*second)->outcome == PublishOutcome::Accepted);
    cr_assert(loser.outcome == PublishOutcome::Conflict);
    cr_assert(loser.winner.version == 2);
    cr_assert(loser.winner.operatorName == (bentWon ? "bent" : "carl"));
    cr_assert(headOf(platform).version == 2);
    cr_assert(queueInForce(platform) == (bentWon ? 8 : 9));
}

// Six operators publish again and again over a platform that loses and delays writes. Every report is
// compared with the history once all late writes have landed.
TABLE_TEST(publish, reportsAgreeWithHistory, seeds)
{
    FakePlatform platform(row);
    std::mt19937 random(row + 100);
    platform.drawWriteOutcome = [&] {
        const WriteOutcome fates[] = {Fate::ResponseLost, Fate::RequestLost, Fate::AppliedLate};
        return random() % 100 < 50 ? fates[random() % 3] : Fate::Acknowledged;
    };
    std::vector<std::pair<std::string, std::shared_ptr<std::optional<PublishResult>>>> reports;
    for (std::uint32_t i = 0; i < 60; ++i) {
        const std::string who = "operator-" + std::to_string(i);
        reports.emplace_back(who, publish(platform, i + 1, who));
        platform.run(Milliseconds(random() % 400));
    }
    platform.run(longEnough);
    int accepted = 0;
    for (const auto &[who, report] : reports) {
        cr_assert(report->has_value(), "seed %u %s: no report", row, who.c_str());
        bool inHistory = false;
        for (std::uint64_t version = 1; version <= headOf(platform).version; ++version)
            inHistory = inHistory || operatorOf(platform, version) == who;
        const PublishOutcome outcome = (*report)->outcome;
        accepted += outcome == PublishOutcome::Accepted ? 1 : 0;
        if (outcome == PublishOutcome::Accepted)
            cr_assert(operatorOf(platform, (*report)->version) == who, "seed %u %s", row, who.c_str());
        else if (outcome != PublishOutcome::Unknown)
            cr_assert(!inHistory, "seed %u %s: %s but in the history", row, who.c_str(),
                      std::string(publishOutcomeNames.name(outcome)).c_str());
    }
    cr_assert(accepted > 5, "seed %u: %d accepted", row, accepted);
}

// An operator's files were made from version 1; version 2 came in between.
Test(publish, anOldExpectationLosesToTheVersionInForce)
{
    FakePlatform platform;
    publishNow(platform, 7, "anna");
    publishNow(platform, 8, "bent");
    const PublishResult report = publishNow(platform, 9, "carl", 1);
    cr_assert(report.outcome == PublishOutcome::Conflict);
    cr_assert(report.winner.version == 2 && report.winner.operatorName == "bent");
    cr_assert(queueInForce(platform) == 8);
}

Test(publish, rollingBackIsANewVersion)
{
    FakePlatform platform;
    publishNow(platform, 7, "anna");
    publishNow(platform, 8, "bent");
    const auto roll = [&](std::uint64_t to) {
        PublishResult report;
        Publisher(platform.tablePort(), platform.objectPort(), platform.scheduler())
            .rollback(to, {2, "id-roll", "dora", 1}, [&](const PublishResult &given) { report = given; });
        platform.run(longEnough);
        return report;
    };
    cr_assert(roll(2).error.kind == ErrorKind::InvalidInput);
    cr_assert(roll(9).error.kind == ErrorKind::InvalidInput);
    const int writesBefore = platform.objectWrites;
    const PublishResult report = roll(1);
    cr_assert(report.outcome == PublishOutcome::Accepted);
    cr_assert(report.version == 3);
    cr_assert(platform.objectWrites - writesBefore == 1);
    cr_assert(queueInForce(platform) == 7);
    cr_assert(parseHistory(*platform.row(historyKey(3))).value().rolledBackTo == 1);
    cr_assert(roll(1).outcome == PublishOutcome::Conflict); // Over 2, but 3 is in force.
}

// The platform is down, or a site does not check. Nothing is accepted, and the operator is told so.
Test(publish, whatCannotBeWrittenOrCheckedFails)
{
    FakePlatform platform;
    publishNow(platform, 7, "anna");
    platform.down = true;
    cr_assert(publishNow(platform, 8, "bent").outcome == PublishOutcome::Failed);
    platform.down = false;
    platform.objectsDown = true;
    cr_assert(publishNow(platform, 8, "bent").outcome == PublishOutcome::Failed);
    cr_assert(headOf(platform).version == 1); // A head without its objects would hold up every node.
    platform.objectsDown = false;
    std::vector<RenderedSite> bad = castle(8);
    bad[0].sections[1].routes[0].prefix = bad[0].sections[0].routes[0].prefix;
    PublishResult report;
    Publisher(platform.tablePort(), platform.objectPort(), platform.scheduler())
        .publish(bad, {1, "id-bad", "bent", 1}, [&](const PublishResult &given) { report = given; });
    platform.run(longEnough);
    cr_assert(report.outcome == PublishOutcome::Failed);
    cr_assert(report.error.kind == ErrorKind::InvalidInput);
    cr_assert(headOf(platform).version == 1);
}

// Load: 7,800 changes a day at 820 services. A change of one service must not write the other 819 again.
Test(publish, aSmallChangeWritesLittle)
{
    FakePlatform platform;
    const auto publishSites = [&](std::uint32_t queue) {
        PublishResult report;
        Publisher(platform.tablePort(), platform.objectPort(), platform.scheduler())
            .publish(castle(queue, 820, 4), {std::nullopt, "id-" + std::to_string(queue), "anna", 1},
                     [&](const PublishResult &given) { report = given; });
        platform.run(longEnough);
        return report.outcome;
    };
    cr_assert(publishSites(1) == PublishOutcome::Accepted);
    cr_assert(platform.objectWrites == 820 + 4 - 3 + 1); // The four sites are alike, so one list.
    platform.objectWrites = 0;
    platform.itemsWritten = 0;
    cr_assert(publishSites(2) == PublishOutcome::Accepted);
    cr_assert(platform.objectWrites == 3, "%d", platform.objectWrites); // Section, list and manifest.
    cr_assert(platform.itemsWritten == 2);
}

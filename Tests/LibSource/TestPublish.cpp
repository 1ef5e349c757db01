// Tests concurrent publishes on a platform that loses responses. The result reported to each operator must be
// true and remain true.
#include <LibConfig/Assemble.h>
#include <LibSource/FakePlatform.h>
#include <LibSource/Publisher.h>
#include <Support/TableTest.h>

#include <deque>
#include <memory>

using namespace Sagecrank;

namespace {

constexpr Milliseconds runDuration{60000};

std::vector<RenderedSite> makeSites(std::uint32_t queue, std::size_t services = 2, std::size_t siteCount = 1)
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
    const auto result = std::make_shared<std::optional<PublishResult>>();
    Publisher(platform.tablePort(), platform.objectPort(), platform.scheduler())
        .publish(makeSites(queue), {expected, "id-" + who, who, 1},
                 [result](const PublishResult &received) { *result = received; });
    return result;
}

PublishResult publishNow(FakePlatform &platform, std::uint32_t queue, const std::string &who,
                         std::optional<std::uint64_t> expected = std::nullopt)
{
    const auto result = publish(platform, queue, who, expected);
    platform.run(runDuration);
    cr_assert(result->has_value(), "no report");
    return **result;
}

Head headOf(const FakePlatform &platform)
{
    return parseHead(platform.row(headKey())).value();
}

// Reads the version in force as a node does. The queue length of its first service identifies the content.
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
    std::deque<WriteOutcome> writeOutcomes; // Of the transactions that advance the head.
    bool otherWins; // Another operator publishes while the outcome of this publish is unknown.
    PublishOutcome outcome;
    std::uint64_t head; // Afterwards; the first publish made it 1.
};

using Write = WriteOutcome;

const LostRow lostRows[] = {
    {"answered", {}, false, PublishOutcome::Accepted, 2},
    {"answer lost after the effect", {Write::ResponseLost}, false, PublishOutcome::Accepted, 2},
    {"answer lost, and another publishes after it", {Write::ResponseLost}, true, PublishOutcome::Accepted, 3},
    {"request lost", {Write::RequestLost}, false, PublishOutcome::Accepted, 2},
    {"request lost, and another wins", {Write::RequestLost}, true, PublishOutcome::Conflict, 2},
    {"effect after the read-back", {Write::AppliedLate}, false, PublishOutcome::Accepted, 2},
    {"two copies land late", {Write::AppliedLate, Write::AppliedLate}, false, PublishOutcome::Accepted, 2},
    {"late, and another wins before it lands", {Write::AppliedLate}, true, PublishOutcome::Conflict, 2},
    {"every request lost",
     {Write::RequestLost, Write::RequestLost, Write::RequestLost, Write::RequestLost, Write::RequestLost},
     false,
     PublishOutcome::Unknown,
     1},
};

const std::uint32_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12};

} // namespace

Test(publish, nodeReadsPublishedVersion)
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
    platform.run(runDuration);
    cr_assert(history.size() == 2);
    cr_assert(history[0].version == 2 && history[0].operatorName == "bent");
    cr_assert(history[1].version == 1 && history[1].operatorName == "anna");
}

// The request or the response of the transaction that advances the head is lost, or the transaction is
// applied late, perhaps after another operator's. "Accepted" must mean that the version is in the history,
// and "conflict" that it never will be.
TABLE_TEST(publish, resultIsTrueAfterLostResponses, lostRows)
{
    FakePlatform platform;
    cr_assert(publishNow(platform, 7, "anna").outcome == PublishOutcome::Accepted);
    auto writeOutcomes = row.writeOutcomes;
    platform.drawWriteOutcome = [&] {
        if (writeOutcomes.empty())
            return WriteOutcome::Acknowledged;
        const WriteOutcome next = writeOutcomes.front();
        writeOutcomes.pop_front();
        return next;
    };
    const auto result = publish(platform, 8, "bent");
    while (row.otherWins && !writeOutcomes.empty())
        platform.step(platform.now + runDuration);
    if (row.otherWins) {
        platform.run(Milliseconds(5));
        publish(platform, 9, "carl");
    }
    platform.run(runDuration);
    cr_assert(result->has_value(), "%s", row.name);
    cr_assert((*result)->outcome == row.outcome, "%s: %s %s", row.name,
              std::string(publishOutcomeNames.name((*result)->outcome)).c_str(),
              (*result)->error.message.c_str());
    cr_assert(headOf(platform).version == row.head, "%s", row.name);
    if (row.outcome == PublishOutcome::Accepted) {
        cr_assert((*result)->version == 2);
        cr_assert(operatorOf(platform, 2) == "bent", "%s", row.name);
    }
    if (row.outcome == PublishOutcome::Conflict) {
        cr_assert((*result)->winner.version == 2, "%s", row.name);
        cr_assert((*result)->winner.operatorName == "carl", "%s", row.name);
        cr_assert(operatorOf(platform, 2) == "carl", "%s", row.name);
    }
}

// Two operators publish over the same version at the same time. Exactly one wins; the other is told which
// version won and who published it, and the contents of the two are not mixed.
TABLE_TEST(publish, exactlyOneOfTwoOperatorsWins, seeds)
{
    FakePlatform platform(row);
    cr_assert(publishNow(platform, 7, "anna").outcome == PublishOutcome::Accepted);
    const auto first = publish(platform, 8, "bent", 1);
    const auto second = publish(platform, 9, "carl", 1);
    platform.run(runDuration);
    const bool bentWon = (*first)->outcome == PublishOutcome::Accepted;
    const PublishResult &loser = bentWon ? **second : **first;
    cr_assert(bentWon || (*second)->outcome == PublishOutcome::Accepted);
    cr_assert(loser.outcome == PublishOutcome::Conflict);
    cr_assert(loser.winner.version == 2);
    cr_assert(loser.winner.operatorName == (bentWon ? "bent" : "carl"));
    cr_assert(headOf(platform).version == 2);
    cr_assert(queueInForce(platform) == (bentWon ? 8 : 9));
}

// Sixty operators publish on a platform that loses and delays writes. Every result is compared with the
// history after all late writes have been applied.
TABLE_TEST(publish, resultsAgreeWithHistory, seeds)
{
    FakePlatform platform(row);
    std::mt19937 random(row + 100);
    platform.drawWriteOutcome = [&] {
        const WriteOutcome writeOutcomes[] = {Write::ResponseLost, Write::RequestLost, Write::AppliedLate};
        return random() % 100 < 50 ? writeOutcomes[random() % 3] : Write::Acknowledged;
    };
    std::vector<std::pair<std::string, std::shared_ptr<std::optional<PublishResult>>>> results;
    for (std::uint32_t i = 0; i < 60; ++i) {
        const std::string who = "operator-" + std::to_string(i);
        results.emplace_back(who, publish(platform, i + 1, who));
        platform.run(Milliseconds(random() % 400));
    }
    platform.run(runDuration);
    int accepted = 0;
    for (const auto &[who, result] : results) {
        cr_assert(result->has_value(), "seed %u %s: no report", row, who.c_str());
        bool inHistory = false;
        for (std::uint64_t version = 1; version <= headOf(platform).version; ++version)
            inHistory = inHistory || operatorOf(platform, version) == who;
        const PublishOutcome outcome = (*result)->outcome;
        accepted += outcome == PublishOutcome::Accepted ? 1 : 0;
        if (outcome == PublishOutcome::Accepted)
            cr_assert(operatorOf(platform, (*result)->version) == who, "seed %u %s", row, who.c_str());
        else if (outcome != PublishOutcome::Unknown)
            cr_assert(!inHistory, "seed %u %s: %s but in the history", row, who.c_str(),
                      std::string(publishOutcomeNames.name(outcome)).c_str());
    }
    cr_assert(accepted > 5, "seed %u: %d accepted", row, accepted);
}

// The operator's files are based on version 1, but version 2 was published in between.
Test(publish, outdatedExpectedVersionConflicts)
{
    FakePlatform platform;
    publishNow(platform, 7, "anna");
    publishNow(platform, 8, "bent");
    const PublishResult result = publishNow(platform, 9, "carl", 1);
    cr_assert(result.outcome == PublishOutcome::Conflict);
    cr_assert(result.winner.version == 2 && result.winner.operatorName == "bent");
    cr_assert(queueInForce(platform) == 8);
}

Test(publish, rollbackCreatesNewVersion)
{
    FakePlatform platform;
    publishNow(platform, 7, "anna");
    publishNow(platform, 8, "bent");
    const auto roll = [&](std::uint64_t to) {
        PublishResult result;
        Publisher(platform.tablePort(), platform.objectPort(), platform.scheduler())
            .rollback(to, {2, "id-roll", "dora", 1},
                      [&](const PublishResult &received) { result = received; });
        platform.run(runDuration);
        return result;
    };
    cr_assert(roll(2).error.kind == ErrorKind::InvalidInput);
    cr_assert(roll(9).error.kind == ErrorKind::InvalidInput);
    const int writesBefore = platform.objectWrites;
    const PublishResult result = roll(1);
    cr_assert(result.outcome == PublishOutcome::Accepted);
    cr_assert(result.version == 3);
    cr_assert(platform.objectWrites - writesBefore == 1);
    cr_assert(queueInForce(platform) == 7);
    cr_assert(parseHistory(*platform.row(historyKey(3))).value().rolledBackTo == 1);
    cr_assert(roll(1).outcome == PublishOutcome::Conflict); // Expects version 2, but 3 is in force.
}

// The platform is down or a site fails validation. Nothing is accepted, and the operator is told so.
Test(publish, failsWhenUnwritableOrInvalid)
{
    FakePlatform platform;
    publishNow(platform, 7, "anna");
    platform.down = true;
    cr_assert(publishNow(platform, 8, "bent").outcome == PublishOutcome::Failed);
    platform.down = false;
    platform.objectsDown = true;
    cr_assert(publishNow(platform, 8, "bent").outcome == PublishOutcome::Failed);
    cr_assert(headOf(platform).version == 1); // A head without its objects would block every node.
    platform.objectsDown = false;
    std::vector<RenderedSite> bad = makeSites(8);
    bad[0].sections[1].routes[0].prefix = bad[0].sections[0].routes[0].prefix;
    PublishResult result;
    Publisher(platform.tablePort(), platform.objectPort(), platform.scheduler())
        .publish(bad, {1, "id-bad", "bent", 1}, [&](const PublishResult &received) { result = received; });
    platform.run(runDuration);
    cr_assert(result.outcome == PublishOutcome::Failed);
    cr_assert(result.error.kind == ErrorKind::InvalidInput);
    cr_assert(headOf(platform).version == 1);
}

// With 7,800 changes per day and 820 services, a change of one service must not write the other 819 again.
Test(publish, smallChangeWritesFewObjects)
{
    FakePlatform platform;
    const auto publishSites = [&](std::uint32_t queue) {
        PublishResult result;
        Publisher(platform.tablePort(), platform.objectPort(), platform.scheduler())
            .publish(makeSites(queue, 820, 4), {std::nullopt, "id-" + std::to_string(queue), "anna", 1},
                     [&](const PublishResult &received) { result = received; });
        platform.run(runDuration);
        return result.outcome;
    };
    cr_assert(publishSites(1) == PublishOutcome::Accepted);
    cr_assert(platform.objectWrites == 820 + 4 - 3 + 1); // The four sites are identical and share one list.
    platform.objectWrites = 0;
    platform.itemsWritten = 0;
    cr_assert(publishSites(2) == PublishOutcome::Accepted);
    cr_assert(platform.objectWrites == 3, "%d", platform.objectWrites); // Section, list and manifest.
    cr_assert(platform.itemsWritten == 2);
}

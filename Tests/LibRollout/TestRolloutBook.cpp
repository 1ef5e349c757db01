// Tests which versions may get calls, and how nodes agree on the state of a roll-out.
#include <LibRollout/RolloutBook.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

const Instant start = Instant() + std::chrono::hours(1);

RolloutOrder makeOrder(std::uint64_t sequence, const std::string &target = "v2")
{
    return {"booking", target, std::chrono::seconds(12), sequence};
}

RolloutRecord makeRecord(std::uint64_t sequence, RolloutStage stage)
{
    return {makeOrder(sequence), "v1", stage, start + std::chrono::seconds(12), start};
}

std::vector<VersionedUpstream> upstreamsOf(std::size_t established, std::size_t target)
{
    std::vector<VersionedUpstream> upstreams(established, {"booking", "v1", true});
    upstreams.insert(upstreams.end(), target, {"booking", "v2", true});
    return upstreams;
}

struct StageRow
{
    const char *what;
    std::optional<RolloutStage> stage;
    bool establishedServes;
    bool targetServes;
    bool targetOnTrial;
};

const StageRow stageRows[] = {
    {"no order is known yet", std::nullopt, true, false, false},
    {"probing", RolloutStage::Probing, true, false, true},
    {"loading", RolloutStage::Loading, true, false, true},
    {"watching", RolloutStage::Watching, true, false, true},
    {"moving", RolloutStage::Moving, true, true, false},
    {"rolling back", RolloutStage::RollingBack, true, false, false},
    {"rolled back", RolloutStage::RolledBack, true, false, false},
    {"completed", RolloutStage::Completed, false, true, false},
};

} // namespace

// Each stage allows exactly the versions that it names, also before the order is known.
TABLE_TEST(rolloutBook, stagesDecideWhichVersionsServe, stageRows)
{
    RolloutBook book;
    book.observeUpstreams(upstreamsOf(3, 0));
    book.observeUpstreams(upstreamsOf(3, 5));
    if (row.stage) {
        book.recordOrder(start, makeOrder(7));
        book.raiseStage(start, "booking", 7, *row.stage);
    }
    const VersionRule rule = book.rule("booking");
    cr_assert(rule.serves("v1") == row.establishedServes, "%s", row.what);
    cr_assert(rule.serves("v2") == row.targetServes, "%s", row.what);
    cr_assert(rule.isOnTrial("v2") == row.targetOnTrial, "%s", row.what);
    cr_assert(!rule.isOnTrial("v1"), "%s", row.what);
}

// The new upstreams of a roll-out may be more than the established ones before its order is known.
Test(rolloutBook, establishedVersionStaysWhileItIsAvailable)
{
    RolloutBook book;
    book.observeUpstreams(upstreamsOf(3, 0));
    book.observeUpstreams(upstreamsOf(1, 5));
    cr_assert(book.rule("booking").serves("v1"));
    cr_assert(!book.rule("booking").serves("v2"));
    book.observeUpstreams(upstreamsOf(0, 5));
    cr_assert(book.rule("booking").serves("v2"), "no order forbids it, and nothing else is left");
}

// A crash of all upstreams of the established version must not expose all calls to a version on trial.
Test(rolloutBook, targetIsNeverEstablishedByAbsenceOfTheOther)
{
    RolloutBook book;
    book.observeUpstreams(upstreamsOf(3, 3));
    book.recordOrder(start, makeOrder(7));
    book.observeUpstreams(upstreamsOf(0, 3));
    cr_assert(!book.rule("booking").serves("v2"));
}

// A node that starts in the middle of a roll-out may see the target's upstreams first.
Test(rolloutBook, nodeThatKnowsTheOrderFirstDoesNotTakeItsTargetForEstablished)
{
    RolloutBook book;
    book.recordOrder(start, makeOrder(7));
    book.observeUpstreams(upstreamsOf(0, 5));
    cr_assert(!book.rule("booking").serves("v2"));
    book.observeUpstreams(upstreamsOf(1, 5));
    cr_assert(book.rule("booking").serves("v1"));
    cr_assert(book.find("booking")->established == "v1");
}

struct MergeRow
{
    const char *what;
    std::uint64_t heldSequence;
    RolloutStage held;
    std::uint64_t remoteSequence;
    RolloutStage remote;
    std::uint64_t sequence;
    RolloutStage expected;
};

const MergeRow mergeRows[] = {
    {"a later stage", 7, RolloutStage::Probing, 7, RolloutStage::Moving, 7, RolloutStage::Moving},
    {"an earlier stage", 7, RolloutStage::Moving, 7, RolloutStage::Probing, 7, RolloutStage::Moving},
    {"a verdict against a move", 7, RolloutStage::Moving, 7, RolloutStage::RollingBack, 7,
     RolloutStage::RollingBack},
    {"a recorded end against a verdict", 7, RolloutStage::RollingBack, 7, RolloutStage::Completed, 7,
     RolloutStage::Completed},
    {"the verdict on an older order", 7, RolloutStage::Probing, 6, RolloutStage::RolledBack, 7,
     RolloutStage::Probing},
    {"a newer order", 7, RolloutStage::RolledBack, 8, RolloutStage::Probing, 8, RolloutStage::Probing},
};

// Records arrive in any order and more than once.
TABLE_TEST(rolloutBook, nodesAgreeOnTheLatestStage, mergeRows)
{
    for (const bool heldFirst : {true, false}) {
        RolloutBook book;
        const RolloutRecord held = makeRecord(row.heldSequence, row.held);
        const RolloutRecord remote = makeRecord(row.remoteSequence, row.remote);
        book.merge(start, heldFirst ? held : remote);
        book.merge(start, heldFirst ? remote : held);
        book.merge(start, heldFirst ? held : remote);
        const RolloutRecord *record = book.find("booking");
        cr_assert(record->order.sequence == row.sequence, "%s", row.what);
        cr_assert(record->stage == row.expected, "%s", row.what);
    }
}

// A node that starts after a roll-out learns of it from another node and forgets it later.
Test(rolloutBook, completedTargetStaysEstablished)
{
    RolloutBook book;
    book.merge(start, makeRecord(7, RolloutStage::Completed));
    book.forgetEnded(start + std::chrono::seconds(1));
    book.observeUpstreams(upstreamsOf(3, 1));
    cr_assert(book.rule("booking").serves("v2"));
    cr_assert(!book.rule("booking").serves("v1"));
}

// The row of an order stays in the store and is read again by nodes that start.
Test(rolloutBook, forgottenOrderIsNotTakenUpAgain)
{
    RolloutBook book;
    book.observeUpstreams(upstreamsOf(3, 3));
    book.recordOrder(start, makeOrder(7));
    book.raiseStage(start, "booking", 7, RolloutStage::RolledBack);
    cr_assert(book.forgetEnded(start + std::chrono::seconds(1)));
    cr_assert(!book.recordOrder(start, makeOrder(7)));
    cr_assert(!book.merge(start, makeRecord(7, RolloutStage::Probing)));
    cr_assert(book.recordOrder(start, makeOrder(8)));
}

// After the store was restored, the operator writes orders again that were completed long ago.
Test(rolloutBook, orderForTheEstablishedVersionHasNothingToMove)
{
    RolloutBook book;
    book.observeUpstreams(upstreamsOf(0, 3));
    book.recordOrder(start, makeOrder(9));
    cr_assert(book.find("booking")->stage == RolloutStage::Moving);
    cr_assert(book.rule("booking").serves("v2"));
}

Test(rolloutBook, withdrawnOrderIsRolledBack)
{
    RolloutBook book;
    book.observeUpstreams(upstreamsOf(3, 3));
    cr_assert(!book.withdrawOrder(start, "booking"));
    book.recordOrder(start, makeOrder(7));
    cr_assert(book.withdrawOrder(start, "booking"));
    cr_assert(book.find("booking")->stage == RolloutStage::RollingBack);
}

// A record survives the way to another node, with its deadline by that node's clock.
Test(rolloutRecord, travelsWithRelativeTimes)
{
    const RolloutRecord record = makeRecord(7, RolloutStage::Loading);
    const Instant there = Instant() + std::chrono::hours(5);
    const Result<RolloutRecord> decoded = decodeRecord(encodeRecord(record, start), there, "peer");
    cr_assert(decoded.has_value());
    cr_assert(decoded.value().order == record.order);
    cr_assert(decoded.value().established == "v1");
    cr_assert(decoded.value().stage == RolloutStage::Loading);
    cr_assert(decoded.value().deadline == there + std::chrono::seconds(12));
    cr_assert(!decodeRecord("garbage", there, "peer").has_value());
    cr_assert(!decodeRecord("", there, "peer").has_value());
}

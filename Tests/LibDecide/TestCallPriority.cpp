// Who goes first at a gate, and what callers get when calls that run wait for nested ones.
#include <LibDecide/CallPriority.h>
#include <LibDecide/TargetGate.h>

#include <LibDecide/TargetLoad.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct OrderRow
{
    const char *what;
    CallPriorityInputs first;
    CallPriorityInputs second; // Goes after the first.
};

const OrderRow orderRows[] = {
    {"routes without accounts", {0}, {1}},
    {"the account before the route", {5, 0, true}, {0, 1, true}},
    {"the route within an account", {0, 1, true}, {1, 1, true}},
    {"a nested call before all accounts", {9, {}, true, true}, {0, 0, true}},
    {"a public call beside the first account", {0, {}, true}, {1, 0, true}},
    {"a public call before a later account", {9, {}, true}, {0, 1, true}},
    {"priorities beyond the range of an account", {0, 1, true}, {0, 0xffffffff, true}},
};

const std::uint64_t seeds[] = {1, 2, 3, 4, 5};

// A gate at 1.3 times its slots. Half of the demand is nested.
std::vector<LoadKind> nestedMix(std::uint32_t nestedPriority)
{
    return {
        {"outer", 60, 130, 0.3, 1, Milliseconds(1000), Milliseconds(2500)},
        {"nested", 130, 60, 0.5, nestedPriority, Milliseconds(250), Milliseconds(800)},
    };
}

std::map<std::string, LoadOutcome> runGate(std::uint32_t nestedPriority, std::uint64_t seed)
{
    constexpr std::uint32_t slots = 12;
    TargetLoad load(makeAdmissionHooks(std::make_shared<TargetGate>(TargetGateSettings{slots, 256, seed})),
                    slots, seed);
    return load.run(nestedMix(nestedPriority), std::chrono::seconds(30));
}

} // namespace

TABLE_TEST(callPriority, ordersCalls, orderRows)
{
    cr_assert_lt(priorityOfCall(row.first), priorityOfCall(row.second), "%s", row.what);
}

// Deployments that do not ask for it keep the priorities of their routes.
Test(callPriority, isThatOfTheRouteUnlessAskedFor)
{
    cr_assert_eq(priorityOfCall({7}), 7u);
    cr_assert_eq(priorityOfCall({7, {}, false, true}), 7u);
}

// Running calls failed because their nested calls were refused behind new ones.
TABLE_TEST(callPriority, nestedCallsAreAnsweredInTimeUnderOverload, seeds)
{
    const auto first = runGate(priorityOfCall({1, {}, true, true}), row);
    const auto among = runGate(2, row);
    cr_assert_geq(first.at("nested").inTimeShare(), 0.95, "seed %lu: %f", row,
                  first.at("nested").inTimeShare());
    cr_assert_gt(first.at("nested").inTimeShare(), among.at("nested").inTimeShare());
    cr_assert_geq(first.at("outer").servedShare(), 0.25);
}

// Which large bodies are granted at a time, and the order in which the queued ones follow.
#include <LibDecide/BodyGrants.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

// A link of 1000 bytes a second, so 300 bytes may be in flight.
BodyGrants makeSmallLink(std::size_t maximumQueued = 256)
{
    BodyGrantSettings settings;
    settings.bytesPerSecond = 1000;
    settings.maximumQueued = maximumQueued;
    return BodyGrants(settings);
}

using BodyIds = std::vector<BodyGrants::BodyId>;

struct OrderRow
{
    const char *what;
    std::vector<std::uint32_t> priorities; // Of the queued bodies by arrival; their ids count from 1.
    BodyIds granted;
};

const OrderRow orderRows[] = {
    {"equal priorities in order of arrival", {1, 1, 1}, {1, 2, 3}},
    {"a later body of higher priority goes first", {2, 1, 0}, {3, 2, 1}},
    {"behind earlier bodies of the same priority", {1, 0, 1, 0}, {2, 4, 1, 3}},
};

struct FitRow
{
    const char *what;
    double bytesPerSecond;
    std::vector<std::uint64_t> bytes;
    std::vector<BodyGrantResult> answers;
};

const FitRow fitRows[] = {
    {"an unlimited link grants everything",
     0,
     {1 << 20, 1 << 20},
     {BodyGrantResult::Granted, BodyGrantResult::Granted}},
    {"up to the in-flight limit",
     1000,
     {100, 200, 1},
     {BodyGrantResult::Granted, BodyGrantResult::Granted, BodyGrantResult::Queued}},
    {"a single body may exceed the limit",
     1000,
     {5000, 1},
     {BodyGrantResult::Granted, BodyGrantResult::Queued}},
    {"a small body does not overtake",
     1000,
     {250, 100, 10},
     {BodyGrantResult::Granted, BodyGrantResult::Queued, BodyGrantResult::Queued}},
};

const std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

} // namespace

TABLE_TEST(bodyGrants, grantsUpToTheInFlightLimit, fitRows)
{
    BodyGrantSettings settings;
    settings.bytesPerSecond = row.bytesPerSecond;
    BodyGrants grants(settings);
    for (std::size_t index = 0; index < row.bytes.size(); ++index)
        cr_assert(grants.request(Instant{}, index + 1, row.bytes[index], 1) == row.answers[index], "%s",
                  row.what);
}

TABLE_TEST(bodyGrants, grantsByPriorityThenArrival, orderRows)
{
    BodyGrants grants = makeSmallLink();
    const Instant now{};
    cr_assert(grants.request(now, 100, 300, 1) == BodyGrantResult::Granted);
    BodyGrants::BodyId id = 0;
    for (const std::uint32_t priority : row.priorities)
        cr_assert(grants.request(now, ++id, 300, priority) == BodyGrantResult::Queued);
    BodyIds granted;
    BodyGrants::BodyId current = 100;
    while (grants.queued() > 0) {
        cr_assert(grants.advance(now).empty());
        grants.release(current);
        const BodyIds next = grants.advance(now);
        cr_assert(next.size() == 1, "%s", row.what);
        current = next[0];
        granted.push_back(current);
    }
    cr_assert(granted == row.granted, "%s", row.what);
}

// A sender dies after its grant. The queued body is granted when that grant expires, and ending the dead
// sender's call later does not free its bytes twice.
Test(bodyGrants, unusedGrantExpires)
{
    BodyGrants grants = makeSmallLink();
    const Instant now{};
    cr_assert(grants.request(now, 1, 300, 1) == BodyGrantResult::Granted);
    cr_assert(grants.request(now, 2, 300, 1) == BodyGrantResult::Queued);
    const Instant expiry = grants.nextExpiry().value();
    cr_assert(grants.advance(expiry - 1ms).empty());
    cr_assert(grants.advance(expiry) == BodyIds{2});
    grants.release(1);
    cr_assert(grants.request(expiry, 3, 1, 1) == BodyGrantResult::Queued);
}

// A caller gives up while its body is queued, so the next body is granted instead.
Test(bodyGrants, cancelledBodyLeavesTheQueue)
{
    BodyGrants grants = makeSmallLink();
    const Instant now{};
    cr_assert(grants.request(now, 1, 300, 1) == BodyGrantResult::Granted);
    cr_assert(grants.request(now, 2, 300, 1) == BodyGrantResult::Queued);
    cr_assert(grants.request(now, 3, 300, 1) == BodyGrantResult::Queued);
    cr_assert(grants.expectedDelay(300, 1) == 1200ms);
    cr_assert(grants.expectedDelay(300, 0) == 600ms);
    grants.release(2);
    grants.release(1);
    cr_assert(grants.advance(now) == BodyIds{3});
}

// Requests beyond the queue's capacity are rejected and leave the queue unchanged.
Test(bodyGrants, queueIsBounded)
{
    BodyGrants grants = makeSmallLink(2);
    const Instant now{};
    cr_assert(grants.request(now, 1, 300, 1) == BodyGrantResult::Granted);
    cr_assert(grants.request(now, 2, 300, 1) == BodyGrantResult::Queued);
    cr_assert(grants.request(now, 3, 300, 1) == BodyGrantResult::Queued);
    cr_assert(grants.request(now, 4, 300, 0) == BodyGrantResult::QueueFull);
    cr_assert(grants.queued() == 2);
}

// For any sequence of requests, releases and expiries: the granted bytes stay within the limit unless there
// is only one body, each body is granted at most once, and no body waits while nothing is granted.
TABLE_TEST(bodyGrants, invariantsHoldUnderRandomOperations, seeds)
{
    std::mt19937_64 random(row);
    BodyGrants grants = makeSmallLink(16);
    Instant now{};
    std::vector<std::uint64_t> bytes(1, 0);
    std::set<BodyGrants::BodyId> granted;
    std::set<BodyGrants::BodyId> waiting;
    std::set<BodyGrants::BodyId> everGranted;
    const auto note = [&](BodyGrants::BodyId id) {
        waiting.erase(id);
        granted.insert(id);
        cr_assert(everGranted.insert(id).second);
    };
    for (int step = 0; step < 5000; ++step) {
        now += std::chrono::milliseconds(random() % 20);
        const BodyGrants::BodyId id = bytes.size();
        bytes.push_back(1 + random() % 400);
        const BodyGrantResult answer = grants.request(now, id, bytes[id], random() % 3);
        if (answer == BodyGrantResult::Granted)
            note(id);
        if (answer == BodyGrantResult::Queued)
            waiting.insert(id);
        const BodyGrants::BodyId ended = 1 + random() % id;
        grants.release(ended);
        granted.erase(ended);
        waiting.erase(ended);
        const bool mayExpire = grants.nextExpiry().value_or(Instant::max()) <= now;
        for (const BodyGrants::BodyId turn : grants.advance(now))
            note(turn);
        cr_assert(grants.queued() == waiting.size());
        if (mayExpire) {
            for (const BodyGrants::BodyId known : granted)
                grants.release(known);
            granted.clear();
            for (const BodyGrants::BodyId turn : grants.advance(now))
                note(turn);
        }
        std::uint64_t current = 0;
        for (const BodyGrants::BodyId known : granted)
            current += bytes[known];
        cr_assert(current <= 300 || granted.size() == 1);
        cr_assert(waiting.empty() || !granted.empty());
    }
}

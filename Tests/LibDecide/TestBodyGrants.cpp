// Which large bodies may cross a link at a time, and in which order the others follow.
#include <LibDecide/BodyGrants.h>

#include <Support/TableTest.h>

#include <algorithm>
#include <random>
#include <set>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

// A link of 1000 bytes a second carries 300 ahead.
BodyGrants smallLink(std::size_t maximumQueued = 256)
{
    BodyGrantSettings settings;
    settings.bytesPerSecond = 1000;
    settings.maximumQueued = maximumQueued;
    return BodyGrants(settings);
}

using Names = std::vector<BodyGrants::BodyId>;

struct OrderRow
{
    const char *what;
    std::vector<std::uint32_t> priorities; // Of those that wait, by arrival, with names from 1 on.
    Names turns;
};

const OrderRow orderRows[] = {
    {"equals go by arrival", {1, 1, 1}, {1, 2, 3}},
    {"an urgent one that comes last goes first", {2, 1, 0}, {3, 2, 1}},
    {"an urgent one goes behind its equals", {1, 0, 1, 0}, {2, 4, 1, 3}},
};

struct FitRow
{
    const char *what;
    double bytesPerSecond;
    std::vector<std::uint64_t> bytes;
    std::vector<BodyGrantResult> answers;
};

const FitRow fitRows[] = {
    {"a link that is not told grants all",
     0,
     {1 << 20, 1 << 20},
     {BodyGrantResult::Granted, BodyGrantResult::Granted}},
    {"up to what the link carries ahead",
     1000,
     {100, 200, 1},
     {BodyGrantResult::Granted, BodyGrantResult::Granted, BodyGrantResult::Queued}},
    {"one alone may be larger than that",
     1000,
     {5000, 1},
     {BodyGrantResult::Granted, BodyGrantResult::Queued}},
    {"a small one does not overtake",
     1000,
     {250, 100, 10},
     {BodyGrantResult::Granted, BodyGrantResult::Queued, BodyGrantResult::Queued}},
};

const std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

} // namespace

TABLE_TEST(bodyGrants, grantsWhatTheLinkCarriesAhead, fitRows)
{
    BodyGrantSettings settings;
    settings.bytesPerSecond = row.bytesPerSecond;
    BodyGrants grants(settings);
    for (std::size_t index = 0; index < row.bytes.size(); ++index)
        cr_assert(grants.request(Instant{}, index + 1, row.bytes[index], 1) == row.answers[index], "%s",
                  row.what);
}

TABLE_TEST(bodyGrants, turnsGoByPriorityThenArrival, orderRows)
{
    BodyGrants grants = smallLink();
    const Instant now{};
    cr_assert(grants.request(now, 100, 300, 1) == BodyGrantResult::Granted);
    BodyGrants::BodyId name = 0;
    for (const std::uint32_t priority : row.priorities)
        cr_assert(grants.request(now, ++name, 300, priority) == BodyGrantResult::Queued);
    Names turns;
    BodyGrants::BodyId under = 100;
    while (grants.queued() > 0) {
        cr_assert(grants.advance(now).empty());
        grants.release(under);
        const Names next = grants.advance(now);
        cr_assert(next.size() == 1, "%s", row.what);
        under = next[0];
        turns.push_back(under);
    }
    cr_assert(turns == row.turns, "%s", row.what);
}

// A sender dies after its grant. What waits behind it goes on once the grant has lived its time, and the end
// of the dead one's call frees nothing twice.
Test(bodyGrants, aGrantWhoseBodyDoesNotComeExpires)
{
    BodyGrants grants = smallLink();
    const Instant now{};
    cr_assert(grants.request(now, 1, 300, 1) == BodyGrantResult::Granted);
    cr_assert(grants.request(now, 2, 300, 1) == BodyGrantResult::Queued);
    const Instant expiry = grants.nextExpiry().value();
    cr_assert(grants.advance(expiry - 1ms).empty());
    cr_assert(grants.advance(expiry) == Names{2});
    grants.release(1);
    cr_assert(grants.request(expiry, 3, 1, 1) == BodyGrantResult::Queued);
}

// A caller gives up while its body waits: its turn goes to the next.
Test(bodyGrants, oneThatGivesUpLeavesTheLine)
{
    BodyGrants grants = smallLink();
    const Instant now{};
    cr_assert(grants.request(now, 1, 300, 1) == BodyGrantResult::Granted);
    cr_assert(grants.request(now, 2, 300, 1) == BodyGrantResult::Queued);
    cr_assert(grants.request(now, 3, 300, 1) == BodyGrantResult::Queued);
    cr_assert(grants.expectedDelay(300, 1) == 1200ms);
    cr_assert(grants.expectedDelay(300, 0) == 600ms);
    grants.release(2);
    grants.release(1);
    cr_assert(grants.advance(now) == Names{3});
}

// More ask than the line holds: they are turned away and the line stays as it is.
Test(bodyGrants, theLineIsBounded)
{
    BodyGrants grants = smallLink(2);
    const Instant now{};
    cr_assert(grants.request(now, 1, 300, 1) == BodyGrantResult::Granted);
    cr_assert(grants.request(now, 2, 300, 1) == BodyGrantResult::Queued);
    cr_assert(grants.request(now, 3, 300, 1) == BodyGrantResult::Queued);
    cr_assert(grants.request(now, 4, 300, 0) == BodyGrantResult::QueueFull);
    cr_assert(grants.queued() == 2);
}

// Whatever is asked, ended and let expire: never more under way than the link carries ahead unless it is one
// body alone, each is granted once at most, and nothing waits while there is room for it.
TABLE_TEST(bodyGrants, holdsItsBoundWhateverComes, seeds)
{
    std::mt19937_64 random(row);
    BodyGrants grants = smallLink(16);
    Instant now{};
    std::vector<std::uint64_t> bytes(1, 0);
    std::set<BodyGrants::BodyId> granted;
    std::set<BodyGrants::BodyId> waiting;
    std::set<BodyGrants::BodyId> everGranted;
    const auto note = [&](BodyGrants::BodyId name) {
        waiting.erase(name);
        granted.insert(name);
        cr_assert(everGranted.insert(name).second);
    };
    for (int step = 0; step < 5000; ++step) {
        now += std::chrono::milliseconds(random() % 20);
        const BodyGrants::BodyId name = bytes.size();
        bytes.push_back(1 + random() % 400);
        const BodyGrantResult answer = grants.request(now, name, bytes[name], random() % 3);
        if (answer == BodyGrantResult::Granted)
            note(name);
        if (answer == BodyGrantResult::Queued)
            waiting.insert(name);
        const BodyGrants::BodyId ended = 1 + random() % name;
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
        std::uint64_t under = 0;
        for (const BodyGrants::BodyId known : granted)
            under += bytes[known];
        cr_assert(under <= 300 || granted.size() == 1);
        cr_assert(waiting.empty() || !granted.empty());
    }
}

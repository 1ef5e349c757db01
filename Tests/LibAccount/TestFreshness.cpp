// Proofs that a configuration is recent: never younger than the truth, and lost when they mean nothing.
#include <LibAccount/Freshness.h>

#include <Support/TableTest.h>

#include <functional>

using namespace Sagecrank;
using namespace std::chrono_literals;

namespace {

// The store's clock shows 5 s when this node's shows 105 s.
constexpr BootTime offset = 100s;

void answer(Freshness &freshness, BootTime at, BootTime roundTrip = 4ms)
{
    freshness.observeAnswer(at, at + roundTrip, at + roundTrip / 2 - offset);
}

struct AgeRow
{
    const char *what;
    std::function<void(Freshness &)> events;
    std::optional<Duration> least; // Of the age at 110 s; nothing: there must be no proof.
    Duration most = 0s;
};

const AgeRow ageRows[] = {
    {"a restarted process has no proof", [](Freshness &) {}, std::nullopt},
    {"a proof of a peer means nothing before the store answered this node",
     [](Freshness &freshness) {
         freshness.setHeldVersion(3);
         freshness.observeProof(110s, {3, 9s});
     },
     std::nullopt},
    {"a proof of the held version",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.setHeldVersion(3);
         freshness.observeProof(110s, {3, 9s});
     },
     1s, 1002ms},
    {"a proof of an older version holds for the newer one that is held",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.setHeldVersion(4);
         freshness.observeProof(110s, {3, 9s});
     },
     1s, 1002ms},
    {"a proof of a version that is not held proves nothing",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.setHeldVersion(2);
         freshness.observeProof(110s, {3, 9s});
     },
     std::nullopt},
    {"the last proof of the held version stays when a newer version is announced",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.setHeldVersion(2);
         freshness.observeProof(108s, {2, 8s});
         freshness.observeProof(110s, {3, 9s});
     },
     2s, 2002ms},
    {"a proof counts from when its version is held",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.observeProof(110s, {3, 9s});
         freshness.setHeldVersion(3);
     },
     1s, 1002ms},
    {"an older proof that arrives late changes nothing",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.setHeldVersion(3);
         freshness.observeProof(110s, {3, 9s});
         freshness.observeProof(110s, {3, 6s});
     },
     1s, 1002ms},
    {"a proof from the future is not believed",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.setHeldVersion(3);
         freshness.observeProof(110s, {3, 60s});
     },
     std::nullopt},
    {"a slow answer makes a proof look older, not younger",
     [](Freshness &freshness) {
         answer(freshness, 104s, 2s);
         freshness.setHeldVersion(3);
         freshness.observeProof(110s, {3, 9s});
     },
     1s, 2s},
    {"a store clock that was set back takes all proofs along",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.setHeldVersion(3);
         freshness.observeProof(106s, {3, 5s});
         freshness.observeAnswer(109s, 109s + 4ms, 1s);
     },
     std::nullopt},
    {"a store clock that was set forward takes all proofs along",
     [](Freshness &freshness) {
         answer(freshness, 105s);
         freshness.setHeldVersion(3);
         freshness.observeProof(106s, {3, 5s});
         freshness.observeAnswer(109s, 109s + 4ms, 900s);
     },
     std::nullopt},
};

} // namespace

TABLE_TEST(freshness, ageIsNeverBelowTheTruth, ageRows)
{
    Freshness freshness;
    row.events(freshness);
    const std::optional<Duration> age = freshness.age(110s);
    cr_assert_eq(age.has_value(), row.least.has_value(), "%s", row.what);
    if (row.least)
        cr_assert(*age >= *row.least && *age <= row.most, "%s: %ld us", row.what,
                  static_cast<long>(std::chrono::duration_cast<Microseconds>(*age).count()));
}

// A node that is cut off would accept revoked keys for ever if the age of its proof stood still.
Test(freshness, ageGrowsWithoutNewProofs)
{
    Freshness freshness;
    answer(freshness, 105s);
    freshness.setHeldVersion(1);
    freshness.observeProof(105s, {1, 5s});
    cr_assert(*freshness.age(111s) >= 6s);
    cr_assert(*freshness.age(200s) >= 95s);
}

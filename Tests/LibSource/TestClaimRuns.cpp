// Many keys, gates and faults at once, from a seed: whatever the table loses, delays or refuses and whoever
// dies or pauses, no key runs twice and "not run" is always true.
#include <LibSource/ClaimFixture.h>
#include <Support/TableTest.h>

#include <map>
#include <set>

using namespace Sagecrank;

namespace {

struct RunRow
{
    std::uint32_t seed;
    std::uint32_t lostPercent; // Of writes: a third each answer lost, request lost, effect late.
    std::uint32_t diesPercent; // Of granted calls: the holder dies before it says how it ended.
    bool outages;
};

const RunRow runRows[] = {
    {1, 0, 0, false}, {2, 10, 0, false}, {3, 30, 0, false},  {4, 30, 10, false}, {5, 30, 10, true},
    {6, 60, 5, true}, {7, 20, 0, true},  {8, 60, 20, false}, {9, 90, 0, true},   {10, 5, 5, true},
};

constexpr std::size_t gateCount = 4;
constexpr int keyCount = 60;
constexpr int attemptCount = 1500;

// Every second run has its puts grouped always, as a busy node has.
ClaimSettings settingsOf(const RunRow &row)
{
    ClaimSettings settings;
    if (row.seed % 2 == 0)
        settings.batching.requestsBeforeBatching = 0;
    return settings;
}

// Callers that try again at random gates, and upstreams that count what ran.
class Run
{
public:
    explicit Run(const RunRow &row)
        : row(row)
        , fixture(gateCount, row.seed, settingsOf(row))
        , random(row.seed * 7919)
    {
        this->fixture.platform.drawWriteOutcome = [this] { return this->drawFate(); };
    }

    void attempt(const std::string &key)
    {
        const std::size_t gate = this->random() % gateCount;
        const std::string attempt = "attempt-" + std::to_string(++this->attempts);
        const Instant deadline = this->fixture.platform.now + Milliseconds(5 + (this->random() % 600));
        this->fixture.gates[gate]->claim(key, attempt, deadline,
                                         [this, gate, key, attempt, deadline](const ClaimResponse &answer) {
                                             this->answered(gate, key, attempt, deadline, answer);
                                         });
    }

    void answered(std::size_t gate, const std::string &key, const std::string &attempt, Instant deadline,
                  const ClaimResponse &answer)
    {
        cr_assert(this->answeredAttempts.insert(attempt).second, "%s answered twice", attempt.c_str());
        if (answer.decision == ClaimDecision::AlreadyDone)
            cr_assert(this->ran[key] == answer.outcome.body, "%s: another's outcome", key.c_str());
        if (answer.decision == ClaimDecision::NotRun)
            cr_assert(answer.retryAfter > Duration(0));
        if (answer.decision != ClaimDecision::Granted)
            return;
        cr_assert(this->fixture.platform.now < deadline, "%s granted too late", attempt.c_str());
        this->granted(gate, key, attempt);
    }

    void granted(std::size_t gate, const std::string &key, const std::string &attempt)
    {
        if (this->random() % 10 == 0) { // The upstream left in the meantime.
            this->fixture.gates[gate]->release(key, attempt);
            return;
        }
        cr_assert(this->ran.emplace(key, attempt).second, "%s ran twice", key.c_str());
        if (this->random() % 100 < this->row.diesPercent) {
            this->dead.insert(key);
            return;
        }
        this->fixture.platform.scheduler()(Milliseconds(this->random() % 300), [this, gate, key, attempt] {
            this->fixture.gates[gate]->finish(key, attempt, {200, "text/plain", attempt, true});
        });
    }

    WriteOutcome drawFate()
    {
        if (this->healthy || this->random() % 100 >= this->row.lostPercent)
            return WriteOutcome::Acknowledged;
        const WriteOutcome fates[] = {WriteOutcome::ResponseLost, WriteOutcome::RequestLost,
                                      WriteOutcome::AppliedLate};
        return fates[this->random() % 3];
    }

    const RunRow &row;
    ClaimFixture fixture;
    std::mt19937 random;
    bool healthy = false;
    int attempts = 0;
    std::map<std::string, std::string> ran; // Key to the attempt that ran.
    std::set<std::string> dead;             // Keys whose holder died.
    std::set<std::string> answeredAttempts;
};

} // namespace

// Callers repeat keyed calls through four gates while the table loses answers, applies writes late, goes away
// for a while, and holders die. In the end the table is well again: every key that did not run must be free,
// and every key that ran must say so or, where its holder died, "unknown".
TABLE_TEST(claimRuns, noKeyRunsTwice, runRows)
{
    Run run(row);
    for (int i = 0; i < attemptCount; ++i) {
        run.fixture.platform.down = row.outages && (i / 100) % 3 == 2;
        run.attempt("key-" + std::to_string(run.random() % keyCount));
        run.fixture.run(Milliseconds(run.random() % 12));
        if (run.random() % 100 == 0) // Every process is paused, and its timers are late.
            run.fixture.platform.now += Milliseconds(run.random() % 900);
    }
    run.healthy = true;
    run.fixture.platform.down = false;
    run.fixture.run(Milliseconds(70000));
    cr_assert(run.answeredAttempts.size() == static_cast<std::size_t>(run.attempts), "an answer is missing");
    for (int i = 0; i < keyCount; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const bool ran = run.ran.count(key) != 0;
        const auto last = run.fixture.claim(i % gateCount, key, "last-" + key);
        run.fixture.run(Milliseconds(50));
        if (run.dead.count(key) != 0) { // The gate that granted it still waits for its end.
            cr_assert(last->decision == ClaimDecision::Unknown
                      || last->decision == ClaimDecision::InProgress);
            continue;
        }
        const ClaimDecision wanted = ran ? ClaimDecision::AlreadyDone : ClaimDecision::Granted;
        cr_assert(last->decision == wanted, "%s: %s %s", key.c_str(),
                  std::string(claimDecisionNames.name(last->decision)).c_str(), last->reason.c_str());
    }
}

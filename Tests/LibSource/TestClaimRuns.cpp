// Randomised test of claims with many keys, nodes and faults: whatever the table loses, delays or rejects,
// and whichever process crashes or pauses, no key runs twice and "not run" is always true.
#include <LibSource/ClaimFixture.h>
#include <Support/TableTest.h>

#include <map>
#include <set>

using namespace Sagecrank;

namespace {

struct ClaimRunRow
{
    std::uint32_t seed;
    std::uint32_t lostPercent;  // Of writes: a third each response lost, request lost, applied late.
    std::uint32_t crashPercent; // Of granted calls: the process crashes before it records the result.
    bool outages;
};

const ClaimRunRow runRows[] = {
    {1, 0, 0, false}, {2, 10, 0, false}, {3, 30, 0, false},  {4, 30, 10, false}, {5, 30, 10, true},
    {6, 60, 5, true}, {7, 20, 0, true},  {8, 60, 20, false}, {9, 90, 0, true},   {10, 5, 5, true},
};

constexpr std::size_t gateCount = 4;
constexpr int keyCount = 60;
constexpr int attemptCount = 1500;

// Every second run always batches its puts, like a busy node.
ClaimSettings settingsOf(const ClaimRunRow &row)
{
    ClaimSettings settings;
    if (row.seed % 2 == 0)
        settings.batching.requestsBeforeBatching = 0;
    return settings;
}

// Simulates callers that retry at random gates, and upstreams that record which attempts ran.
class ClaimRun
{
public:
    explicit ClaimRun(const ClaimRunRow &row)
        : row(row)
        , fixture(gateCount, row.seed, settingsOf(row))
        , random(row.seed * 7919)
    {
        this->fixture.platform.drawWriteOutcome = [this] { return this->randomWriteOutcome(); };
    }

    void attempt(const std::string &key)
    {
        const std::size_t gate = this->random() % gateCount;
        const std::string attempt = "attempt-" + std::to_string(++this->attempts);
        const Instant deadline = this->fixture.platform.now + Milliseconds(5 + (this->random() % 600));
        this->fixture.gates[gate]->claim(key, attempt, deadline,
                                         [this, gate, key, attempt, deadline](const ClaimResponse &response) {
                                             this->handleResponse(gate, key, attempt, deadline, response);
                                         });
    }

    void handleResponse(std::size_t gate, const std::string &key, const std::string &attempt,
                        Instant deadline, const ClaimResponse &response)
    {
        cr_assert(this->attemptsWithResponse.insert(attempt).second, "%s answered twice", attempt.c_str());
        if (response.decision == ClaimDecision::AlreadyDone)
            cr_assert(this->ran[key] == response.outcome.body, "%s: another's outcome", key.c_str());
        if (response.decision == ClaimDecision::NotRun)
            cr_assert(response.retryAfter > Duration(0));
        if (response.decision != ClaimDecision::Granted)
            return;
        cr_assert(this->fixture.platform.now < deadline, "%s granted too late", attempt.c_str());
        this->granted(gate, key, attempt);
    }

    void granted(std::size_t gate, const std::string &key, const std::string &attempt)
    {
        if (this->random() % 10 == 0) { // The upstream has gone in the meantime.
            this->fixture.gates[gate]->release(key, attempt);
            return;
        }
        cr_assert(this->ran.emplace(key, attempt).second, "%s ran twice", key.c_str());
        if (this->random() % 100 < this->row.crashPercent) {
            this->crashedKeys.insert(key);
            return;
        }
        this->fixture.platform.scheduler()(Milliseconds(this->random() % 300), [this, gate, key, attempt] {
            this->fixture.gates[gate]->finish(key, attempt, {200, "text/plain", attempt, true});
        });
    }

    WriteOutcome randomWriteOutcome()
    {
        if (this->healthy || this->random() % 100 >= this->row.lostPercent)
            return WriteOutcome::Acknowledged;
        const WriteOutcome outcomes[] = {WriteOutcome::ResponseLost, WriteOutcome::RequestLost,
                                         WriteOutcome::AppliedLate};
        return outcomes[this->random() % 3];
    }

    const ClaimRunRow &row;
    ClaimFixture fixture;
    std::mt19937 random;
    bool healthy = false;
    int attempts = 0;
    std::map<std::string, std::string> ran; // Key to the attempt that ran.
    std::set<std::string> crashedKeys;
    std::set<std::string> attemptsWithResponse;
};

} // namespace

// Callers repeat keyed calls through four gates while the table loses responses, applies writes late and has
// outages, and processes crash. After the table has recovered, every key that did not run must be free, and
// every key that ran must report so or, if its process crashed, "unknown".
TABLE_TEST(claimRuns, noKeyRunsTwice, runRows)
{
    ClaimRun run(row);
    for (int i = 0; i < attemptCount; ++i) {
        run.fixture.platform.down = row.outages && (i / 100) % 3 == 2;
        run.attempt("key-" + std::to_string(run.random() % keyCount));
        run.fixture.run(Milliseconds(run.random() % 12));
        if (run.random() % 100 == 0) // All processes pause, so their timers fire late.
            run.fixture.platform.now += Milliseconds(run.random() % 900);
    }
    run.healthy = true;
    run.fixture.platform.down = false;
    run.fixture.run(Milliseconds(70000));
    cr_assert(run.attemptsWithResponse.size() == static_cast<std::size_t>(run.attempts),
              "an answer is missing");
    for (int i = 0; i < keyCount; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const bool ran = run.ran.count(key) != 0;
        const auto last = run.fixture.claim(i % gateCount, key, "last-" + key);
        run.fixture.run(Milliseconds(50));
        if (run.crashedKeys.count(key) != 0) { // The gate that granted it still waits for its result.
            cr_assert(last->decision == ClaimDecision::Unknown
                      || last->decision == ClaimDecision::InProgress);
            continue;
        }
        const ClaimDecision wanted = ran ? ClaimDecision::AlreadyDone : ClaimDecision::Granted;
        cr_assert(last->decision == wanted, "%s: %s %s", key.c_str(),
                  std::string(claimDecisionNames.name(last->decision)).c_str(), last->reason.c_str());
    }
}

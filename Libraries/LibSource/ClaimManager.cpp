// Claims of idempotency keys: see ClaimManager.h, and ClaimRow.h for the states of a row.
#include <LibSource/ClaimManager.h>

#include <algorithm>

namespace Sagecrank {

ClaimKeeper::ClaimKeeper(TablePort tablePort, ClaimSettings claimSettings, ClaimClocks claimClocks)
    : table(tablePort)
    , settings(claimSettings)
    , clocks(std::move(claimClocks))
    , grouper(tablePort, claimSettings.grouping, this->clocks.now)
    , circuit(claimSettings.circuit)
    , settler(std::move(tablePort), this->grouper, claimSettings.settling, this->clocks.now,
              [this](const std::string &key, bool) { this->settled(key); })
{
}

void ClaimKeeper::claim(const std::string &key, const std::string &attempt, Instant deadline,
                        ClaimCallback callback)
{
    ++this->counts.claims;
    const Instant current = this->clocks.now();
    if (const auto found = this->entries.find(key); found != this->entries.end())
        return this->answerFromHere(found->second, callback);
    const char *refusal = nullptr;
    if (current >= deadline)
        refusal = "deadline_passed";
    else if (this->deadlines.size() >= this->settings.maximumWaiting)
        refusal = "too_many_claims_wait";
    else if (!this->circuit.admit(current))
        refusal = "claims_table_down";
    if (refusal != nullptr) {
        this->count(ClaimVerdict::NotRun);
        return callback(this->notRun(refusal));
    }
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - current);
    const std::uint64_t wall = this->clocks.wallMilliseconds();
    const auto life = std::chrono::duration_cast<std::chrono::seconds>(this->settings.rowLife);
    Entry &entry = this->entries[key];
    entry.claim.key = key;
    entry.claim.attempt = attempt;
    entry.claim.deadline = wall + static_cast<std::uint64_t>(remaining.count());
    entry.claim.expiresAt = (wall / 1000) + static_cast<std::uint64_t>(life.count());
    entry.deadline = deadline;
    entry.callback = std::move(callback);
    entry.backoff = this->settings.firstRetry;
    this->deadlines.insert({deadline, key});
    this->put(entry);
}

void ClaimKeeper::finish(const std::string &key, const std::string &attempt, RecordedOutcome outcome)
{
    Entry *entry = this->running(key, attempt);
    if (entry == nullptr)
        return;
    const ConditionalPut record = recordPut(entry->claim, std::move(outcome));
    entry->outcome = parseClaim(record.row).value().outcome;
    entry->phase = Phase::Recording;
    if (!this->settler.add(entry->claim, record))
        this->settled(key);
}

void ClaimKeeper::release(const std::string &key, const std::string &attempt)
{
    if (Entry *entry = this->running(key, attempt))
        this->startRelease(*entry);
}

void ClaimKeeper::leaveUnknown(const std::string &key, const std::string &attempt)
{
    if (this->running(key, attempt) != nullptr)
        this->entries.erase(key);
}

void ClaimKeeper::advance()
{
    const Instant current = this->clocks.now();
    this->expire(current);
    while (!this->retries.empty() && this->retries.begin()->first <= current) {
        const std::string key = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        this->next(this->entries.at(key));
    }
    this->settler.advance();
    this->grouper.advance();
}

std::optional<Instant> ClaimKeeper::nextWake() const
{
    std::optional<Instant> wake = this->grouper.nextDue();
    const auto sooner = [&](const std::optional<Instant> &other) {
        if (other && (!wake || *other < *wake))
            wake = other;
    };
    sooner(this->settler.nextDue());
    if (!this->deadlines.empty())
        sooner(this->deadlines.begin()->first);
    if (!this->retries.empty())
        sooner(this->retries.begin()->first);
    // An answer that is awaited may make something due, and the owner is not told when it comes. Without
    // this, a retry after a lost answer would wait for the owner's next visit, up to the caller's deadline.
    const bool awaiting = this->deadlines.size() > this->retries.size() || this->settler.awaiting();
    if (awaiting)
        sooner(this->clocks.now() + this->settings.firstRetry);
    return wake;
}

ClaimCounters ClaimKeeper::counters() const
{
    ClaimCounters all = this->counts;
    all.writes = this->grouper.counters();
    all.settling = this->settler.counters();
    return all;
}

// A second attempt at the node that has to do with the first one. No request is needed, and none could say
// more than is known here.
void ClaimKeeper::answerFromHere(const Entry &entry, const ClaimCallback &callback)
{
    ClaimAnswer answer;
    answer.reason = "key_in_use";
    answer.retryAfter = this->settings.comeBackAfter;
    answer.verdict = ClaimVerdict::InProgress;
    if (entry.phase == Phase::Recording) {
        answer.verdict = ClaimVerdict::AlreadyDone;
        answer.outcome = entry.outcome;
        answer.retryAfter = {};
    }
    this->count(answer.verdict);
    callback(answer);
}

void ClaimKeeper::next(Entry &entry)
{
    if (entry.readFirst)
        this->read(entry);
    else
        this->put(entry);
}

void ClaimKeeper::put(Entry &entry)
{
    entry.underWay = true;
    this->grouper.add(claimPut(entry.claim, entry.previous),
                      [this, key = entry.claim.key, attempt = entry.claim.attempt,
                       stillThere = std::weak_ptr(this->alive)](const Result<void> &result) {
                          if (!stillThere.expired())
                              this->putAnswered(key, attempt, result);
                      });
}

void ClaimKeeper::read(Entry &entry)
{
    entry.underWay = true;
    this->table.get(claimKey(entry.claim.key),
                    [this, key = entry.claim.key, attempt = entry.claim.attempt,
                     stillThere = std::weak_ptr(this->alive)](const Result<std::optional<Row>> &result) {
                        if (!stillThere.expired())
                            this->readAnswered(key, attempt, result);
                    });
}

void ClaimKeeper::putAnswered(const std::string &key, const std::string &attempt, const Result<void> &result)
{
    const ErrorKind kind = result ? ErrorKind::Internal : result.assume_error().kind;
    if (result || kind == ErrorKind::Conflict)
        this->circuit.succeeded();
    else
        this->circuit.failed(this->clocks.now());
    Entry *entry = this->claiming(key, attempt);
    if (entry == nullptr)
        return; // Answered at its deadline; the release is under way.
    entry->underWay = false;
    if (result)
        return this->confirmed(*entry);
    if (kind == ErrorKind::Conflict)
        return this->read(*entry);
    if (kind != ErrorKind::Timeout)
        return this->refuse(*entry, "claims_table_down");
    // The claim may stand, may land later, or may be lost. Nothing is said until the row tells.
    entry->mayHaveLanded = true;
    if (this->circuit.isOpen())
        return this->refuse(*entry, "claims_table_down");
    this->read(*entry);
}

void ClaimKeeper::readAnswered(const std::string &key, const std::string &attempt,
                               const Result<std::optional<Row>> &result)
{
    if (result)
        this->circuit.succeeded();
    else
        this->circuit.failed(this->clocks.now());
    Entry *entry = this->claiming(key, attempt);
    if (entry == nullptr)
        return;
    entry->underWay = false;
    // Load: a table that drops connections, under callers with long deadlines. Waiting them out would hold
    // the callers back for an answer that is clear by now.
    if (!result && this->circuit.isOpen())
        return this->refuse(*entry, "claims_table_down");
    if (!result)
        return this->retryLater(*entry, true);
    this->judge(*entry, result.assume_value());
}

void ClaimKeeper::judge(Entry &entry, const std::optional<Row> &row)
{
    // Absent after a lost answer does not mean that the put failed: it may still be on its way. The same put
    // is sent again, which takes effect once however many copies land.
    if (!row) {
        entry.previous.reset();
        return this->retryLater(entry, false);
    }
    const Result<ClaimRow> standing = parseClaim(*row);
    if (!standing)
        return this->end(entry, {ClaimVerdict::Unknown, {}, {}, "claim_row_unreadable"});
    if (standing.assume_value().attempt != entry.claim.attempt)
        return this->judgeOther(entry, standing.assume_value());
    if (standing.assume_value().state == ClaimState::Claimed)
        return this->confirmed(entry);
    // Attempts are unique, so no one else can have ended this one.
    this->end(entry, {ClaimVerdict::Unknown, {}, {}, "attempt_used_twice"});
}

void ClaimKeeper::judgeOther(Entry &entry, const ClaimRow &standing)
{
    if (standing.state == ClaimState::Done)
        return this->end(entry, {ClaimVerdict::AlreadyDone, standing.outcome, {}, "key_done"});
    if (standing.state == ClaimState::Released) {
        entry.previous = standing.attempt;
        return this->put(entry);
    }
    const std::uint64_t wall = this->clocks.wallMilliseconds();
    if (wall >= standing.deadline)
        return this->end(entry, {ClaimVerdict::Unknown, {}, {}, "earlier_attempt_never_ended"});
    const Duration remaining = Milliseconds(standing.deadline - wall);
    const Duration patience = std::min<Duration>(remaining, this->settings.comeBackAfter);
    this->end(entry, {ClaimVerdict::InProgress, {}, patience, "key_in_use"});
}

// A process that was paused wakes after the call's deadline and finds its claim confirmed. Its caller has
// been told "not run" or has gone; starting now would run a call that nobody waits for and may have repeated.
void ClaimKeeper::confirmed(Entry &entry)
{
    if (this->clocks.now() >= entry.deadline) {
        entry.mayHaveLanded = true;
        return this->refuse(entry, "deadline_passed");
    }
    this->deadlines.erase({entry.deadline, entry.claim.key});
    entry.phase = Phase::Running;
    const ClaimCallback callback = std::move(entry.callback);
    this->count(ClaimVerdict::Granted);
    callback({ClaimVerdict::Granted, {}, {}, ""});
}

void ClaimKeeper::retryLater(Entry &entry, bool readFirst)
{
    entry.readFirst = readFirst;
    entry.retryAt = this->clocks.now() + entry.backoff;
    entry.backoff = std::min(entry.backoff * 2, this->settings.maximumRetry);
    this->retries.insert({entry.retryAt, entry.claim.key});
}

// Ends as "not run": true whatever becomes of the put, since the call has not started and this attempt never
// will. A put that may stand or land later is fenced by a release, so that the key is not stuck.
void ClaimKeeper::refuse(Entry &entry, const char *reason)
{
    const ClaimAnswer answer = this->notRun(reason);
    if (!entry.mayHaveLanded && !entry.underWay)
        return this->end(entry, answer);
    this->deadlines.erase({entry.deadline, entry.claim.key});
    this->retries.erase({entry.retryAt, entry.claim.key});
    const ClaimCallback callback = std::move(entry.callback);
    this->count(answer.verdict);
    this->startRelease(entry);
    callback(answer);
}

void ClaimKeeper::end(Entry &entry, const ClaimAnswer &answer)
{
    this->deadlines.erase({entry.deadline, entry.claim.key});
    this->retries.erase({entry.retryAt, entry.claim.key});
    const ClaimCallback callback = std::move(entry.callback);
    this->entries.erase(std::string(entry.claim.key));
    this->count(answer.verdict);
    callback(answer);
}

void ClaimKeeper::startRelease(Entry &entry)
{
    entry.phase = Phase::Releasing;
    if (!this->settler.add(entry.claim, releasePut(entry.claim, entry.previous)))
        this->settled(std::string(entry.claim.key));
}

void ClaimKeeper::settled(const std::string &key)
{
    this->entries.erase(key);
}

ClaimKeeper::Entry *ClaimKeeper::claiming(const std::string &key, const std::string &attempt)
{
    const auto found = this->entries.find(key);
    const bool same = found != this->entries.end() && found->second.claim.attempt == attempt
                      && found->second.phase == Phase::Claiming;
    return same ? &found->second : nullptr;
}

ClaimKeeper::Entry *ClaimKeeper::running(const std::string &key, const std::string &attempt)
{
    const auto found = this->entries.find(key);
    const bool same = found != this->entries.end() && found->second.claim.attempt == attempt
                      && found->second.phase == Phase::Running;
    return same ? &found->second : nullptr;
}

ClaimAnswer ClaimKeeper::notRun(const char *reason) const
{
    Duration wait = this->settings.comeBackAfter;
    if (this->circuit.isOpen())
        wait = std::max<Duration>(wait, this->circuit.probeAt() - this->clocks.now());
    return {ClaimVerdict::NotRun, {}, wait, reason};
}

void ClaimKeeper::count(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Granted:
        ++this->counts.granted;
        break;
    case ClaimVerdict::AlreadyDone:
        ++this->counts.alreadyDone;
        break;
    case ClaimVerdict::InProgress:
        ++this->counts.inProgress;
        break;
    case ClaimVerdict::Unknown:
        ++this->counts.unknown;
        break;
    case ClaimVerdict::NotRun:
        ++this->counts.notRun;
        break;
    }
}

// A caller is never held past its deadline: it gets its final answer now, and the table is tidied behind it.
void ClaimKeeper::expire(Instant current)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= current) {
        Entry &entry = this->entries.at(this->deadlines.begin()->second);
        this->circuit.failed(current); // A table that does not answer by the deadline is as good as down.
        this->refuse(entry, "claims_table_slow");
    }
}

} // namespace Sagecrank

// Implements claims of idempotency keys; see ClaimManager.h, and ClaimRow.h for the states of a row.
#include <LibCore/HttpStatus.h>
#include <LibSource/ClaimManager.h>

#include <algorithm>

namespace Sagecrank {

ClaimManager::ClaimManager(TablePort tablePort, ClaimSettings claimSettings, ClaimClocks claimClocks)
    : table(tablePort)
    , settings(claimSettings)
    , clocks(std::move(claimClocks))
    , batcher(tablePort, claimSettings.batching, this->clocks.now)
    , circuitBreaker(claimSettings.circuitBreaker)
    , finalizer(std::move(tablePort), this->batcher, claimSettings.finalizing, this->clocks.now,
                [this](const std::string &key, bool) { this->eraseEntry(key); })
{
}

void ClaimManager::claim(const std::string &key, const std::string &attempt, Instant deadline,
                         ClaimCallback callback)
{
    ++this->counts.claims;
    const Instant current = this->clocks.now();
    if (const auto found = this->entries.find(key); found != this->entries.end())
        return this->respondLocally(found->second, callback);
    const char *refusal = nullptr;
    if (current >= deadline)
        refusal = "deadline_passed";
    else if (this->deadlines.size() >= this->settings.maximumWaiting)
        refusal = "too_many_claims_wait";
    else if (!this->circuitBreaker.allowRequest(current))
        refusal = "claims_table_down";
    if (refusal != nullptr) {
        this->countDecision(ClaimDecision::NotRun);
        return callback(this->notRunResponse(refusal));
    }
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - current);
    const std::uint64_t wall = this->clocks.wallMilliseconds();
    const auto life = std::chrono::duration_cast<std::chrono::seconds>(this->settings.rowLifetime);
    Entry &entry = this->entries[key];
    entry.claim.key = key;
    entry.claim.attempt = attempt;
    entry.claim.deadline = wall + static_cast<std::uint64_t>(remaining.count());
    entry.claim.expiresAt = (wall / 1000) + static_cast<std::uint64_t>(life.count());
    entry.deadline = deadline;
    entry.callback = std::move(callback);
    entry.backoff = this->settings.firstRetry;
    this->deadlines.insert({deadline, key});
    this->sendPut(entry);
}

void ClaimManager::finish(const std::string &key, const std::string &attempt, RecordedOutcome outcome)
{
    Entry *entry = this->findRunning(key, attempt);
    if (entry == nullptr)
        return;
    const ConditionalPut record = recordPut(entry->claim, std::move(outcome));
    entry->outcome = parseClaim(record.row).value().outcome;
    entry->phase = Phase::Recording;
    if (!this->finalizer.add(entry->claim, record))
        this->eraseEntry(key);
}

void ClaimManager::release(const std::string &key, const std::string &attempt)
{
    if (Entry *entry = this->findRunning(key, attempt))
        this->startRelease(*entry);
}

void ClaimManager::leaveUnknown(const std::string &key, const std::string &attempt)
{
    if (this->findRunning(key, attempt) != nullptr)
        this->entries.erase(key);
}

void ClaimManager::advance()
{
    const Instant current = this->clocks.now();
    this->expireDeadlines(current);
    while (!this->retries.empty() && this->retries.begin()->first <= current) {
        const std::string key = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        this->sendRequest(this->entries.at(key));
    }
    this->finalizer.advance();
    this->batcher.advance();
}

std::optional<Instant> ClaimManager::nextWake() const
{
    std::optional<Instant> wake = this->batcher.nextDue();
    const auto sooner = [&](const std::optional<Instant> &other) {
        if (other && (!wake || *other < *wake))
            wake = other;
    };
    sooner(this->finalizer.nextDue());
    if (!this->deadlines.empty())
        sooner(this->deadlines.begin()->first);
    if (!this->retries.empty())
        sooner(this->retries.begin()->first);
    // A pending response may schedule new work, and the owner is not notified when it arrives. Without this
    // wake-up, a retry after a lost response would wait for the owner's next call, up to the caller's
    // deadline.
    const bool awaiting = this->deadlines.size() > this->retries.size() || this->finalizer.awaitingResponse();
    if (awaiting)
        sooner(this->clocks.now() + this->settings.firstRetry);
    return wake;
}

ClaimCounters ClaimManager::counters() const
{
    ClaimCounters all = this->counts;
    all.writes = this->batcher.counters();
    all.finalizing = this->finalizer.counters();
    return all;
}

// A second attempt reached the node that handles the first one. No request is needed, since the table cannot
// know more than this node.
void ClaimManager::respondLocally(const Entry &entry, const ClaimCallback &callback)
{
    ClaimResponse response;
    response.reason = "key_in_use";
    response.retryAfter = this->settings.defaultRetryAfter;
    response.decision = ClaimDecision::InProgress;
    if (entry.phase == Phase::Recording) {
        response.decision = ClaimDecision::AlreadyDone;
        response.outcome = entry.outcome;
        response.retryAfter = {};
    }
    this->countDecision(response.decision);
    callback(response);
}

void ClaimManager::sendRequest(Entry &entry)
{
    if (entry.readFirst)
        this->sendRead(entry);
    else
        this->sendPut(entry);
}

void ClaimManager::sendPut(Entry &entry)
{
    entry.inFlight = true;
    this->batcher.add(claimPut(entry.claim, entry.previousAttempt),
                      [this, key = entry.claim.key, attempt = entry.claim.attempt,
                       weakAlive = std::weak_ptr(this->alive)](const Result<void> &result) {
                          if (!weakAlive.expired())
                              this->handlePutResult(key, attempt, result);
                      });
}

void ClaimManager::sendRead(Entry &entry)
{
    entry.inFlight = true;
    this->table.get(claimKey(entry.claim.key),
                    [this, key = entry.claim.key, attempt = entry.claim.attempt,
                     weakAlive = std::weak_ptr(this->alive)](const Result<std::optional<Row>> &result) {
                        if (!weakAlive.expired())
                            this->handleReadResult(key, attempt, result);
                    });
}

void ClaimManager::handlePutResult(const std::string &key, const std::string &attempt,
                                   const Result<void> &result)
{
    const ErrorKind kind = result ? ErrorKind::Internal : result.assume_error().kind;
    if (result || kind == ErrorKind::Conflict)
        this->circuitBreaker.recordSuccess();
    else
        this->circuitBreaker.recordFailure(this->clocks.now());
    Entry *entry = this->findClaiming(key, attempt);
    if (entry == nullptr)
        return; // The caller was answered at its deadline; the release is in progress.
    entry->inFlight = false;
    if (result)
        return this->grant(*entry);
    if (kind == ErrorKind::Conflict)
        return this->sendRead(*entry);
    if (kind != ErrorKind::Timeout)
        return this->refuse(*entry, "claims_table_down");
    // The claim may be in the table, may take effect later, or may be lost. Only the row tells which.
    entry->mayHaveTakenEffect = true;
    if (this->circuitBreaker.isOpen())
        return this->refuse(*entry, "claims_table_down");
    this->sendRead(*entry);
}

void ClaimManager::handleReadResult(const std::string &key, const std::string &attempt,
                                    const Result<std::optional<Row>> &result)
{
    if (result)
        this->circuitBreaker.recordSuccess();
    else
        this->circuitBreaker.recordFailure(this->clocks.now());
    Entry *entry = this->findClaiming(key, attempt);
    if (entry == nullptr)
        return;
    entry->inFlight = false;
    // When the table drops connections, callers with long deadlines are rejected now instead of waiting for
    // a result that is already certain.
    if (!result && this->circuitBreaker.isOpen())
        return this->refuse(*entry, "claims_table_down");
    if (!result)
        return this->retryLater(*entry, true);
    this->resolveFromRow(*entry, result.assume_value());
}

void ClaimManager::resolveFromRow(Entry &entry, const std::optional<Row> &row)
{
    // A missing row after a lost response does not mean that the put failed; it may still be in transit. The
    // same put is sent again. It takes effect at most once, however many copies arrive.
    if (!row) {
        entry.previousAttempt.reset();
        return this->retryLater(entry, false);
    }
    const Result<ClaimRow> existing = parseClaim(*row);
    if (!existing)
        return this->complete(entry, {ClaimDecision::Unknown, {}, {}, "claim_row_unreadable"});
    if (existing.assume_value().attempt != entry.claim.attempt)
        return this->resolveOtherAttempt(entry, existing.assume_value());
    if (existing.assume_value().state == ClaimState::Claimed)
        return this->grant(entry);
    // Attempts are unique, so no other attempt can have ended this one.
    this->complete(entry, {ClaimDecision::Unknown, {}, {}, "attempt_used_twice"});
}

void ClaimManager::resolveOtherAttempt(Entry &entry, const ClaimRow &existing)
{
    if (existing.state == ClaimState::Done && !isFinalStatus(existing.outcome.status))
        return this->complete(entry, {ClaimDecision::Unknown, {}, {}, "claim_row_unreadable"});
    if (existing.state == ClaimState::Done)
        return this->complete(entry, {ClaimDecision::AlreadyDone, existing.outcome, {}, "key_done"});
    if (existing.state == ClaimState::Released) {
        entry.previousAttempt = existing.attempt;
        return this->sendPut(entry);
    }
    const std::uint64_t wall = this->clocks.wallMilliseconds();
    if (wall >= existing.deadline)
        return this->complete(entry, {ClaimDecision::Unknown, {}, {}, "earlier_attempt_never_ended"});
    const Duration remaining = Milliseconds(existing.deadline - wall);
    const Duration retryAfter = std::min<Duration>(remaining, this->settings.defaultRetryAfter);
    this->complete(entry, {ClaimDecision::InProgress, {}, retryAfter, "key_in_use"});
}

// A process that was paused may resume after the call's deadline and find its claim confirmed. The caller has
// been told "not run" or has disconnected, and may have retried, so the call must not start.
void ClaimManager::grant(Entry &entry)
{
    if (this->clocks.now() >= entry.deadline) {
        entry.mayHaveTakenEffect = true;
        return this->refuse(entry, "deadline_passed");
    }
    this->deadlines.erase({entry.deadline, entry.claim.key});
    entry.phase = Phase::Running;
    const ClaimCallback callback = std::move(entry.callback);
    this->countDecision(ClaimDecision::Granted);
    callback({ClaimDecision::Granted, {}, {}, ""});
}

void ClaimManager::retryLater(Entry &entry, bool readFirst)
{
    entry.readFirst = readFirst;
    entry.retryAt = this->clocks.now() + entry.backoff;
    entry.backoff = std::min(entry.backoff * 2, this->settings.maximumRetry);
    this->retries.insert({entry.retryAt, entry.claim.key});
}

// Answers "not run". This is true whatever happens to the put, since the call has not started and this
// attempt never will. If the put may have taken effect or still may, a release fences it so that the key does
// not stay claimed.
void ClaimManager::refuse(Entry &entry, const char *reason)
{
    const ClaimResponse response = this->notRunResponse(reason);
    if (!entry.mayHaveTakenEffect && !entry.inFlight)
        return this->complete(entry, response);
    this->deadlines.erase({entry.deadline, entry.claim.key});
    this->retries.erase({entry.retryAt, entry.claim.key});
    const ClaimCallback callback = std::move(entry.callback);
    this->countDecision(response.decision);
    this->startRelease(entry);
    callback(response);
}

void ClaimManager::complete(Entry &entry, const ClaimResponse &response)
{
    this->deadlines.erase({entry.deadline, entry.claim.key});
    this->retries.erase({entry.retryAt, entry.claim.key});
    const ClaimCallback callback = std::move(entry.callback);
    this->entries.erase(std::string(entry.claim.key));
    this->countDecision(response.decision);
    callback(response);
}

void ClaimManager::startRelease(Entry &entry)
{
    entry.phase = Phase::Releasing;
    if (!this->finalizer.add(entry.claim, releasePut(entry.claim, entry.previousAttempt)))
        this->eraseEntry(std::string(entry.claim.key));
}

void ClaimManager::eraseEntry(const std::string &key)
{
    this->entries.erase(key);
}

ClaimManager::Entry *ClaimManager::findClaiming(const std::string &key, const std::string &attempt)
{
    const auto found = this->entries.find(key);
    const bool same = found != this->entries.end() && found->second.claim.attempt == attempt
                      && found->second.phase == Phase::Claiming;
    return same ? &found->second : nullptr;
}

ClaimManager::Entry *ClaimManager::findRunning(const std::string &key, const std::string &attempt)
{
    const auto found = this->entries.find(key);
    const bool same = found != this->entries.end() && found->second.claim.attempt == attempt
                      && found->second.phase == Phase::Running;
    return same ? &found->second : nullptr;
}

ClaimResponse ClaimManager::notRunResponse(const char *reason) const
{
    Duration wait = this->settings.defaultRetryAfter;
    if (this->circuitBreaker.isOpen())
        wait = std::max<Duration>(wait, this->circuitBreaker.nextProbeAt() - this->clocks.now());
    return {ClaimDecision::NotRun, {}, wait, reason};
}

void ClaimManager::countDecision(ClaimDecision decision)
{
    switch (decision) {
    case ClaimDecision::Granted:
        ++this->counts.granted;
        break;
    case ClaimDecision::AlreadyDone:
        ++this->counts.alreadyDone;
        break;
    case ClaimDecision::InProgress:
        ++this->counts.inProgress;
        break;
    case ClaimDecision::Unknown:
        ++this->counts.unknown;
        break;
    case ClaimDecision::NotRun:
        ++this->counts.notRun;
        break;
    }
}

// A caller is never held past its deadline. It gets its final answer now and the release follows in the
// background.
void ClaimManager::expireDeadlines(Instant current)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= current) {
        Entry &entry = this->entries.at(this->deadlines.begin()->second);
        this->circuitBreaker.recordFailure(current); // A table that misses the deadline counts as down.
        this->refuse(entry, "claims_table_slow");
    }
}

} // namespace Sagecrank

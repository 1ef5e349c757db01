// Implements the transaction that advances the head; see HeadWriter.h.
#include <LibSource/HeadWriter.h>

#include <algorithm>
#include <memory>

namespace Sagecrank {

namespace {

class HeadUpdate : public std::enable_shared_from_this<HeadUpdate>
{
public:
    HeadUpdate(TablePort port, Scheduler schedulerHook, RetryPolicy retryPolicy, const Head &fromHead,
               const HistoryEntry &nextEntry, PublishCallback done)
        : table(std::move(port))
        , scheduler(std::move(schedulerHook))
        , policy(retryPolicy)
        , from(fromHead)
        , next(nextEntry)
        , callback(std::move(done))
    {
    }

    void send()
    {
        PutCondition headUnchanged;
        if (this->from.version == 0)
            headUnchanged.absent = true;
        else
            headUnchanged.anyOf.push_back(
                {{"version", this->from.version}, {"publish_id", this->from.publishId}});
        const Head head{this->next.version, this->next.digest, this->next.publishId};
        const std::vector<ConditionalPut> puts{{headRow(head), headUnchanged},
                                               {historyRow(this->next), {true, {}}}};
        this->table.transact(puts,
                             [self = this->shared_from_this()](const Result<TransactionResult> &result) {
                                 self->handleResult(result);
                             });
    }

private:
    void handleResult(const Result<TransactionResult> &result)
    {
        if (!result) {
            this->lastError = result.assume_error();
            if (this->lastError.kind == ErrorKind::Timeout) {
                this->mayHaveTakenEffect = true;
                return this->readBack();
            }
            if (isRetryable(this->lastError.kind))
                return this->retry([](HeadUpdate &update) { update.send(); });
            return this->giveUp();
        }
        const TransactionResult &outcomes = result.assume_value();
        const auto is = [](PutOutcome wanted) {
            return [wanted](PutOutcome outcome) { return outcome == wanted; };
        };
        if (std::all_of(outcomes.begin(), outcomes.end(), is(PutOutcome::Applied)))
            return this->report(PublishOutcome::Accepted);
        if (std::any_of(outcomes.begin(), outcomes.end(), is(PutOutcome::ConditionFailed))) {
            // The head has changed: either another operator won, or an earlier copy of this transaction took
            // effect. Only the rows tell which.
            this->headMoved = true;
            return this->readBack();
        }
        this->lastError =
            makeError(ErrorKind::Refused, "move head", "table", "conflicting writes in progress");
        this->retry([](HeadUpdate &update) { update.send(); });
    }

    void readBack()
    {
        this->table.get(headKey(), [self = this->shared_from_this()](const Result<std::optional<Row>> &row) {
            self->handleHeadRow(row);
        });
    }

    void handleHeadRow(const Result<std::optional<Row>> &row)
    {
        const Result<Head> head = row ? parseHead(row.assume_value()) : Result<Head>(row.assume_error());
        if (!head) {
            this->lastError = head.assume_error();
            return this->retry([](HeadUpdate &update) { update.readBack(); });
        }
        if (head.assume_value().publishId == this->next.publishId)
            return this->report(PublishOutcome::Accepted);
        // The head is unchanged, but a copy in transit may still take effect. Sending it again resolves this:
        // either one copy takes effect, or all of them find that the head has changed.
        if (head.assume_value() == this->from)
            return this->retry([](HeadUpdate &update) { update.send(); });
        this->headMoved = true;
        this->readWinner();
    }

    // Every accepted version has a history row, so the row of this version tells who published it.
    void readWinner()
    {
        this->table.get(historyKey(this->next.version),
                        [self = this->shared_from_this()](const Result<std::optional<Row>> &row) {
                            self->handleWinnerRow(row);
                        });
    }

    void handleWinnerRow(const Result<std::optional<Row>> &row)
    {
        if (!row) {
            this->lastError = row.assume_error();
            return this->retry([](HeadUpdate &update) { update.readWinner(); });
        }
        const std::optional<Row> &existing = row.assume_value();
        const Result<HistoryEntry> entry =
            existing
                ? parseHistory(*existing)
                : Result<HistoryEntry>(makeError(ErrorKind::NotFound, "read history row", "table",
                                                 "no row of version " + std::to_string(this->next.version)));
        if (!entry) {
            this->lastError = entry.assume_error();
            return this->retry([](HeadUpdate &update) { update.readWinner(); });
        }
        if (entry.assume_value().publishId == this->next.publishId)
            return this->report(PublishOutcome::Accepted);
        this->winner = entry.assume_value();
        this->report(PublishOutcome::Conflict);
    }

    template <typename Step>
    void retry(Step step)
    {
        if (this->policy.attempts <= 1)
            return this->giveUp();
        --this->policy.attempts;
        const Milliseconds wait = this->policy.backoff;
        this->policy.backoff = std::min(this->policy.backoff * 2, this->policy.maximumBackoff);
        this->scheduler(wait, [self = this->shared_from_this(), step] { step(*self); });
    }

    void giveUp()
    {
        if (this->mayHaveTakenEffect)
            return this->report(PublishOutcome::Unknown);
        if (!this->headMoved)
            return this->report(PublishOutcome::Failed);
        // Every copy that was sent was answered and failed its condition, so another operator won, but the
        // winner could not be read.
        this->winner.version = this->next.version;
        this->report(PublishOutcome::Conflict);
    }

    void report(PublishOutcome outcome)
    {
        this->callback({outcome, this->next.version, this->next.publishId, this->winner, this->lastError});
    }

    const TablePort table;
    const Scheduler scheduler;
    RetryPolicy policy; // With the remaining attempts and the next backoff.
    const Head from;
    const HistoryEntry next;
    const PublishCallback callback;
    bool mayHaveTakenEffect = false; // A copy was sent whose effect is unknown.
    bool headMoved = false;          // A condition failed, or another head was read.
    HistoryEntry winner;
    Error lastError;
};

} // namespace

void advanceHead(TablePort table, Scheduler scheduler, RetryPolicy policy, const Head &from,
                 const HistoryEntry &next, PublishCallback callback)
{
    std::make_shared<HeadUpdate>(std::move(table), std::move(scheduler), policy, from, next,
                                 std::move(callback))
        ->send();
}

} // namespace Sagecrank

// The move of the head: see HeadWriter.h.
#include <LibSource/HeadWriter.h>

#include <algorithm>
#include <memory>

namespace Sagecrank {

namespace {

class HeadMove : public std::enable_shared_from_this<HeadMove>
{
public:
    HeadMove(TablePort port, Later laterHook, RetryPlan retryPlan, const Head &fromHead,
             const HistoryEntry &nextEntry, PublishCallback done)
        : table(std::move(port))
        , later(std::move(laterHook))
        , plan(retryPlan)
        , from(fromHead)
        , next(nextEntry)
        , callback(std::move(done))
    {
    }

    void send()
    {
        PutCondition unmoved;
        if (this->from.version == 0)
            unmoved.absent = true;
        else
            unmoved.anyOf.push_back({{"version", this->from.version}, {"publish_id", this->from.publishId}});
        const Head head{this->next.version, this->next.digest, this->next.publishId};
        const std::vector<ConditionalPut> puts{{headRow(head), unmoved},
                                               {historyRow(this->next), {true, {}}}};
        this->table.transact(puts, [self = this->shared_from_this()](
                                       const Result<TransactionResult> &result) { self->answered(result); });
    }

private:
    void answered(const Result<TransactionResult> &result)
    {
        if (!result) {
            this->lastError = result.assume_error();
            if (this->lastError.kind == ErrorKind::Timeout) {
                this->mayHaveLanded = true;
                return this->readBack();
            }
            if (worthRepeating(this->lastError.kind))
                return this->again([](HeadMove &move) { move.send(); });
            return this->giveUp();
        }
        const TransactionResult &verdicts = result.assume_value();
        const auto is = [](PutVerdict wanted) {
            return [wanted](PutVerdict verdict) { return verdict == wanted; };
        };
        if (std::all_of(verdicts.begin(), verdicts.end(), is(PutVerdict::Applied)))
            return this->report(PublishVerdict::Accepted);
        if (std::any_of(verdicts.begin(), verdicts.end(), is(PutVerdict::ConditionFailed))) {
            // The head is no longer where it was: another operator won, or an earlier copy of this very
            // transaction did. Only the rows tell which.
            this->headMoved = true;
            return this->readBack();
        }
        this->lastError = makeError(ErrorKind::Refused, "move head", "table", "busy with other writes");
        this->again([](HeadMove &move) { move.send(); });
    }

    void readBack()
    {
        this->table.get(headKey(), [self = this->shared_from_this()](const Result<std::optional<Row>> &row) {
            self->judgeHead(row);
        });
    }

    void judgeHead(const Result<std::optional<Row>> &row)
    {
        const Result<Head> head = row ? parseHead(row.assume_value()) : Result<Head>(row.assume_error());
        if (!head) {
            this->lastError = head.assume_error();
            return this->again([](HeadMove &move) { move.readBack(); });
        }
        if (head.assume_value().publishId == this->next.publishId)
            return this->report(PublishVerdict::Accepted);
        // Not there yet, but a copy that is still under way may land. Sending it again settles it: one of the
        // copies takes effect, or all find that the head has moved.
        if (head.assume_value() == this->from)
            return this->again([](HeadMove &move) { move.send(); });
        this->headMoved = true;
        this->readWinner();
    }

    // Every accepted version has its history row, so the row of this number says whose it became.
    void readWinner()
    {
        this->table.get(historyKey(this->next.version),
                        [self = this->shared_from_this()](const Result<std::optional<Row>> &row) {
                            self->judgeWinner(row);
                        });
    }

    void judgeWinner(const Result<std::optional<Row>> &row)
    {
        if (!row) {
            this->lastError = row.assume_error();
            return this->again([](HeadMove &move) { move.readWinner(); });
        }
        const std::optional<Row> &standing = row.assume_value();
        const Result<HistoryEntry> entry =
            standing
                ? parseHistory(*standing)
                : Result<HistoryEntry>(makeError(ErrorKind::NotFound, "read history row", "table",
                                                 "no row of version " + std::to_string(this->next.version)));
        if (!entry) {
            this->lastError = entry.assume_error();
            return this->again([](HeadMove &move) { move.readWinner(); });
        }
        if (entry.assume_value().publishId == this->next.publishId)
            return this->report(PublishVerdict::Accepted);
        this->winner = entry.assume_value();
        this->report(PublishVerdict::Conflict);
    }

    template <typename Step>
    void again(Step step)
    {
        if (this->plan.tries <= 1)
            return this->giveUp();
        --this->plan.tries;
        const Milliseconds wait = this->plan.backoff;
        this->plan.backoff = std::min(this->plan.backoff * 2, this->plan.maximumBackoff);
        this->later(wait, [self = this->shared_from_this(), step] { step(*self); });
    }

    void giveUp()
    {
        if (this->mayHaveLanded)
            return this->report(PublishVerdict::Unknown);
        if (!this->headMoved)
            return this->report(PublishVerdict::Failed);
        // The condition failed on the only copies that were sent and answered: another operator won, and who
        // it was could not be read.
        this->winner.version = this->next.version;
        this->report(PublishVerdict::Conflict);
    }

    void report(PublishVerdict verdict)
    {
        this->callback({verdict, this->next.version, this->next.publishId, this->winner, this->lastError});
    }

    const TablePort table;
    const Later later;
    RetryPlan plan; // What is left of it.
    const Head from;
    const HistoryEntry next;
    const PublishCallback callback;
    bool mayHaveLanded = false; // A copy was sent whose effect is not known.
    bool headMoved = false;     // A condition failed, or another head was read.
    HistoryEntry winner;
    Error lastError;
};

} // namespace

void moveHead(TablePort table, Later later, RetryPlan plan, const Head &from, const HistoryEntry &next,
              PublishCallback callback)
{
    std::make_shared<HeadMove>(std::move(table), std::move(later), plan, from, next, std::move(callback))
        ->send();
}

} // namespace Sagecrank

// An in-memory table and object store for tests, with a clock that the test controls. Responses are delivered
// asynchronously from step(). The test determines the outcome of each write: acknowledged, applied with the
// response lost, request lost, or applied only after the caller has got a timeout.
#pragma once

#include <LibSource/Ports.h>

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace Sagecrank {

enum class WriteOutcome : std::uint8_t { Acknowledged, ResponseLost, RequestLost, AppliedLate };

class FakePlatform
{
public:
    explicit FakePlatform(std::uint32_t seed = 1)
        : random(seed)
    {
    }

    TablePort tablePort()
    {
        TablePort port;
        port.get = [this](const RowKey &key, RowCallback callback) {
            ++this->reads;
            this->schedule(this->readDelay(), [this, key, callback = std::move(callback)] {
                if (this->down)
                    return callback(unavailable());
                callback(this->row(key));
            });
        };
        port.query = [this](const QueryRequest &request, RowsCallback callback) {
            ++this->reads;
            this->schedule(this->readDelay(), [this, request, callback = std::move(callback)] {
                if (this->down)
                    return callback(unavailable());
                callback(this->partition(request));
            });
        };
        port.putIf = [this](const ConditionalPut &put, WriteCallback callback) {
            ++this->putRequests;
            ++this->itemsWritten;
            const auto deliver = [callback = std::move(callback)](Result<TransactionResult> result) {
                if (!result)
                    return callback(std::move(result).assume_error());
                if (result.assume_value()[0] == PutOutcome::ConditionFailed)
                    return callback(makeError(ErrorKind::Conflict, "put", "fake", "condition failed"));
                callback(success());
            };
            this->write({put}, deliver);
        };
        port.transact = [this](const std::vector<ConditionalPut> &puts, TransactionCallback callback) {
            ++this->transactRequests;
            this->itemsWritten += static_cast<int>(puts.size());
            for (std::size_t i = 0; i < puts.size(); ++i) {
                for (std::size_t other = 0; other < i; ++other)
                    cr_assert(!(puts[i].row.key == puts[other].row.key), "a transaction names a row twice");
            }
            this->write(puts, std::move(callback));
        };
        return port;
    }

    ObjectPort objectPort()
    {
        ObjectPort port;
        port.put = [this](const std::string &name, const ObjectBytes &bytes, WriteCallback callback) {
            ++this->objectWrites;
            this->schedule(this->readDelay(), [this, name, bytes, callback = std::move(callback)] {
                if (this->down || this->objectsDown)
                    return callback(unavailable());
                this->objects[name] = bytes;
                callback(success());
            });
        };
        port.get = [this](const std::string &name, BytesCallback callback) {
            ++this->objectReads;
            this->schedule(this->readDelay(), [this, name, callback = std::move(callback)] {
                if (this->down || this->objectsDown)
                    return callback(unavailable());
                const auto found = this->objects.find(name);
                if (found == this->objects.end())
                    return callback(makeError(ErrorKind::NotFound, "get", name, "no such object"));
                callback(found->second);
            });
        };
        return port;
    }

    std::function<void(Duration, std::function<void()>)> scheduler()
    {
        return
            [this](Duration delay, std::function<void()> event) { this->schedule(delay, std::move(event)); };
    }

    // Advances the clock to the next event and runs it; false if there is none up to `limit`.
    bool step(Instant limit)
    {
        if (this->events.empty() || this->events.begin()->first > limit)
            return false;
        auto first = this->events.extract(this->events.begin());
        this->now = std::max(this->now, first.key());
        first.mapped()();
        return true;
    }
    void run(Duration span)
    {
        const Instant end = this->now + span;
        while (this->step(end)) {
        }
        this->now = end;
    }
    std::optional<Instant> nextEvent() const
    {
        if (this->events.empty())
            return std::nullopt;
        return this->events.begin()->first;
    }

    std::optional<Row> row(const RowKey &key) const
    {
        const auto found = this->rows.find(key);
        return found == this->rows.end() ? std::nullopt : std::optional<Row>(found->second);
    }

    Instant now{std::chrono::hours(1)};
    bool down = false;
    bool objectsDown = false;  // Only the object store.
    Milliseconds delay{1};     // Of every response.
    Milliseconds timeout{100}; // After which a caller without a response gets an error.
    Milliseconds lateApplyDelay{400};
    std::function<WriteOutcome()> drawWriteOutcome = [] { return WriteOutcome::Acknowledged; };
    std::map<RowKey, Row> rows;
    std::map<std::string, ObjectBytes> objects;
    std::mt19937 random;
    int reads = 0;
    int putRequests = 0;
    int transactRequests = 0;
    int itemsWritten = 0;
    int objectWrites = 0;
    int objectReads = 0;

private:
    static Error unavailable() { return makeError(ErrorKind::Unavailable, "use fake", "fake", "down"); }

    Duration readDelay() { return this->delay + Microseconds(this->random() % 900); }

    void schedule(Duration after, std::function<void()> event)
    {
        this->events.emplace(this->now + after, std::move(event));
    }

    std::vector<Row> partition(const QueryRequest &request) const
    {
        std::vector<Row> found;
        for (const auto &[key, row] : this->rows) {
            if (key.partition == request.partition)
                found.insert(request.newestFirst ? found.begin() : found.end(), row);
        }
        if (found.size() > request.limit)
            found.resize(request.limit);
        return found;
    }

    TransactionResult apply(const std::vector<ConditionalPut> &puts)
    {
        TransactionResult outcomes(puts.size(), PutOutcome::Applied);
        bool cancelled = false;
        for (std::size_t i = 0; i < puts.size(); ++i) {
            if (!puts[i].condition.matches(this->row(puts[i].row.key))) {
                outcomes[i] = PutOutcome::ConditionFailed;
                cancelled = true;
            }
        }
        for (std::size_t i = 0; i < puts.size(); ++i) {
            if (!cancelled)
                this->rows[puts[i].row.key] = puts[i].row;
            else if (outcomes[i] == PutOutcome::Applied)
                outcomes[i] = PutOutcome::NotApplied;
        }
        return outcomes;
    }

    void write(const std::vector<ConditionalPut> &puts, const TransactionCallback &callback)
    {
        const WriteOutcome outcome = this->drawWriteOutcome();
        if (outcome == WriteOutcome::Acknowledged) {
            return this->schedule(this->readDelay(), [this, puts, callback] {
                if (this->down)
                    return callback(unavailable());
                callback(this->apply(puts));
            });
        }
        this->schedule(this->timeout, [callback] {
            callback(makeError(ErrorKind::Timeout, "use fake", "fake", "no answer"));
        });
        if (outcome == WriteOutcome::ResponseLost)
            this->schedule(this->readDelay(), [this, puts] { this->apply(puts); });
        if (outcome == WriteOutcome::AppliedLate)
            this->schedule(this->timeout + this->lateApplyDelay, [this, puts] { this->apply(puts); });
    }

    std::multimap<Instant, std::function<void()>> events;
};

} // namespace Sagecrank

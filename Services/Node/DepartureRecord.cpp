// Keeps and reads the row of the upstream that leaves.
#include "DepartureRecord.h"

#include <utility>

namespace Sagecrank {

namespace {

constexpr const char *partition = "departures";
constexpr const char *instanceAttribute = "instance";
constexpr const char *startedAttribute = "started_at";

Row encodeDeparture(const RowKey &key, const Departure &departure)
{
    return {key, {{instanceAttribute, departure.instance}, {startedAttribute, departure.startedAt}}};
}

// A row that another writer has spoilt names nobody.
std::optional<Departure> decodeDeparture(const std::optional<Row> &row)
{
    const std::string *instance = row ? row->text(instanceAttribute) : nullptr;
    const std::uint64_t *startedAt = row ? row->number(startedAttribute) : nullptr;
    if (instance == nullptr || startedAt == nullptr)
        return std::nullopt;
    return Departure{*instance, *startedAt};
}

} // namespace

DepartureRecord::DepartureRecord(boost::asio::io_context &context, TablePort table, std::string node,
                                 DepartureRecordHooks hooks)
    : table(std::move(table))
    , key{partition, std::move(node)}
    , hooks(std::move(hooks))
    , readTimer(context)
    , waitTimer(context)
{
}

void DepartureRecord::recall()
{
    this->table.get(this->key, [this](const Result<std::optional<Row>> &row) {
        if (row)
            return this->hooks.recalled(decodeDeparture(row.value()));
        this->hooks.failed(row.error());
        this->readTimer.expires_after(departureReadPause);
        this->readTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->recall();
        });
    });
}

void DepartureRecord::note(const Departure &departure)
{
    this->noted = departure;
    if (!this->writing && this->keptNow != this->noted)
        this->write();
}

void DepartureRecord::write()
{
    this->writing = true;
    this->table.putIf(
        {encodeDeparture(this->key, *this->noted), {}},
        [this, departure = *this->noted](const Result<void> &result) { this->written(departure, result); });
}

void DepartureRecord::written(const Departure &departure, const Result<void> &result)
{
    this->writing = false;
    if (!result) {
        this->keptNow.reset(); // Not known; the next word of the upstream has it written again.
        this->hooks.failed(result.error());
        return this->release();
    }
    this->keptNow = departure;
    this->hooks.kept(departure);
    if (this->noted != departure)
        return this->write();
    this->release();
}

void DepartureRecord::whenKept(std::function<void()> confirm)
{
    if (!this->writing)
        return confirm();
    this->waiting.push_back(std::move(confirm));
    if (this->waiting.size() > 1)
        return;
    this->waitTimer.expires_after(departureWait);
    this->waitTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->release();
    });
}

void DepartureRecord::release()
{
    this->waitTimer.cancel();
    for (const std::function<void()> &confirm : std::exchange(this->waiting, {}))
        confirm();
}

} // namespace Sagecrank

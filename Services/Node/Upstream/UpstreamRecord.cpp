// Keeps and reads the rows about the upstream beside the node.
#include "UpstreamRecord.h"

#include <algorithm>
#include <utility>

namespace Sagecrank {

namespace {

constexpr const char *leavingRow = "leaving";
constexpr const char *servingRow = "serving";
constexpr const char *crashesRow = "crashes";
constexpr const char *instanceAttribute = "instance";
constexpr const char *startedAttribute = "started_at";
constexpr const char *clusterAttribute = "cluster";
constexpr const char *addressAttribute = "address";
constexpr const char *slotsAttribute = "slots";
constexpr const char *requestsAttribute = "requests";

RowKey keyOf(const std::string &node, const char *row)
{
    return {"upstream/" + node, row};
}

Row encodeDeparture(const RowKey &key, const Departure &departure)
{
    return {key, {{instanceAttribute, departure.instance}, {startedAttribute, departure.startedAt}}};
}

Row encodeServing(const RowKey &key, const UpstreamAnnouncement &announcement)
{
    return {key,
            {{instanceAttribute, announcement.instance},
             {startedAttribute, announcement.startedAt},
             {clusterAttribute, announcement.cluster},
             {addressAttribute, announcement.address},
             {slotsAttribute, std::uint64_t{announcement.slots}}}};
}

// Rows that another writer has spoilt name nobody.
std::optional<Departure> decodeDeparture(const Row &row)
{
    const std::string *instance = row.text(instanceAttribute);
    const std::uint64_t *startedAt = row.number(startedAttribute);
    if (instance == nullptr || startedAt == nullptr)
        return std::nullopt;
    return Departure{*instance, *startedAt};
}

std::optional<UpstreamAnnouncement> decodeServing(const Row &row)
{
    const std::optional<Departure> start = decodeDeparture(row);
    const std::string *cluster = row.text(clusterAttribute);
    const std::string *address = row.text(addressAttribute);
    const std::uint64_t *slots = row.number(slotsAttribute);
    if (!start || cluster == nullptr || address == nullptr || slots == nullptr || *slots == 0)
        return std::nullopt;
    UpstreamAnnouncement announcement;
    announcement.cluster = *cluster;
    announcement.address = *address;
    announcement.slots = static_cast<std::uint32_t>(*slots);
    announcement.instance = start->instance;
    announcement.startedAt = start->startedAt;
    return announcement;
}

PersistedUpstream decodeRows(const std::vector<Row> &rows)
{
    PersistedUpstream recalled;
    for (const Row &row : rows) {
        if (row.key.sort == leavingRow)
            recalled.departure = decodeDeparture(row);
        if (row.key.sort == servingRow)
            recalled.serving = decodeServing(row);
        const std::string *requests = row.text(requestsAttribute);
        if (row.key.sort == crashesRow && requests != nullptr)
            recalled.crashes = CrashHistory::parse(*requests).crashes();
    }
    return recalled;
}

bool isSameStart(const std::optional<UpstreamAnnouncement> &known, const UpstreamAnnouncement &other)
{
    return known && departureOf(*known) == departureOf(other) && known->slots == other.slots
           && known->cluster == other.cluster && known->address == other.address;
}

} // namespace

UpstreamRecord::UpstreamRecord(boost::asio::io_context &context, TablePort table, std::string node,
                               UpstreamRecordHooks hooks)
    : table(std::move(table))
    , node(std::move(node))
    , hooks(std::move(hooks))
    , readTimer(context)
    , waitTimer(context)
    , writeTimer(context)
{
}

void UpstreamRecord::load()
{
    QueryRequest request;
    request.partition = keyOf(this->node, leavingRow).partition;
    this->table.query(request, [this, returnsBefore = this->returns](const Result<std::vector<Row>> &rows) {
        if (rows)
            return this->takeRecalled(decodeRows(rows.value()), returnsBefore);
        this->hooks.failed(rows.error());
        this->readTimer.expires_after(this->nextPause);
        this->nextPause = std::min(this->nextPause * 2, maximumRecordRetryDelay);
        this->readTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                this->load();
        });
    });
}

void UpstreamRecord::takeRecalled(const PersistedUpstream &found, std::uint32_t returnsBefore)
{
    if (!this->serving)
        this->serving = found.serving;
    this->crashes.add(found.crashes);
    if (!this->noted) {
        this->noted = found.departure;
        this->keptNow = found.departure;
        if (returnsBefore != this->returns)
            this->writeLeavingAgain(); // It was read before the return.
    }
    this->hooks.loaded(found);
}

void UpstreamRecord::recordServing(const UpstreamAnnouncement &announcement)
{
    if (!this->crashesKept)
        this->writeCrashes();
    if (!this->servingIsLost && isSameStart(this->serving, announcement))
        return;
    this->servingIsLost = false;
    this->serving = announcement;
    this->servingWrittenAt = SteadyClock::now();
    this->table.putIf({encodeServing(keyOf(this->node, servingRow), announcement), {}},
                      [this](const Result<void> &result) {
                          if (!result)
                              this->hooks.failed(result.error());
                      });
}

void UpstreamRecord::recordCrashes(const std::vector<CrashRecord> &added)
{
    this->crashes.add(added);
    this->writeCrashes();
}

void UpstreamRecord::removeCrash(std::uint64_t request, std::uint64_t crash)
{
    if (this->crashes.remove(request, crash))
        this->crashesKept = false;
}

void UpstreamRecord::writeCrashes()
{
    this->crashes.dropExpired(unixMilliseconds());
    this->crashesKept = true;
    const Row row{keyOf(this->node, crashesRow), {{requestsAttribute, this->crashes.serialize()}}};
    this->table.putIf({row, {}}, [this](const Result<void> &result) {
        if (result)
            return;
        this->crashesKept = false;
        this->hooks.failed(result.error());
    });
}

void UpstreamRecord::recordDeparture(const Departure &departure)
{
    this->noted = departure;
    if (!this->writing && !this->isKept())
        this->write();
}

void UpstreamRecord::rewriteAfterRestore(Instant now)
{
    this->crashesKept = this->crashesKept && this->crashes.crashes().empty();
    ++this->returns;
    this->servingIsLost = this->servingWrittenAt && now - *this->servingWrittenAt < maximumBackupAge;
    this->writeLeavingAgain();
}

void UpstreamRecord::writeLeavingAgain()
{
    if (!this->noted || this->isOutlived(*this->noted))
        return;
    this->keptNow.reset();
    this->owed = true;
    this->nextWritePause = recordRetryDelay;
    if (!this->writing)
        this->write();
}

bool UpstreamRecord::isOutlived(const Departure &departure) const
{
    return this->serving && departure.startedAt != 0 && this->serving->startedAt > departure.startedAt;
}

// Failure: the table answers with refusals for a while after it came back, and the upstream that left says
// nothing more. Symptom: its leaving stays lost. So what was confirmed is written until it stands.
void UpstreamRecord::writeLater()
{
    this->writeTimer.expires_after(this->nextWritePause);
    this->nextWritePause = std::min(this->nextWritePause * 2, maximumRecordRetryDelay);
    this->writeTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && this->owed && !this->writing)
            this->write();
    });
}

void UpstreamRecord::write()
{
    this->writing = true;
    this->table.putIf({encodeDeparture(keyOf(this->node, leavingRow), *this->noted), {}},
                      [this, departure = *this->noted, returnsBefore = this->returns](
                          const Result<void> &result) { this->written(departure, result, returnsBefore); });
}

void UpstreamRecord::written(const Departure &departure, const Result<void> &result,
                             std::uint32_t returnsBefore)
{
    this->writing = false;
    if (!result) {
        this->keptNow.reset(); // Not known; the next word of the upstream has it written again.
        this->hooks.failed(result.error());
        if (this->owed)
            this->writeLater();
        return this->release();
    }
    if (returnsBefore != this->returns)
        return this->write(); // Answered before the return, or after it: not known.
    this->owed = false;
    this->keptNow = departure;
    this->hooks.departurePersisted(departure);
    if (!this->isKept())
        return this->write();
    this->release();
}

void UpstreamRecord::whenPersisted(std::function<void(bool)> answer)
{
    if (!this->writing)
        return answer(this->isKept());
    this->waiting.push_back(std::move(answer));
    if (this->waiting.size() > 1)
        return;
    this->waitTimer.expires_after(departureWriteTimeout);
    this->waitTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->release();
    });
}

void UpstreamRecord::release()
{
    this->waitTimer.cancel();
    for (const std::function<void(bool)> &answer : std::exchange(this->waiting, {}))
        answer(this->isKept());
}

} // namespace Sagecrank

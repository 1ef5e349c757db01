// Reads and writes the persisted rows of the upstream beside the node.
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
constexpr const char *versionAttribute = "version";
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
             {slotsAttribute, std::uint64_t{announcement.slots}},
             {versionAttribute, announcement.version}}};
}

// Malformed rows are ignored.
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
    const std::optional<Departure> instance = decodeDeparture(row);
    const std::string *cluster = row.text(clusterAttribute);
    const std::string *address = row.text(addressAttribute);
    const std::uint64_t *slots = row.number(slotsAttribute);
    if (!instance || cluster == nullptr || address == nullptr || slots == nullptr || *slots == 0)
        return std::nullopt;
    UpstreamAnnouncement announcement;
    announcement.cluster = *cluster;
    announcement.address = *address;
    announcement.slots = static_cast<std::uint32_t>(*slots);
    if (const std::string *version = row.text(versionAttribute))
        announcement.version = *version;
    announcement.instance = instance->instance;
    announcement.startedAt = instance->startedAt;
    return announcement;
}

PersistedUpstream decodeRows(const std::vector<Row> &rows)
{
    PersistedUpstream upstream;
    for (const Row &row : rows) {
        if (row.key.sort == leavingRow)
            upstream.departure = decodeDeparture(row);
        if (row.key.sort == servingRow)
            upstream.serving = decodeServing(row);
        const std::string *requests = row.text(requestsAttribute);
        if (row.key.sort == crashesRow && requests != nullptr)
            upstream.crashes = CrashHistory::parse(*requests).crashes();
    }
    return upstream;
}

bool isSameInstance(const std::optional<UpstreamAnnouncement> &known, const UpstreamAnnouncement &other)
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
    this->table.query(request,
                      [this, restoresBefore = this->restoreCount](const Result<std::vector<Row>> &rows) {
                          if (rows)
                              return this->applyLoaded(decodeRows(rows.value()), restoresBefore);
                          this->hooks.failed(rows.error());
                          this->readTimer.expires_after(this->nextReadDelay);
                          this->nextReadDelay = std::min(this->nextReadDelay * 2, maximumRecordRetryDelay);
                          this->readTimer.async_wait([this](const boost::system::error_code &error) {
                              if (!error)
                                  this->load();
                          });
                      });
}

void UpstreamRecord::applyLoaded(const PersistedUpstream &loaded, std::uint32_t restoresBefore)
{
    if (!this->serving)
        this->serving = loaded.serving;
    this->crashes.add(loaded.crashes);
    if (!this->recordedDeparture) {
        this->recordedDeparture = loaded.departure;
        this->persistedDeparture = loaded.departure;
        if (restoresBefore != this->restoreCount)
            this->rewriteDeparture(); // The rows may have been read before the restore.
    }
    this->hooks.loaded(loaded);
}

void UpstreamRecord::recordServing(const UpstreamAnnouncement &announcement)
{
    if (!this->crashesPersisted)
        this->writeCrashes();
    if (!this->servingNeedsRewrite && isSameInstance(this->serving, announcement))
        return;
    this->servingNeedsRewrite = false;
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
        this->crashesPersisted = false;
}

void UpstreamRecord::writeCrashes()
{
    this->crashes.dropExpired(unixMilliseconds());
    this->crashesPersisted = true;
    const Row row{keyOf(this->node, crashesRow), {{requestsAttribute, this->crashes.serialize()}}};
    this->table.putIf({row, {}}, [this](const Result<void> &result) {
        if (result)
            return;
        this->crashesPersisted = false;
        this->hooks.failed(result.error());
    });
}

void UpstreamRecord::recordDeparture(const Departure &departure)
{
    this->recordedDeparture = departure;
    if (!this->writing && !this->isPersisted())
        this->writeDeparture();
}

void UpstreamRecord::rewriteAfterRestore(Instant now)
{
    this->crashesPersisted = this->crashesPersisted && this->crashes.crashes().empty();
    ++this->restoreCount;
    this->servingNeedsRewrite = this->servingWrittenAt && now - *this->servingWrittenAt < maximumBackupAge;
    this->rewriteDeparture();
}

void UpstreamRecord::rewriteDeparture()
{
    if (!this->recordedDeparture || this->isSuperseded(*this->recordedDeparture))
        return;
    this->persistedDeparture.reset();
    this->rewritePending = true;
    this->nextWriteDelay = recordRetryDelay;
    if (!this->writing)
        this->writeDeparture();
}

bool UpstreamRecord::isSuperseded(const Departure &departure) const
{
    return this->serving && departure.startedAt != 0 && this->serving->startedAt > departure.startedAt;
}

// After a restore the table may reject writes for a while, and an upstream that left sends no further
// announcement. So a confirmed departure is rewritten until the write succeeds.
void UpstreamRecord::scheduleRewrite()
{
    this->writeTimer.expires_after(this->nextWriteDelay);
    this->nextWriteDelay = std::min(this->nextWriteDelay * 2, maximumRecordRetryDelay);
    this->writeTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && this->rewritePending && !this->writing)
            this->writeDeparture();
    });
}

void UpstreamRecord::writeDeparture()
{
    this->writing = true;
    this->table.putIf({encodeDeparture(keyOf(this->node, leavingRow), *this->recordedDeparture), {}},
                      [this, departure = *this->recordedDeparture,
                       restoresBefore = this->restoreCount](const Result<void> &result) {
                          this->departureWritten(departure, result, restoresBefore);
                      });
}

void UpstreamRecord::departureWritten(const Departure &departure, const Result<void> &result,
                                      std::uint32_t restoresBefore)
{
    this->writing = false;
    if (!result) {
        this->persistedDeparture.reset(); // Unknown; the next announcement of the upstream writes it again.
        this->hooks.failed(result.error());
        if (this->rewritePending)
            this->scheduleRewrite();
        return this->answerWaiting();
    }
    if (restoresBefore != this->restoreCount)
        return this->writeDeparture(); // Acknowledged before or after the restore, which is not known.
    this->rewritePending = false;
    this->persistedDeparture = departure;
    this->hooks.departurePersisted(departure);
    if (!this->isPersisted())
        return this->writeDeparture();
    this->answerWaiting();
}

void UpstreamRecord::whenPersisted(std::function<void(bool)> answer)
{
    if (!this->writing)
        return answer(this->isPersisted());
    this->waiting.push_back(std::move(answer));
    if (this->waiting.size() > 1)
        return;
    this->waitTimer.expires_after(departureWriteTimeout);
    this->waitTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->answerWaiting();
    });
}

void UpstreamRecord::answerWaiting()
{
    this->waitTimer.cancel();
    for (const std::function<void(bool)> &answer : std::exchange(this->waiting, {}))
        answer(this->isPersisted());
}

} // namespace Sagecrank

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
constexpr const char *reportedAttribute = "reported_at";
constexpr const char *clusterAttribute = "cluster";
constexpr const char *addressAttribute = "address";
constexpr const char *slotsAttribute = "slots";
constexpr const char *versionAttribute = "version";
constexpr const char *requestsAttribute = "requests";

RowKey keyOf(const std::string &node, const char *row)
{
    return {"upstream/" + node, row};
}

// The attributes of the newest departure bear plain names, those of earlier ones a number.
std::string numbered(const char *attribute, std::size_t index)
{
    return index == 0 ? attribute : std::string(attribute) + "." + std::to_string(index);
}

Row encodeDepartures(const RowKey &key, const std::vector<Departure> &departures)
{
    Row row{key, {}};
    for (std::size_t index = 0; index < departures.size(); ++index) {
        const Departure &departure = departures[departures.size() - 1 - index];
        row.attributes[numbered(instanceAttribute, index)] = departure.instance;
        if (departure.startedAt)
            row.attributes[numbered(startedAttribute, index)] = *departure.startedAt;
        if (departure.reportedAt != 0)
            row.attributes[numbered(reportedAttribute, index)] = departure.reportedAt;
    }
    return row;
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

// Malformed rows and departures are ignored.
std::optional<Departure> decodeDeparture(const Row &row, std::size_t index)
{
    const std::string *instance = row.text(numbered(instanceAttribute, index));
    const std::uint64_t *startedAt = row.number(numbered(startedAttribute, index));
    const std::uint64_t *reportedAt = row.number(numbered(reportedAttribute, index));
    if (instance == nullptr || (startedAt == nullptr && reportedAt == nullptr))
        return std::nullopt;
    Departure departure;
    departure.instance = *instance;
    if (reportedAt != nullptr)
        departure.reportedAt = *reportedAt;
    // Earlier versions of the node wrote 0 for a departure without a start time.
    if (startedAt != nullptr && *startedAt == 0 && reportedAt == nullptr)
        departure.reportedAt = unixMilliseconds();
    else if (startedAt != nullptr)
        departure.startedAt = *startedAt;
    return departure;
}

std::vector<Departure> decodeDepartures(const Row &row)
{
    std::vector<Departure> departures;
    for (std::size_t index = maximumDepartures; index-- > 0;) {
        if (std::optional<Departure> departure = decodeDeparture(row, index))
            departures.push_back(std::move(*departure));
    }
    return departures;
}

std::optional<UpstreamAnnouncement> decodeServing(const Row &row)
{
    const std::string *instance = row.text(instanceAttribute);
    const std::uint64_t *startedAt = row.number(startedAttribute);
    const std::string *cluster = row.text(clusterAttribute);
    const std::string *address = row.text(addressAttribute);
    const std::uint64_t *slots = row.number(slotsAttribute);
    if (instance == nullptr || startedAt == nullptr || cluster == nullptr || address == nullptr
        || slots == nullptr || *slots == 0)
        return std::nullopt;
    UpstreamAnnouncement announcement;
    announcement.cluster = *cluster;
    announcement.address = *address;
    announcement.slots = static_cast<std::uint32_t>(*slots);
    if (const std::string *version = row.text(versionAttribute))
        announcement.version = *version;
    announcement.instance = *instance;
    announcement.startedAt = *startedAt;
    return announcement;
}

PersistedUpstream decodeRows(const std::vector<Row> &rows)
{
    PersistedUpstream upstream;
    for (const Row &row : rows) {
        if (row.key.sort == leavingRow)
            upstream.departures = decodeDepartures(row);
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
    return known && known->instance == other.instance && known->startedAt == other.startedAt
           && known->slots == other.slots && known->cluster == other.cluster
           && known->address == other.address;
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
                          if (this->loaded)
                              return; // Another read was answered first.
                          if (rows)
                              return this->applyLoaded(decodeRows(rows.value()), restoresBefore);
                          this->readFailed(rows.error());
                      });
}

void UpstreamRecord::readFailed(const Error &error)
{
    this->hooks.failed(error);
    this->scheduleRead(this->nextReadDelay);
    this->nextReadDelay = std::min(this->nextReadDelay * 2, maximumRecordRetryDelay);
    this->answerWaiting();
}

void UpstreamRecord::scheduleRead(Duration delay)
{
    this->readTimer.expires_after(delay);
    this->readTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->loaded)
            this->load();
    });
}

void UpstreamRecord::applyLoaded(const PersistedUpstream &read, std::uint32_t restoresBefore)
{
    this->loaded = true;
    this->readTimer.cancel();
    if (!this->serving)
        this->serving = read.serving;
    this->crashes.add(read.crashes);
    const Departures reported = std::exchange(this->departures, {});
    for (const std::vector<Departure> *each : {&read.departures, &reported.list()}) {
        for (const Departure &departure : *each)
            this->departures.add(departure);
    }
    this->persistedDepartures = read.departures;
    if (restoresBefore != this->restoreCount)
        this->rewriteDepartures(); // The rows may have been read before the restore.
    PersistedUpstream known = read;
    known.departures = this->departures.list();
    this->hooks.loaded(known);
    if (!this->writing && !this->isPersisted())
        this->writeDepartures();
    if (!this->writing)
        this->answerWaiting();
}

void UpstreamRecord::recordServing(const UpstreamAnnouncement &announcement)
{
    if (!this->crashesPersisted)
        this->writeCrashes();
    const bool retracted = this->departures.retract(announcement.instance, announcement.startedAt);
    if (retracted && this->loaded && !this->writing)
        this->writeDepartures();
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
    this->departures.add(departure);
    if (this->isPersisted() || this->writing)
        return;
    if (this->loaded)
        return this->writeDepartures();
    // The upstream waits for its confirmation, so the next attempt is not delayed.
    this->scheduleRead(Duration::zero());
}

void UpstreamRecord::rewriteAfterRestore(Instant now)
{
    this->crashesPersisted = this->crashesPersisted && this->crashes.crashes().empty();
    ++this->restoreCount;
    this->servingNeedsRewrite = this->servingWrittenAt && now - *this->servingWrittenAt < maximumBackupAge;
    this->rewriteDepartures();
}

void UpstreamRecord::rewriteDepartures()
{
    const bool needed = std::ranges::any_of(this->departures.list(), [this](const Departure &departure) {
        return !this->isSuperseded(departure);
    });
    if (!this->loaded || !needed)
        return;
    this->persistedDepartures.reset();
    this->rewritePending = true;
    this->nextWriteDelay = recordRetryDelay;
    if (!this->writing)
        this->writeDepartures();
}

bool UpstreamRecord::isSuperseded(const Departure &departure) const
{
    const std::uint64_t last = std::max(departure.startedAt.value_or(0), departure.reportedAt);
    return this->serving && last != 0 && this->serving->startedAt > last;
}

bool UpstreamRecord::isPersisted() const
{
    return this->persistedDepartures ? *this->persistedDepartures == this->departures.list()
                                     : this->departures.isEmpty();
}

// After a restore the table may reject writes for a while, and an upstream that left sends no further
// announcement. So confirmed departures are rewritten until the write succeeds.
void UpstreamRecord::scheduleRewrite()
{
    this->writeTimer.expires_after(this->nextWriteDelay);
    this->nextWriteDelay = std::min(this->nextWriteDelay * 2, maximumRecordRetryDelay);
    this->writeTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && this->rewritePending && !this->writing)
            this->writeDepartures();
    });
}

void UpstreamRecord::writeDepartures()
{
    this->writing = true;
    const std::vector<Departure> &list = this->departures.list();
    this->table.putIf({encodeDepartures(keyOf(this->node, leavingRow), list), {}},
                      [this, list, restoresBefore = this->restoreCount](const Result<void> &result) {
                          this->departuresWritten(list, result, restoresBefore);
                      });
}

void UpstreamRecord::departuresWritten(const std::vector<Departure> &written, const Result<void> &result,
                                       std::uint32_t restoresBefore)
{
    this->writing = false;
    if (!result) {
        this->persistedDepartures.reset(); // Unknown; the next message of the upstream writes it again.
        this->hooks.failed(result.error());
        if (this->rewritePending)
            this->scheduleRewrite();
        return this->answerWaiting();
    }
    if (restoresBefore != this->restoreCount)
        return this->writeDepartures(); // Acknowledged before or after the restore, which is not known.
    this->rewritePending = false;
    this->persistedDepartures = written;
    this->hooks.departuresPersisted(written);
    if (!this->isPersisted())
        return this->writeDepartures();
    this->answerWaiting();
}

void UpstreamRecord::whenPersisted(std::function<void(bool)> answer)
{
    const bool isReading = !this->loaded && !this->isPersisted();
    if (!this->writing && !isReading)
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

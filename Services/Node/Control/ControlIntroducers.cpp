// Reads and writes the rows of introducers.
#include "ControlIntroducers.h"

#include <LibNet/FramedConnection.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <numeric>

namespace Sagecrank {

namespace {

constexpr std::uint32_t readLimit = 256; // Enough for the rows of 85 zones.
constexpr auto partition = "introducers";
constexpr char placeSeparator = '#'; // Between the zone and the place in a sort key.

std::string sortKey(const std::string &zone, std::uint32_t place)
{
    return zone + placeSeparator + std::to_string(place);
}

std::vector<std::uint32_t> allPlaces()
{
    std::vector<std::uint32_t> places(introducersPerZone);
    std::iota(places.begin(), places.end(), 0U);
    return places;
}

std::string zoneOf(const RowKey &key)
{
    return key.sort.substr(0, key.sort.rfind(placeSeparator));
}

} // namespace

ControlIntroducers::ControlIntroducers(boost::asio::io_context &context, std::string zone,
                                       std::string gossipAddress, TablePort table, IntroducerTiming timing,
                                       IntroducerHooks hooks, std::uint64_t seed)
    : timer(context)
    , zone(std::move(zone))
    , gossipAddress(std::move(gossipAddress))
    , table(std::move(table))
    , timing(timing)
    , hooks(std::move(hooks))
    , random(seed)
    , schedule(timing, seed + 1)
{
}

void ControlIntroducers::start()
{
    std::uniform_real_distribution<double> share(0, 1);
    const auto spread =
        std::chrono::duration_cast<Duration>(this->timing.initialSpread * share(this->random));
    this->scheduleRound(this->timing.initialDelay + spread);
}

void ControlIntroducers::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void ControlIntroducers::scheduleRound(Duration delay)
{
    std::uniform_real_distribution<double> share(0.7, 1.3);
    this->timer.expires_after(std::chrono::duration_cast<Duration>(delay * share(this->random)));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error && !this->stopped)
            this->round();
    });
}

void ControlIntroducers::round()
{
    const std::uint32_t rank = this->hooks.rank();
    const IntroducerRound now = this->schedule.next(this->hooks.knowsOthers(), rank);
    if (now.write == IntroducerWrite::RankedRow)
        this->writeIfDue(rank);
    if (now.read)
        this->read(now);
    this->scheduleRound(now.pause);
}

std::uint32_t ControlIntroducers::pickRandom(const std::vector<std::uint32_t> &places)
{
    return places[this->random() % places.size()];
}

void ControlIntroducers::writeIfDue(std::uint32_t place)
{
    const Instant now = SteadyClock::now();
    if (this->writtenAt != Instant::min() && now - this->writtenAt < introducerRenewalInterval / 2)
        return;
    this->write(place);
}

// When the table is restored from an older copy, the rows of a zone may be missing, and a node that starts
// then finds no introducer until they are renewed, up to a minute later. A node that knows no other
// node needs no rewrite: it reads often and writes its row when it is missing.
void ControlIntroducers::rewriteRow()
{
    this->writtenAt = Instant::min();
    const std::uint32_t rank = this->hooks.rank();
    if (this->stopped || !this->hooks.knowsOthers() || rank >= introducersPerZone)
        return;
    this->rewritePending = true;
    this->write(rank);
}

void ControlIntroducers::write(std::uint32_t place)
{
    this->writtenAt = SteadyClock::now();
    ++this->counts.writes;
    if (this->hooks.isIntroducer)
        this->hooks.isIntroducer();
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
    Row row{{partition, sortKey(this->zone, place)}, {{"gossip", this->gossipAddress}, {"time", seconds}}};
    this->table.putIf({std::move(row), {}}, [this](const Result<void> &result) {
        if (result) {
            this->rewritePending = false;
            return;
        }
        ++this->counts.failures;
        this->writtenAt = Instant::min(); // The next round retries.
        if (this->rewritePending && !this->stopped)
            this->scheduleRound(this->timing.maximumIsolatedBackoff);
    });
}

void ControlIntroducers::read(const IntroducerRound &round)
{
    ++this->counts.reads;
    this->table.query({partition, false, readLimit}, [this, round](Result<std::vector<Row>> rows) {
        if (this->stopped)
            return;
        if (!rows) {
            ++this->counts.failures;
            return;
        }
        this->processRows(round, rows.assume_value());
    });
}

// Contacts one random introducer of each other zone in a round: a row may name a host that no longer exists.
void ControlIntroducers::processRows(const IntroducerRound &round, const std::vector<Row> &rows)
{
    std::vector<std::uint32_t> freePlaces = allPlaces();
    std::vector<std::string> ownZone;
    std::map<std::string, std::vector<std::string>> otherZones;
    for (const Row &row : rows) {
        const std::string *address = row.text("gossip");
        // A row of another writer may hold anything. Its place is free.
        if (address != nullptr && !parseTcpEndpoint(*address))
            continue;
        if (address != nullptr && *address == this->gossipAddress && this->hooks.isIntroducer)
            this->hooks.isIntroducer();
        if (address == nullptr || *address == this->gossipAddress)
            continue;
        const std::string from = zoneOf(row.key);
        std::vector<std::string> &addresses = from == this->zone ? ownZone : otherZones[from];
        addresses.push_back(*address);
        std::erase_if(freePlaces,
                      [&](std::uint32_t place) { return row.key.sort == sortKey(this->zone, place); });
    }
    const bool mayWrite = round.write == IntroducerWrite::FreeRow || round.write == IntroducerWrite::AnyRow;
    if (mayWrite && !freePlaces.empty())
        this->writeIfDue(this->pickRandom(freePlaces));
    else if (round.write == IntroducerWrite::AnyRow)
        this->writeIfDue(this->pickRandom(allPlaces()));
    this->hooks.found(ownZone, true);
    const Duration pause = this->schedule.readAnswered(this->hooks.knowsOthers(), !ownZone.empty());
    if (pause > Duration::zero())
        this->scheduleRound(pause);
    if (!round.contactOtherZones || otherZones.empty())
        return;
    std::vector<std::string> contacts;
    for (const auto &[from, addresses] : otherZones)
        contacts.push_back(addresses[this->random() % addresses.size()]);
    this->hooks.found(contacts, false);
}

} // namespace Sagecrank

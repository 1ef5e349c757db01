// Rows of introducers, written by few and read by who is alone.
#include "ControlIntroducers.h"

#include <algorithm>
#include <chrono>

namespace Sagecrank {

namespace {

constexpr std::uint32_t introducersPerZone = 3;
constexpr Duration renewInterval = std::chrono::seconds(60);
constexpr Duration longestLonelyBackoff = std::chrono::seconds(30);
constexpr std::uint32_t readLimit = 32;
constexpr auto meshPartition = "introducers#mesh"; // One row a zone, so that zones find each other.

std::string zonePartition(const std::string &zone)
{
    return "introducers#" + zone;
}

} // namespace

ControlIntroducers::ControlIntroducers(boost::asio::io_context &context, std::string id, std::string zone,
                                       std::string gossipAddress, TablePort table,
                                       IntroducerSettings settings, IntroducerHooks hooks, std::uint64_t seed)
    : timer(context)
    , id(std::move(id))
    , zone(std::move(zone))
    , gossipAddress(std::move(gossipAddress))
    , table(std::move(table))
    , settings(settings)
    , hooks(std::move(hooks))
    , random(seed)
    , lonelyBackoff(settings.lonelyBackoff)
{
}

void ControlIntroducers::start()
{
    this->later(this->settings.firstRound);
}

void ControlIntroducers::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void ControlIntroducers::later(Duration delay)
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
    ++this->rounds;
    const bool knowsOthers = this->hooks.knowsOthers();
    const bool first = this->hooks.rank() == 0;
    this->meetZone(knowsOthers);
    if (this->rounds > 1 && (first || !knowsOthers))
        this->meetOtherZones();
    // Zones that start together may miss each other's rows, so the first of each looks more often at first.
    const bool settled = knowsOthers && (!first || this->lonelyBackoff >= renewInterval);
    if (settled)
        return this->later(renewInterval);
    this->later(this->lonelyBackoff);
    const Duration longest = knowsOthers ? renewInterval : longestLonelyBackoff;
    this->lonelyBackoff = std::min(this->lonelyBackoff * 2, longest);
}

void ControlIntroducers::meetZone(bool knowsOthers)
{
    if (this->hooks.rank() < introducersPerZone)
        this->writeWhenDue(this->zoneWrittenAt, zonePartition(this->zone), this->id);
    if (!knowsOthers)
        this->read(zonePartition(this->zone));
}

void ControlIntroducers::meetOtherZones()
{
    if (this->hooks.rank() == 0)
        this->writeWhenDue(this->meshWrittenAt, meshPartition, this->zone);
    this->read(meshPartition);
}

void ControlIntroducers::writeWhenDue(Instant &writtenAt, const std::string &partition,
                                      const std::string &sort)
{
    const Instant now = SteadyClock::now();
    if (writtenAt != Instant::min() && now - writtenAt < renewInterval / 2)
        return;
    writtenAt = now;
    ++this->counts.writes;
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(time).count());
    Row row{{partition, sort}, {{"gossip", this->gossipAddress}, {"time", seconds}}};
    this->table.putIf({std::move(row), {}}, [this, &writtenAt](const Result<void> &written) {
        if (written)
            return;
        ++this->counts.failures;
        writtenAt = Instant::min(); // The next round tries again.
    });
}

void ControlIntroducers::read(const std::string &partition)
{
    ++this->counts.reads;
    const bool ownZone = partition != meshPartition;
    this->table.query({partition, false, readLimit}, [this, ownZone](Result<std::vector<Row>> rows) {
        if (this->stopped)
            return;
        if (!rows) {
            ++this->counts.failures;
            return;
        }
        std::vector<std::string> addresses;
        for (const Row &row : rows.assume_value()) {
            const std::string *address = row.text("gossip");
            if (address != nullptr && *address != this->gossipAddress)
                addresses.push_back(*address);
        }
        this->hooks.found(addresses, ownZone);
    });
}

} // namespace Sagecrank

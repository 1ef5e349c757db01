// Rows of introducers, written by few and read by who is alone.
#include "ControlIntroducers.h"

#include <algorithm>
#include <chrono>

namespace Sagecrank {

namespace {

constexpr std::uint32_t readLimit = 32;
constexpr auto meshPartition = "introducers#mesh"; // One row a zone, so that zones find each other.

std::string zonePartition(const std::string &zone)
{
    return "introducers#" + zone;
}

} // namespace

ControlIntroducers::ControlIntroducers(boost::asio::io_context &context, std::string id, std::string zone,
                                       std::string gossipAddress, TablePort table, IntroducerPace pace,
                                       IntroducerHooks hooks, std::uint64_t seed)
    : timer(context)
    , id(std::move(id))
    , zone(std::move(zone))
    , gossipAddress(std::move(gossipAddress))
    , table(std::move(table))
    , pace(pace)
    , hooks(std::move(hooks))
    , random(seed)
    , rounds(pace)
{
}

void ControlIntroducers::start()
{
    this->later(this->pace.firstRound);
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
    const IntroducerRound now = this->rounds.next(this->hooks.knowsOthers(), this->hooks.rank());
    if (now.writeZone)
        this->writeWhenDue(this->zoneWrittenAt, zonePartition(this->zone), this->id);
    if (now.readZone)
        this->read(zonePartition(this->zone));
    if (now.writeMesh)
        this->writeWhenDue(this->meshWrittenAt, meshPartition, this->zone);
    if (now.readMesh)
        this->read(meshPartition);
    this->later(now.pause);
}

void ControlIntroducers::writeWhenDue(Instant &writtenAt, const std::string &partition,
                                      const std::string &sort)
{
    const Instant now = SteadyClock::now();
    if (writtenAt != Instant::min() && now - writtenAt < introducerRenewal / 2)
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

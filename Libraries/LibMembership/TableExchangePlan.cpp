// Chooses the time and the partner of table exchanges.
#include <LibMembership/TableExchangePlan.h>

#include <algorithm>
#include <utility>

namespace Sagecrank {

namespace {

// Another zone is asked again once the own zone has grown by this share and number, so that it gets the nodes
// that were missing.
constexpr std::size_t grownDivisor = 8;
constexpr std::size_t grownMembers = 8;

bool hasGrown(std::size_t before, std::size_t now)
{
    return now > before + before / grownDivisor + grownMembers;
}

} // namespace

TableExchangePlan::TableExchangePlan(TableExchangeSettings settings, std::uint64_t seed)
    : settings(settings)
    , random(seed)
{
}

void TableExchangePlan::require(Instant now, std::uint64_t partner)
{
    if (this->ownZoneDue)
        return;
    this->ownZoneDue = true;
    this->quietExchanges = 0;
    this->requiredPartner = partner;
    this->nextAt = std::max(this->nextAt, now + this->jittered(this->settings.roundPause / 2));
}

std::optional<TableExchangeStep> TableExchangePlan::next(Instant now, const TableExchangeView &view)
{
    if (this->open || now < this->nextAt)
        return std::nullopt;
    const bool ownZone = this->ownZoneDue && (view.zonePeers > 0 || this->requiredPartner != 0);
    const std::optional<std::string> zone = this->chooseZone(view);
    if (!ownZone && !zone) {
        this->nextAt = now + this->settings.roundPause;
        return std::nullopt;
    }
    // A representative takes turns, so that its zone and the others learn of each other while both still
    // grow.
    this->lastWasOwnZone = !zone || (ownZone && !this->lastWasOwnZone);
    TableExchangeStep step;
    if (this->lastWasOwnZone)
        step.partner = std::exchange(this->requiredPartner, 0);
    else
        step.zone = *zone;
    this->zonePeersAtStep = view.zonePeers;
    this->open = step;
    return step;
}

// A node that knows nobody in its zone exchanges with other zones whatever its rank.
std::optional<std::string> TableExchangePlan::chooseZone(const TableExchangeView &view)
{
    if (view.rank >= this->settings.representativesPerZone)
        return std::nullopt;
    std::vector<std::string> due;
    for (const std::string &zone : view.otherZones) {
        const auto exchanged = this->exchangedZones.find(zone);
        if (exchanged == this->exchangedZones.end() || hasGrown(exchanged->second, view.zonePeers))
            due.push_back(zone);
    }
    if (due.empty())
        return std::nullopt;
    return due[this->random() % due.size()];
}

void TableExchangePlan::ended(Instant now, bool succeeded, std::size_t records)
{
    if (!this->open)
        return;
    const TableExchangeStep step = *std::exchange(this->open, std::nullopt);
    this->nextAt = now + this->jittered(succeeded ? this->settings.roundPause : this->settings.retryPause);
    if (!succeeded)
        return;
    if (step.zone.empty())
        return this->ownZoneEnded(records);
    this->exchangedZones[step.zone] = this->zonePeersAtStep;
    if (records > this->settings.settledRecords) {
        this->ownZoneDue = true; // The zone gets what this exchange brought.
        this->quietExchanges = 0;
    }
}

void TableExchangePlan::ownZoneEnded(std::size_t records)
{
    this->quietExchanges = records <= this->settings.settledRecords ? this->quietExchanges + 1 : 0;
    if (this->quietExchanges >= this->settings.quietExchanges)
        this->ownZoneDue = false;
}

Duration TableExchangePlan::jittered(Duration pause)
{
    std::uniform_real_distribution<double> factor(0.7, 1.3);
    return std::chrono::duration_cast<Duration>(pause * factor(this->random));
}

} // namespace Sagecrank

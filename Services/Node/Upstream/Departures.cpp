// Implements the record of departures.
#include "Departures.h"

#include <algorithm>

namespace Sagecrank {

bool Departure::covers(std::uint64_t instanceStartedAt) const
{
    return (this->startedAt && instanceStartedAt <= *this->startedAt)
           || (this->reportedAt != 0 && instanceStartedAt <= this->reportedAt);
}

bool Departures::add(const Departure &departure)
{
    const auto known = std::ranges::find(this->departures, departure.instance, &Departure::instance);
    if (known == this->departures.end()) {
        if (this->departures.size() == maximumDepartures)
            this->departures.erase(this->departures.begin());
        this->departures.push_back(departure);
        return true;
    }
    const Departure before = *known;
    known->startedAt = std::max(known->startedAt, departure.startedAt);
    known->reportedAt = std::max(known->reportedAt, departure.reportedAt);
    if (*known == before)
        return false;
    std::rotate(known, known + 1, this->departures.end());
    return true;
}

bool Departures::retract(const std::string &instance, std::uint64_t startedAt)
{
    const auto known = std::ranges::find(this->departures, instance, &Departure::instance);
    if (known == this->departures.end() || known->reportedAt == 0 || startedAt > known->reportedAt)
        return false;
    known->reportedAt = 0;
    if (!known->startedAt)
        this->departures.erase(known);
    return true;
}

const Departure *Departures::find(const std::string &instance) const
{
    const auto known = std::ranges::find(this->departures, instance, &Departure::instance);
    return known == this->departures.end() ? nullptr : &*known;
}

} // namespace Sagecrank

// Records which instances of the upstream on this host left. Every decision that lets an instance take calls
// asks this record, whatever the order in which announcements, departures, restarts and the persisted state
// arrive.
#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Sagecrank {

// A departure that states no start time is from an instance that ran when it was reported. For this long,
// announcements of all instances of that name that started earlier are rejected: longer than an instance runs
// on after it announced that it leaves, and longer than an announcement can be delayed. Later ones come from
// an instance that runs, so the departure was a delayed one of an earlier instance.
inline constexpr Duration departedNameTimeout = std::chrono::seconds(15);

// An instance runs on for seconds after its departure, so a host has only a few at a time. Bounds the record
// if an upstream reports departures without end.
inline constexpr std::size_t maximumDepartures = 8;

// What is known about the departure of the instances of one name. Instances of a name start one after the
// other, so a departure covers the earlier ones too.
struct Departure
{
    std::string instance;
    // Instances that started up to this time have left for good. In Unix milliseconds by the upstream's
    // clock; not set if no departure stated a start time.
    std::optional<std::uint64_t> startedAt{};
    // Instances that started up to this time are rejected for `departedNameTimeout`: when the last departure
    // without a start time was reported, in Unix milliseconds. 0: there was none.
    std::uint64_t reportedAt = 0;

    bool covers(std::uint64_t instanceStartedAt) const;

    bool operator==(const Departure &) const = default;
};

class Departures
{
public:
    // Returns whether the record has changed.
    bool add(const Departure &departure);

    // The instance takes calls: drops a departure without a start time that covers it. Returns whether the
    // record has changed.
    bool retract(const std::string &instance, std::uint64_t startedAt);

    // Null if no instance of this name left.
    const Departure *find(const std::string &instance) const;

    // Oldest first.
    const std::vector<Departure> &list() const { return this->departures; }
    bool isEmpty() const { return this->departures.empty(); }

private:
    std::vector<Departure> departures; // At most `maximumDepartures`, each name once.
};

} // namespace Sagecrank

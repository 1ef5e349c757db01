// Implements parsing and comparing eras; see StoreEra.h.
#include <LibSource/StoreEra.h>

#include <charconv>
#include <utility>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumShownLength = 40; // Of an unreadable era in error messages.

std::optional<std::uint64_t> parseEra(std::string_view text)
{
    std::uint64_t era = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, era);
    if (text.empty() || read.ec != std::errc() || read.ptr != end)
        return std::nullopt;
    return era;
}

} // namespace

std::optional<std::uint64_t> StoreEra::observeResponse(std::string_view stated, const std::string &peer)
{
    const std::optional<std::uint64_t> era = parseEra(stated);
    if (!era) {
        // A store that has never stated an era does not have one.
        if (!stated.empty() || this->highestSeen)
            this->reportSuspect(stated, peer, stated.empty() ? "no era is stated" : "the era is no number");
        return this->highestSeen;
    }
    if (this->highestSeen && *era < *this->highestSeen)
        this->reportSuspect(stated, peer, "the era has fallen");
    if (this->highestSeen && *era <= *this->highestSeen)
        return era;
    const EraChange change{std::exchange(this->highestSeen, era), *era};
    if (this->lastNotified != era)
        this->notifyListeners(change);
    return era;
}

void StoreEra::observePeerEra(std::uint64_t era)
{
    if (!this->highestSeen || era <= *this->highestSeen || this->lastNotified == era)
        return;
    this->notifyListeners({this->highestSeen, era});
}

void StoreEra::notifyListeners(const EraChange &change)
{
    this->lastNotified = change.current;
    for (const ChangeListener &listener : this->listeners)
        listener(change);
}

void StoreEra::reportSuspect(std::string_view stated, const std::string &peer, const char *message)
{
    if (this->lastSuspectText == stated)
        return;
    this->lastSuspectText = stated;
    const std::string shown(stated.substr(0, maximumShownLength));
    if (this->suspectListener)
        this->suspectListener(makeError(ErrorKind::InvalidInput, "read era", peer,
                                        shown.empty() ? message : message + (": " + shown)));
}

} // namespace Sagecrank

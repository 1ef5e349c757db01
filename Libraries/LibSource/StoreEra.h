// Which life of the platform's store answers. A store that comes back from an older copy has lost what it had
// acknowledged since and gives its revisions out again; its era rises by one then. Without clocks or calls.
//
// Failure: an answer of before the return arrives late, or one states nothing that can be read. Symptom of
// believing it: what was learnt of the return is forgotten, and the next honest answer looks like another
// return. So only a higher era counts, and whatever else is stated is told once.
#pragma once

#include <LibCore/Error.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

struct EraChange
{
    std::optional<std::uint64_t> previous; // Nothing: the first that this process has heard of.
    std::uint64_t current = 0;
};

class StoreEra
{
public:
    using ChangeListener = std::function<void(const EraChange &)>;
    using SuspectListener = std::function<void(const Error &)>;

    // Commands. Listeners are called within answered() and heard(), in the order in which they came.
    void addChangeListener(ChangeListener listener) { this->listeners.push_back(std::move(listener)); }
    void setSuspectListener(SuspectListener listener) { this->suspectListener = std::move(listener); }
    // As an answer states it; empty: it states none. Returns the era to which the answer belongs: what it
    // states, or the highest seen.
    std::optional<std::uint64_t> observeResponse(std::string_view stated, const std::string &peer);
    // A peer says that there is this one. It is believed that there was a return, and nothing more: what the
    // store has, and in which era, only its own answer tells.
    void observePeerEra(std::uint64_t era);

    // Queries.
    std::optional<std::uint64_t> highest() const { return this->highestSeen; } // Of the store's own answers.

private:
    void notifyListeners(const EraChange &change);
    void reportSuspect(std::string_view stated, const std::string &peer, const char *message);

    std::vector<ChangeListener> listeners;
    SuspectListener suspectListener;
    std::optional<std::uint64_t> highestSeen;
    std::optional<std::uint64_t> lastNotified; // Last, to the listeners.
    std::optional<std::string> lastSuspectText;
};

} // namespace Sagecrank

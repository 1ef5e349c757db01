// Tracks the era (epoch) of the platform's store. A store that is restored from an older copy has lost the
// writes acknowledged since then and reuses their revisions; its era increases by one with each restore. Has
// no clock and performs no I/O.
//
// Responses from before a restore may arrive late, and an era may be unreadable. Accepting such an era would
// undo the detection of the restore, and the next correct response would look like another restore. So only a
// higher era is accepted; anything else is reported once as suspect.
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
    std::optional<std::uint64_t> previous; // Not set for the first era that this process learns of.
    std::uint64_t current = 0;
};

class StoreEra
{
public:
    using ChangeListener = std::function<void(const EraChange &)>;
    using SuspectListener = std::function<void(const Error &)>;

    // Listeners are invoked from within observeResponse() and observePeerEra(), in the order of registration.
    void addChangeListener(ChangeListener listener) { this->listeners.push_back(std::move(listener)); }
    void setSuspectListener(SuspectListener listener) { this->suspectListener = std::move(listener); }
    // Takes the era as stated in a response of the store, or an empty text if it states none. Returns the era
    // that the response belongs to: the stated one, or the highest seen if that is unreadable.
    std::optional<std::uint64_t> observeResponse(std::string_view stated, const std::string &peer);

    // Takes the era that a peer reports. This only notifies the listeners of a restore; highest() changes
    // only with the store's own responses.
    void observePeerEra(std::uint64_t era);

    std::optional<std::uint64_t> highest() const { return this->highestSeen; }

private:
    void notifyListeners(const EraChange &change);
    void reportSuspect(std::string_view stated, const std::string &peer, const char *message);

    std::vector<ChangeListener> listeners;
    SuspectListener suspectListener;
    std::optional<std::uint64_t> highestSeen; // In responses of the store.
    std::optional<std::uint64_t> lastNotified;
    std::optional<std::string> lastSuspectText;
};

} // namespace Sagecrank

// The upstream beside this node as it announces itself. It has to say so again and again: one that falls
// silent without a word is taken as gone.
#pragma once

#include "CrashHistory.h"
#include <Node/Gate/LocalGate.h>

#include <LibCore/Time.h>
#include <LibMembership/Member.h>

#include <functional>
#include <mutex>
#include <optional>
#include <vector>

namespace Sagecrank {

// An upstream renews its announcement each second; three missed ones in a row are no accident.
inline constexpr Duration announcementLife = std::chrono::seconds(3);

// A goodbye that a node hears before anything else tells no start. For so long nothing of that name is
// believed: longer than a start goes on after its goodbye and than an announcement is held up. The same name,
// started anew, waits as long at most.
inline constexpr Duration departedNameTimeout = std::chrono::seconds(15);

// What an upstream's own word means to those who send it calls.
UpstreamCondition conditionOf(UpstreamState state);

enum class AnnouncementResult : std::uint8_t {
    Accepted,
    Stale, // Of an earlier start, or sent before one that is known already.
};

// The start of an upstream that said that it leaves.
struct Departure
{
    std::string instance;
    std::uint64_t startedAt =
        0; // As in UpstreamAnnouncement; zero: any start of this name, for `departedNameTimeout`.

    bool operator==(const Departure &) const = default;
};

Departure departureOf(const UpstreamAnnouncement &announcement);

// What an earlier process of this node knew.
struct PersistedUpstream
{
    std::optional<UpstreamAnnouncement> serving; // The last start that took calls.
    std::optional<Departure> departure;          // The last start whose leaving was confirmed.
    std::vector<CrashRecord> crashes;
};

struct UpstreamPresenceHooks
{
    std::function<void(const std::string &cluster)> silent; // It stopped announcing itself.
    std::function<void(const UpstreamAnnouncement &)> gate; // At every announcement.
    std::function<void(const std::string &cluster, UpstreamState state, std::uint32_t slots)>
        membership; // At changes.
    // At every word of a start that drains or has gone, before it is confirmed. May be empty.
    std::function<void(const Departure &)> leaving = {};
    // At every word of a start that takes calls. May be empty.
    std::function<void(const UpstreamAnnouncement &)> serving = {};
};

// Safe to use from every thread; the hooks run on the caller's.
class UpstreamPresence
{
public:
    explicit UpstreamPresence(UpstreamPresenceHooks hooks, Duration life = announcementLife);

    AnnouncementResult announced(Instant now, UpstreamAnnouncement announcement, UpstreamState state);
    // The start of the upstream that the instance names leaves; nothing is known of it but its name.
    AnnouncementResult left(Instant now, const std::string &instance);
    void advance(Instant now); // Notices silence.

    // From now on a first "ready" is held back until `recalled` says what an earlier process knew, or until
    // the same start says so once more: two of its words that were both held up are less likely than a table
    // that does not answer, and an upstream that is kept out for longer serves nobody.
    void awaitPersistedState();
    void persistedStateLoaded(Instant now, const PersistedUpstream &upstream);
    void drain(); // The node leaves: whatever the upstream says, it drains.

    UpstreamState state() const;
    bool
    isLeaving() const; // It drains or has gone, by its own word or because the node leaves, known or not.

private:
    struct HeldWord
    {
        UpstreamAnnouncement announcement;
        UpstreamState state = UpstreamState::None;
    };

    AnnouncementResult leftUnknown(Instant now, const std::string &instance);
    void take(Instant now, const UpstreamAnnouncement &announcement, UpstreamState state);
    void tell(const UpstreamAnnouncement &announcement, UpstreamState state);
    bool hasDeparted(Instant now, const UpstreamAnnouncement &announcement) const;
    bool isHeldBack(const UpstreamAnnouncement &announcement, UpstreamState state);
    bool isStale(const UpstreamAnnouncement &announcement) const;

    const UpstreamPresenceHooks hooks;
    const Duration life; // Of an announcement that is not renewed.
    mutable std::mutex mutex;
    UpstreamAnnouncement last;
    UpstreamState lastState = UpstreamState::None;
    Instant renewedAt;
    bool saidGoodbye = false; // The last start announced that it has gone.
    bool draining = false;    // Never taken back in this process's life.
    bool awaitsRecall = false;
    std::optional<HeldWord> held;       // Set only while `awaitsRecall`.
    std::optional<Departure> departed;  // As recalled.
    std::optional<std::string> goodbye; // Said before anything else to this process.
    Instant nameEnds;                   // When what names no start counts no longer.
};

} // namespace Sagecrank

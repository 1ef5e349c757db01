// Tracks the state of the upstream beside this node from its announcements. The upstream renews its
// announcement periodically; one that stops doing so is considered gone.
#pragma once

#include "CrashHistory.h"
#include "Departures.h"
#include <Node/Gate/LocalGate.h>

#include <LibCore/Time.h>
#include <LibMembership/Member.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Sagecrank {

// An upstream renews its announcement every second, so this is three missed renewals.
inline constexpr Duration announcementLifetime = std::chrono::seconds(3);

// The condition of an upstream, as its callers see it, in the announced state.
UpstreamCondition conditionOf(UpstreamState state);

// How far the upstream is used during the roll-out of another version.
enum class UpstreamUse : std::uint8_t {
    Serving,
    Finishing, // Gets no new calls.
    Finished,  // Gets no new calls and runs none.
};

enum class AnnouncementResult : std::uint8_t {
    Accepted,
    Stale, // From an earlier instance, or older than an announcement already accepted.
    // May have been delayed, and from an instance that left. Accepted once it is known that it has not; see
    // AnnouncementProof.
    Unproven,
};

// Whether an announcement may be from before this process started. An upstream sends announcements to an
// address that it was given in the response to an earlier one; such an address of this process proves that
// they were sent since it started.
enum class AnnouncementProof : std::uint8_t {
    None,
    SentToThisProcess,
};

// What an earlier process of this node persisted.
struct PersistedUpstream
{
    std::optional<UpstreamAnnouncement> serving; // The last instance that took calls.
    std::vector<Departure> departures;           // Confirmed ones, oldest first.
    std::vector<CrashRecord> crashes;
};

struct UpstreamPresenceHooks
{
    // The upstream stopped announcing itself.
    std::function<void(const std::string &cluster)> announcementExpired;
    std::function<void(const UpstreamAnnouncement &)> gate;                      // On every announcement.
    std::function<void(const UpstreamAnnouncement &, UpstreamState)> membership; // Only on changes.
    // On every message that says that an instance leaves, before it is confirmed. May be empty.
    std::function<void(const Departure &)> leaving = {};
    // On every announcement of an instance that takes calls. May be empty.
    std::function<void(const UpstreamAnnouncement &)> serving = {};
};

// Thread-safe; the hooks run on the calling thread.
class UpstreamPresence
{
public:
    explicit UpstreamPresence(UpstreamPresenceHooks hooks, Duration lifetime = announcementLifetime);

    AnnouncementResult announced(Instant now, UpstreamAnnouncement announcement, UpstreamState state,
                                 AnnouncementProof proof = AnnouncementProof::None);
    // The named instance leaves. Its start time is not known. `unixNow` is in milliseconds.
    AnnouncementResult left(Instant now, std::uint64_t unixNow, const std::string &instance);
    // The instance stated in an answer that it leaves. Nothing that it announces brings it back.
    void leavingStated(Instant now, std::uint64_t unixNow, const std::string &instance,
                       std::uint64_t startedAt);
    void advance(Instant now); // Detects missing announcements.

    // This process starts. Until `persistedStateLoaded` is called, an instance takes calls only if it is
    // proven that it has announced itself since: an earlier process may have confirmed that it leaves, and
    // any number of its earlier announcements may arrive late.
    void awaitPersistedState(Instant now);
    void persistedStateLoaded(Instant now, const PersistedUpstream &upstream);
    void drain(); // The node leaves, so the upstream drains whatever it announces.

    void setUse(UpstreamUse use);

    UpstreamState state() const;

private:
    struct HeldAnnouncement
    {
        UpstreamAnnouncement announcement;
        UpstreamState state = UpstreamState::None;
    };

    void report(const Departure &departure);
    void reportName(Instant now, std::uint64_t unixNow, const std::string &instance,
                    std::optional<std::uint64_t> startedAt);
    void apply(Instant now, const UpstreamAnnouncement &announcement, UpstreamState state);
    void publish(const UpstreamAnnouncement &announcement, UpstreamState announced);
    UpstreamState effectiveState(UpstreamState announced) const;
    bool isProven(Instant now, AnnouncementProof proof) const;
    AnnouncementResult admit(Instant now, const UpstreamAnnouncement &announcement,
                             AnnouncementProof proof) const;
    bool hasDeparted(const UpstreamAnnouncement &announcement) const;
    void holdBack(const UpstreamAnnouncement &announcement, UpstreamState state);
    bool isStale(const UpstreamAnnouncement &announcement) const;

    const UpstreamPresenceHooks hooks;
    const Duration lifetime; // How long an announcement is valid without renewal.
    mutable std::mutex mutex;
    UpstreamAnnouncement last;
    UpstreamState lastState = UpstreamState::None; // As published.
    UpstreamState announcedState = UpstreamState::None;
    UpstreamUse use = UpstreamUse::Serving;
    Instant renewedAt;
    bool draining = false; // Never reset.
    bool awaitsPersistedState = false;
    Instant provenFrom; // No announcement that arrives later was sent before this process started.
    std::optional<HeldAnnouncement> held; // Unproven; set only while `awaitsPersistedState`.
    Departures departures;                // Reported to this process or an earlier one.
    // The end of `departedNameTimeout` for each name in `departures` whose departure was reported to this
    // process without a start time.
    std::map<std::string, Instant> namesRejectedUntil;
};

} // namespace Sagecrank

// The upstream beside this node as it announces itself. It has to say so again and again: one that falls
// silent without a word is taken as gone.
#pragma once

#include "LocalGate.h"

#include <LibCore/Time.h>
#include <LibMembership/Member.h>

#include <functional>
#include <mutex>

namespace Sagecrank {

// An upstream renews its announcement each second; three missed ones in a row are no accident.
inline constexpr Duration announcementLife = std::chrono::seconds(3);

// What an upstream's own word means to those who send it calls.
UpstreamCondition conditionOf(UpstreamState state);

enum class AnnouncementVerdict : std::uint8_t {
    Taken,
    Stale, // Of an earlier start, or sent before one that is known already.
};

struct UpstreamPresenceHooks
{
    std::function<void(const std::string &cluster)> silent; // It stopped announcing itself.
    std::function<void(const UpstreamAnnouncement &)> gate; // At every announcement.
    std::function<void(const std::string &cluster, UpstreamState state, std::uint32_t slots)>
        membership; // At changes.
};

// Safe to use from every thread; the hooks run on the caller's.
class UpstreamPresence
{
public:
    explicit UpstreamPresence(UpstreamPresenceHooks hooks, Duration life = announcementLife);

    AnnouncementVerdict announced(Instant now, UpstreamAnnouncement announcement, UpstreamState state);
    // The start of the upstream that the instance names leaves; nothing is known of it but its name.
    AnnouncementVerdict left(Instant now, const std::string &instance);
    void advance(Instant now); // Notices silence.
    void drain();              // The node leaves: whatever the upstream says, it drains.

    UpstreamState state() const;

private:
    void tell(const UpstreamAnnouncement &announcement, UpstreamState state);
    bool isStale(const UpstreamAnnouncement &announcement) const;

    const UpstreamPresenceHooks hooks;
    const Duration life; // Of an announcement that is not renewed.
    mutable std::mutex mutex;
    UpstreamAnnouncement last;
    UpstreamState lastState = UpstreamState::None;
    Instant renewedAt;
    bool saidGoodbye = false; // The last start announced that it has gone.
    bool draining = false;    // Never taken back in this process's life.
};

} // namespace Sagecrank

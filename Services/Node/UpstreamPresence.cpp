// Keeps the gate and the membership told of what the upstream says.
#include "UpstreamPresence.h"

namespace Sagecrank {

UpstreamCondition conditionOf(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Warming:
        return UpstreamCondition::Warming;
    case UpstreamState::Ready:
        return UpstreamCondition::Ready;
    case UpstreamState::Draining:
        return UpstreamCondition::Draining;
    case UpstreamState::None:
    case UpstreamState::Gone:
        break;
    }
    return UpstreamCondition::NotReady;
}

UpstreamPresence::UpstreamPresence(UpstreamPresenceHooks hooks, Duration life)
    : hooks(std::move(hooks))
    , life(life)
{
}

// Failure: an announcement is held up on its way, and another start of the upstream has announced itself
// meanwhile. Symptom: the new one is taken out, or calls go to one that has ended. The later start wins, and
// within one start the higher number; a start that said goodbye does not come back.
bool UpstreamPresence::isStale(const UpstreamAnnouncement &announcement) const
{
    if (this->lastState == UpstreamState::None || announcement.instance.empty())
        return false;
    if (announcement.startedAt != this->last.startedAt)
        return announcement.startedAt < this->last.startedAt;
    if (announcement.instance != this->last.instance)
        return false;
    if (this->lastState == UpstreamState::Gone && this->saidGoodbye)
        return true;
    return announcement.sequence < this->last.sequence;
}

AnnouncementVerdict UpstreamPresence::announced(Instant now, UpstreamAnnouncement announcement,
                                                UpstreamState state)
{
    const std::lock_guard guard(this->mutex);
    if (this->isStale(announcement))
        return AnnouncementVerdict::Stale;
    this->saidGoodbye = state == UpstreamState::Gone;
    this->renewedAt = now;
    if (this->draining && (state == UpstreamState::Ready || state == UpstreamState::Warming))
        state = UpstreamState::Draining;
    this->tell(announcement, state);
    return AnnouncementVerdict::Taken;
}

AnnouncementVerdict UpstreamPresence::left(Instant now, const std::string &instance)
{
    const std::lock_guard guard(this->mutex);
    if (this->lastState == UpstreamState::None || instance != this->last.instance)
        return AnnouncementVerdict::Stale;
    this->renewedAt = now;
    this->saidGoodbye = true;
    this->tell(this->last, UpstreamState::Gone);
    return AnnouncementVerdict::Taken;
}

void UpstreamPresence::advance(Instant now)
{
    const std::lock_guard guard(this->mutex);
    const bool present = this->lastState != UpstreamState::None && this->lastState != UpstreamState::Gone;
    if (!present || now - this->renewedAt <= this->life)
        return;
    this->hooks.silent(this->last.cluster);
    this->tell(this->last, UpstreamState::Gone);
}

void UpstreamPresence::drain()
{
    const std::lock_guard guard(this->mutex);
    this->draining = true;
    if (this->lastState == UpstreamState::Ready || this->lastState == UpstreamState::Warming)
        this->tell(this->last, UpstreamState::Draining);
}

UpstreamState UpstreamPresence::state() const
{
    const std::lock_guard guard(this->mutex);
    return this->lastState;
}

void UpstreamPresence::tell(const UpstreamAnnouncement &announcement, UpstreamState state)
{
    const bool changed = state != this->lastState || announcement.cluster != this->last.cluster
                         || announcement.slots != this->last.slots;
    this->last = announcement;
    this->last.condition = conditionOf(state);
    this->lastState = state;
    this->hooks.gate(this->last);
    if (changed)
        this->hooks.membership(this->last.cluster, state, this->last.slots);
}

} // namespace Sagecrank

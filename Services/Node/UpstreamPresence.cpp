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

UpstreamPresence::UpstreamPresence(UpstreamPresenceHooks hooks)
    : hooks(std::move(hooks))
{
}

void UpstreamPresence::announced(Instant now, UpstreamAnnouncement announcement, UpstreamState state)
{
    const std::lock_guard guard(this->mutex);
    this->renewedAt = now;
    if (this->draining && (state == UpstreamState::Ready || state == UpstreamState::Warming))
        state = UpstreamState::Draining;
    this->tell(announcement, state);
}

void UpstreamPresence::advance(Instant now)
{
    const std::lock_guard guard(this->mutex);
    const bool present = this->lastState != UpstreamState::None && this->lastState != UpstreamState::Gone;
    if (!present || now - this->renewedAt <= announcementLife)
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

// Applies the announcements of the upstream and passes changes to the gate and the membership.
#include "UpstreamPresence.h"

#include <utility>

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

namespace {

bool takesCalls(UpstreamState state)
{
    return state == UpstreamState::Ready || state == UpstreamState::Warming;
}

} // namespace

Departure departureOf(const UpstreamAnnouncement &announcement)
{
    return {announcement.instance, announcement.startedAt};
}

UpstreamPresence::UpstreamPresence(UpstreamPresenceHooks hooks, Duration lifetime)
    : hooks(std::move(hooks))
    , lifetime(lifetime)
{
}

// A delayed announcement may arrive after a newer instance of the upstream has announced itself. Applying it
// would remove the new instance, or send calls to one that has ended. So the later instance wins, and within
// one instance the higher sequence number; an instance that announced that it is gone does not return.
bool UpstreamPresence::isStale(const UpstreamAnnouncement &announcement) const
{
    if (this->announcedState == UpstreamState::None || announcement.instance.empty())
        return false;
    if (announcement.startedAt != this->last.startedAt)
        return announcement.startedAt < this->last.startedAt;
    if (announcement.instance != this->last.instance)
        return false;
    if (this->announcedState == UpstreamState::Gone && this->announcedGone)
        return true;
    return announcement.sequence < this->last.sequence;
}

AnnouncementResult UpstreamPresence::announced(Instant now, UpstreamAnnouncement announcement,
                                               UpstreamState state)
{
    const std::lock_guard guard(this->mutex);
    if (this->isStale(announcement))
        return AnnouncementResult::Stale;
    if (takesCalls(state) && this->hasDeparted(now, announcement))
        return AnnouncementResult::Stale;
    if (!this->holdBack(announcement, state))
        this->apply(now, announcement, state);
    return AnnouncementResult::Accepted;
}

// Instances of one name run one after the other, so the departure of a later one covers those before it. The
// row of the serving instance may still name one of these.
bool UpstreamPresence::hasDeparted(Instant now, const UpstreamAnnouncement &announcement) const
{
    if (this->statedLeaving == departureOf(announcement))
        return true;
    if (this->departedUnknown == announcement.instance && now < this->nameRejectedUntil)
        return true;
    if (!this->departed || this->departed->instance != announcement.instance)
        return false;
    return this->departed->startedAt == 0 ? now < this->nameRejectedUntil
                                          : announcement.startedAt <= this->departed->startedAt;
}

void UpstreamPresence::apply(Instant now, const UpstreamAnnouncement &announcement, UpstreamState state)
{
    const bool isNamed = !announcement.instance.empty();
    if (isNamed && takesCalls(state) && this->hooks.serving)
        this->hooks.serving(announcement);
    if (isNamed && !takesCalls(state) && this->hooks.leaving)
        this->hooks.leaving(departureOf(announcement));
    this->announcedGone = state == UpstreamState::Gone;
    this->renewedAt = now;
    this->publish(announcement, state);
}

bool UpstreamPresence::holdBack(const UpstreamAnnouncement &announcement, UpstreamState state)
{
    if (!this->awaitsPersistedState || !takesCalls(state) || this->announcedState != UpstreamState::None
        || announcement.instance.empty())
        return false;
    if (this->held && departureOf(this->held->announcement) == departureOf(announcement)
        && announcement.sequence > this->held->announcement.sequence)
        return false;
    if (!this->held || announcement.startedAt >= this->held->announcement.startedAt)
        this->held = HeldAnnouncement{announcement, state};
    return true;
}

void UpstreamPresence::awaitPersistedState()
{
    const std::lock_guard guard(this->mutex);
    this->awaitsPersistedState = true;
}

void UpstreamPresence::persistedStateLoaded(Instant now, const PersistedUpstream &upstream)
{
    const std::lock_guard guard(this->mutex);
    this->awaitsPersistedState = false;
    this->departed = upstream.departure;
    if (this->departed && this->departed->startedAt == 0)
        this->nameRejectedUntil = now + departedNameTimeout;
    std::optional<HeldAnnouncement> restored = std::exchange(this->held, std::nullopt);
    if (upstream.serving && (!restored || restored->announcement.startedAt < upstream.serving->startedAt))
        restored = HeldAnnouncement{*upstream.serving, UpstreamState::Ready};
    if (takesCalls(this->announcedState) && this->hasDeparted(now, this->last))
        this->publish(this->last, UpstreamState::Draining);
    else if (restored && this->announcedState == UpstreamState::None
             && !this->hasDeparted(now, restored->announcement))
        this->apply(now, restored->announcement, restored->state);
}

AnnouncementResult UpstreamPresence::left(Instant now, const std::string &instance)
{
    const std::lock_guard guard(this->mutex);
    if (this->announcedState == UpstreamState::None && this->held
        && this->held->announcement.instance == instance)
        this->last = this->held->announcement;
    else if (this->announcedState == UpstreamState::None)
        return this->unknownInstanceLeft(now, instance);
    else if (instance != this->last.instance)
        return AnnouncementResult::Stale;
    this->apply(now, UpstreamAnnouncement(this->last), UpstreamState::Gone);
    return AnnouncementResult::Accepted;
}

// After a restart of the node, the first message from its upstream may say that it leaves. Without a record
// of this, the persisted row of the serving instance or a delayed announcement would bring back an upstream
// that was promised no more calls.
AnnouncementResult UpstreamPresence::unknownInstanceLeft(Instant now, const std::string &instance)
{
    this->departedUnknown = instance;
    this->nameRejectedUntil = now + departedNameTimeout;
    if (this->hooks.leaving)
        this->hooks.leaving({instance, 0});
    return AnnouncementResult::Accepted;
}

void UpstreamPresence::leavingStated(Instant now, const std::string &instance)
{
    const std::lock_guard guard(this->mutex);
    if (instance != this->last.instance || !takesCalls(this->announcedState))
        return;
    if (!instance.empty())
        this->statedLeaving = departureOf(this->last);
    this->apply(now, UpstreamAnnouncement(this->last), UpstreamState::Draining);
}

void UpstreamPresence::advance(Instant now)
{
    const std::lock_guard guard(this->mutex);
    const bool present =
        this->announcedState != UpstreamState::None && this->announcedState != UpstreamState::Gone;
    if (!present || now - this->renewedAt <= this->lifetime)
        return;
    this->hooks.announcementExpired(this->last.cluster);
    this->publish(this->last, UpstreamState::Gone);
}

void UpstreamPresence::drain()
{
    const std::lock_guard guard(this->mutex);
    this->draining = true;
    if (takesCalls(this->announcedState))
        this->publish(this->last, this->announcedState);
}

void UpstreamPresence::setUse(UpstreamUse use)
{
    const std::lock_guard guard(this->mutex);
    this->use = use;
    if (takesCalls(this->announcedState))
        this->publish(this->last, this->announcedState);
}

UpstreamState UpstreamPresence::effectiveState(UpstreamState announced) const
{
    if (!takesCalls(announced))
        return announced;
    if (this->use == UpstreamUse::Finished)
        return UpstreamState::Gone;
    return this->draining || this->use == UpstreamUse::Finishing ? UpstreamState::Draining : announced;
}

UpstreamState UpstreamPresence::state() const
{
    const std::lock_guard guard(this->mutex);
    return this->lastState;
}

bool UpstreamPresence::isLeaving() const
{
    const std::lock_guard guard(this->mutex);
    const bool unknownDeparted = this->announcedState == UpstreamState::None && this->departedUnknown;
    const bool drained = this->draining && takesCalls(this->announcedState);
    return unknownDeparted || drained || this->announcedState == UpstreamState::Draining
           || this->announcedState == UpstreamState::Gone;
}

void UpstreamPresence::publish(const UpstreamAnnouncement &announcement, UpstreamState announced)
{
    const UpstreamState state = this->effectiveState(announced);
    const bool changed = state != this->lastState || announcement.cluster != this->last.cluster
                         || announcement.version != this->last.version
                         || announcement.slots != this->last.slots;
    this->last = announcement;
    this->last.condition = conditionOf(state);
    this->announcedState = announced;
    this->lastState = state;
    this->hooks.gate(this->last);
    if (changed)
        this->hooks.membership(this->last, state);
}

} // namespace Sagecrank

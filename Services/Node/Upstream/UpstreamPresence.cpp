// Keeps the gate and the membership told of what the upstream says.
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

AnnouncementResult UpstreamPresence::announced(Instant now, UpstreamAnnouncement announcement,
                                               UpstreamState state)
{
    const std::lock_guard guard(this->mutex);
    if (this->isStale(announcement))
        return AnnouncementResult::Stale;
    if (takesCalls(state) && this->hasDeparted(now, announcement))
        return AnnouncementResult::Stale;
    if (!this->isHeldBack(announcement, state))
        this->take(now, announcement, state);
    return AnnouncementResult::Accepted;
}

bool UpstreamPresence::hasDeparted(Instant now, const UpstreamAnnouncement &announcement) const
{
    if (this->goodbye == announcement.instance && now < this->nameEnds)
        return true;
    if (!this->departed || this->departed->instance != announcement.instance)
        return false;
    return this->departed->startedAt == 0 ? now < this->nameEnds
                                          : this->departed->startedAt == announcement.startedAt;
}

void UpstreamPresence::take(Instant now, const UpstreamAnnouncement &announcement, UpstreamState state)
{
    const bool isNamed = !announcement.instance.empty();
    if (isNamed && takesCalls(state) && this->hooks.serving)
        this->hooks.serving(announcement);
    if (isNamed && !takesCalls(state) && this->hooks.leaving)
        this->hooks.leaving(departureOf(announcement));
    this->saidGoodbye = state == UpstreamState::Gone;
    this->renewedAt = now;
    this->tell(announcement, this->draining && takesCalls(state) ? UpstreamState::Draining : state);
}

bool UpstreamPresence::isHeldBack(const UpstreamAnnouncement &announcement, UpstreamState state)
{
    if (!this->awaitsRecall || !takesCalls(state) || this->lastState != UpstreamState::None
        || announcement.instance.empty())
        return false;
    if (this->held && departureOf(this->held->announcement) == departureOf(announcement)
        && announcement.sequence > this->held->announcement.sequence)
        return false;
    if (!this->held || announcement.startedAt >= this->held->announcement.startedAt)
        this->held = HeldWord{announcement, state};
    return true;
}

void UpstreamPresence::awaitPersistedState()
{
    const std::lock_guard guard(this->mutex);
    this->awaitsRecall = true;
}

void UpstreamPresence::persistedStateLoaded(Instant now, const PersistedUpstream &upstream)
{
    const std::lock_guard guard(this->mutex);
    this->awaitsRecall = false;
    this->departed = upstream.departure;
    if (this->departed && this->departed->startedAt == 0)
        this->nameEnds = now + departedNameTimeout;
    std::optional<HeldWord> word = std::exchange(this->held, std::nullopt);
    if (upstream.serving && (!word || word->announcement.startedAt < upstream.serving->startedAt))
        word = HeldWord{*upstream.serving, UpstreamState::Ready};
    if (takesCalls(this->lastState) && this->hasDeparted(now, this->last))
        this->tell(this->last, UpstreamState::Draining);
    else if (word && this->lastState == UpstreamState::None && !this->hasDeparted(now, word->announcement))
        this->take(now, word->announcement, word->state);
}

AnnouncementResult UpstreamPresence::left(Instant now, const std::string &instance)
{
    const std::lock_guard guard(this->mutex);
    if (this->lastState == UpstreamState::None && this->held && this->held->announcement.instance == instance)
        this->last = this->held->announcement;
    else if (this->lastState == UpstreamState::None)
        return this->leftUnknown(now, instance);
    else if (instance != this->last.instance)
        return AnnouncementResult::Stale;
    this->take(now, UpstreamAnnouncement(this->last), UpstreamState::Gone);
    return AnnouncementResult::Accepted;
}

// Failure: a node is started anew, and the first word that it hears of its upstream is a goodbye. Symptom:
// the row of the start that serves, or a late announcement, brings back an upstream that was told that it
// gets no more.
AnnouncementResult UpstreamPresence::leftUnknown(Instant now, const std::string &instance)
{
    this->goodbye = instance;
    this->nameEnds = now + departedNameTimeout;
    if (this->hooks.leaving)
        this->hooks.leaving({instance, 0});
    return AnnouncementResult::Accepted;
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
    if (takesCalls(this->lastState))
        this->tell(this->last, UpstreamState::Draining);
}

UpstreamState UpstreamPresence::state() const
{
    const std::lock_guard guard(this->mutex);
    return this->lastState;
}

bool UpstreamPresence::isLeaving() const
{
    const std::lock_guard guard(this->mutex);
    const bool unknownLeft = this->lastState == UpstreamState::None && this->goodbye;
    return unknownLeft || this->lastState == UpstreamState::Draining
           || this->lastState == UpstreamState::Gone;
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

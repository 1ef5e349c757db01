// Applies the announcements of the upstream and passes changes to the gate and the membership.
#include "UpstreamPresence.h"

#include <algorithm>
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

bool isSameInstance(const UpstreamAnnouncement &one, const UpstreamAnnouncement &other)
{
    return one.instance == other.instance && one.startedAt == other.startedAt;
}

} // namespace

UpstreamPresence::UpstreamPresence(UpstreamPresenceHooks hooks, Duration lifetime)
    : hooks(std::move(hooks))
    , lifetime(lifetime)
{
}

// A delayed announcement may arrive after a newer instance of the upstream has announced itself. Applying it
// would remove the new instance, or send calls to one that has ended. So the later instance wins, and within
// one instance the higher sequence number.
bool UpstreamPresence::isStale(const UpstreamAnnouncement &announcement) const
{
    if (this->announcedState == UpstreamState::None || announcement.instance.empty())
        return false;
    if (announcement.startedAt != this->last.startedAt)
        return announcement.startedAt < this->last.startedAt;
    return announcement.instance == this->last.instance && announcement.sequence < this->last.sequence;
}

AnnouncementResult UpstreamPresence::announced(Instant now, UpstreamAnnouncement announcement,
                                               UpstreamState state, AnnouncementProof proof)
{
    const std::lock_guard guard(this->mutex);
    const bool isNamed = !announcement.instance.empty();
    // Also if it is stale: its confirmation binds this node, whatever else is known of the instance.
    if (isNamed && !takesCalls(state))
        this->report({announcement.instance, announcement.startedAt});
    if (this->isStale(announcement))
        return AnnouncementResult::Stale;
    if (isNamed && takesCalls(state)) {
        const AnnouncementResult result = this->admit(now, announcement, proof);
        if (result == AnnouncementResult::Unproven && this->awaitsPersistedState)
            this->holdBack(announcement, state);
        if (result != AnnouncementResult::Accepted)
            return result;
    }
    this->apply(now, announcement, state);
    return AnnouncementResult::Accepted;
}

bool UpstreamPresence::isProven(Instant now, AnnouncementProof proof) const
{
    return proof == AnnouncementProof::SentToThisProcess || now >= this->provenFrom;
}

// Whether an instance that announces itself may take calls. All announcements are decided here, so that no
// order of messages, restarts and answers of the table brings back an instance whose departure was confirmed,
// and none keeps out one that runs. The persisted serving row and a held announcement prove nothing, so
// `persistedStateLoaded` asks only whether the instance has departed.
AnnouncementResult UpstreamPresence::admit(Instant now, const UpstreamAnnouncement &announcement,
                                           AnnouncementProof proof) const
{
    const Departure *departure = this->departures.find(announcement.instance);
    if (departure != nullptr && departure->covers(announcement.startedAt)) {
        if (departure->startedAt && announcement.startedAt <= *departure->startedAt)
            return AnnouncementResult::Stale;
        const auto rejected = this->namesRejectedUntil.find(announcement.instance);
        if (rejected != this->namesRejectedUntil.end())
            return now < rejected->second ? AnnouncementResult::Stale : AnnouncementResult::Accepted;
        return this->isProven(now, proof) ? AnnouncementResult::Accepted : AnnouncementResult::Unproven;
    }
    const bool isServing = takesCalls(this->announcedState) && isSameInstance(this->last, announcement);
    const bool mayHaveDeparted = this->awaitsPersistedState && !isServing && !this->isProven(now, proof);
    return mayHaveDeparted ? AnnouncementResult::Unproven : AnnouncementResult::Accepted;
}

bool UpstreamPresence::hasDeparted(const UpstreamAnnouncement &announcement) const
{
    const Departure *departure = this->departures.find(announcement.instance);
    return departure != nullptr && departure->covers(announcement.startedAt);
}

void UpstreamPresence::apply(Instant now, const UpstreamAnnouncement &announcement, UpstreamState state)
{
    if (takesCalls(state) && !announcement.instance.empty()) {
        this->departures.retract(announcement.instance, announcement.startedAt);
        if (this->hooks.serving)
            this->hooks.serving(announcement);
    }
    this->renewedAt = now;
    this->publish(announcement, state);
}

void UpstreamPresence::holdBack(const UpstreamAnnouncement &announcement, UpstreamState state)
{
    if (!this->held || announcement.startedAt >= this->held->announcement.startedAt)
        this->held = HeldAnnouncement{announcement, state};
}

void UpstreamPresence::awaitPersistedState(Instant now)
{
    const std::lock_guard guard(this->mutex);
    this->awaitsPersistedState = true;
    this->provenFrom = now + departedNameTimeout;
}

void UpstreamPresence::persistedStateLoaded(Instant now, const PersistedUpstream &upstream)
{
    const std::lock_guard guard(this->mutex);
    this->awaitsPersistedState = false;
    for (const Departure &departure : upstream.departures)
        this->departures.add(departure);
    const std::optional<HeldAnnouncement> announced = std::exchange(this->held, std::nullopt);
    if (takesCalls(this->announcedState)) {
        const AnnouncementResult result = this->admit(now, this->last, AnnouncementProof::SentToThisProcess);
        if (result == AnnouncementResult::Accepted)
            return this->apply(this->renewedAt, UpstreamAnnouncement(this->last), this->announcedState);
        return this->publish(this->last, UpstreamState::Draining);
    }
    if (this->announcedState != UpstreamState::None)
        return;
    const bool isRowNewer =
        upstream.serving && (!announced || announced->announcement.startedAt < upstream.serving->startedAt);
    if (isRowNewer && !this->hasDeparted(*upstream.serving))
        return this->apply(now, *upstream.serving, UpstreamState::Ready);
    if (announced && !this->hasDeparted(announced->announcement))
        this->apply(now, announced->announcement, announced->state);
}

void UpstreamPresence::report(const Departure &departure)
{
    this->departures.add(departure);
    if (this->held && this->hasDeparted(this->held->announcement))
        this->held.reset();
    if (this->hooks.leaving)
        this->hooks.leaving(departure);
}

// The start time of the instance is not stated, and it may have started since the last announcement that
// arrived. So the departure covers each instance of this name that has started until now.
void UpstreamPresence::reportName(Instant now, std::uint64_t unixNow, const std::string &instance,
                                  std::optional<std::uint64_t> startedAt)
{
    std::uint64_t reportedAt = unixNow;
    // The time of day may have been set back since the instance started.
    if (instance == this->last.instance)
        reportedAt = std::max(reportedAt, this->last.startedAt);
    if (this->held && instance == this->held->announcement.instance)
        reportedAt = std::max(reportedAt, this->held->announcement.startedAt);
    this->namesRejectedUntil[instance] = now + departedNameTimeout;
    this->report({instance, startedAt, reportedAt});
    std::erase_if(this->namesRejectedUntil, [this, now](const auto &name) {
        return name.second <= now || this->departures.find(name.first) == nullptr;
    });
}

AnnouncementResult UpstreamPresence::left(Instant now, std::uint64_t unixNow, const std::string &instance)
{
    const std::lock_guard guard(this->mutex);
    this->reportName(now, unixNow, instance, std::nullopt);
    if (this->announcedState != UpstreamState::None && instance == this->last.instance)
        this->apply(now, UpstreamAnnouncement(this->last), UpstreamState::Gone);
    return AnnouncementResult::Accepted;
}

void UpstreamPresence::leavingStated(Instant now, std::uint64_t unixNow, const std::string &instance,
                                     std::uint64_t startedAt)
{
    const std::lock_guard guard(this->mutex);
    const bool isCurrent = instance == this->last.instance && startedAt == this->last.startedAt;
    if (!isCurrent || !takesCalls(this->announcedState))
        return;
    if (!instance.empty())
        this->reportName(now, unixNow, instance, startedAt);
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

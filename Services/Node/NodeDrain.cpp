// Steps through a drain.
#include "NodeDrain.h"

namespace Sagecrank {

NodeDrain::NodeDrain(NodeDrainSettings settings, NodeDrainHooks hooks)
    : settings(settings)
    , hooks(std::move(hooks))
{
}

void NodeDrain::configure(const NodeDrainSettings &settings)
{
    this->settings = settings;
}

void NodeDrain::begin(Instant now)
{
    if (this->current != DrainStage::Serving)
        return;
    this->begunAt = now;
    this->current = DrainStage::Deflecting;
    this->hooks.deflectCallers();
    this->advance(now);
}

// Failure: a node that leaves while others still send to it. Symptom: connections that break under calls,
// whose outcome nobody knows. Lingering first lets the senders turn elsewhere; ending only when idle cuts
// nothing. The maximum keeps one call that never ends from holding a host for ever; a call that only waits
// then is refused, so that its caller goes elsewhere at once instead of losing its connection without a word.
void NodeDrain::advance(Instant now)
{
    if (this->current == DrainStage::Deflecting
        && now - this->begunAt >= this->settings.linger - leaveAnnounceTime) {
        this->current = DrainStage::Announcing;
        this->hooks.announceLeave();
    }
    if (this->current == DrainStage::Announcing && now - this->begunAt >= this->settings.linger) {
        this->current = DrainStage::Finishing;
        this->hooks.stopCallers();
    }
    if (this->current != DrainStage::Finishing)
        return;
    if (!this->withdrawnAt && now - this->begunAt >= this->settings.maximum) {
        this->withdrawnAt = now;
        this->hooks.withdrawWaiting();
    }
    const bool done = this->isDone();
    if (!done && (!this->withdrawnAt || now - *this->withdrawnAt < finalResponseTime))
        return;
    this->current = DrainStage::Left;
    this->hooks.leave();
}

std::optional<Instant> NodeDrain::nextStep() const
{
    switch (this->current) {
    case DrainStage::Serving:
    case DrainStage::Left:
        return std::nullopt;
    case DrainStage::Deflecting:
        return this->begunAt + this->settings.linger - leaveAnnounceTime;
    case DrainStage::Announcing:
        return this->begunAt + this->settings.linger;
    case DrainStage::Finishing:
        break;
    }
    return this->withdrawnAt ? *this->withdrawnAt + finalResponseTime
                             : this->begunAt + this->settings.maximum;
}

// Failure: a request is read whole between the last look at what is open and the end. Symptom: it is sent to
// an upstream, and its caller gets 504 while that is at work. So nothing is begun any more before the last
// look.
bool NodeDrain::isDone()
{
    const bool refused = !this->hooks.refuseCallers || (this->refusing && this->hooks.callersRefused());
    const bool idle = this->hooks.idle() && this->hooks.leaveAnnounced();
    if (idle && !refused && !this->refusing) {
        this->refusing = true;
        this->hooks.refuseCallers();
    }
    return refused && idle;
}

} // namespace Sagecrank

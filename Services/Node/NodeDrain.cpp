// Advances through the stages of a drain.
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
    if (this->currentStage != DrainStage::Serving)
        return;
    this->begunAt = now;
    this->currentStage = DrainStage::Deflecting;
    this->hooks.deflectCallers();
    this->advance(now);
}

// If a node left while others still send to it, connections would break during calls, whose outcome is then
// unknown. The linger time lets the senders choose other nodes, and leaving only when idle cuts no call. The
// maximum keeps a call that never ends from blocking the shutdown forever; calls that still wait at that
// point are refused, so that their callers retry elsewhere instead of losing the connection.
void NodeDrain::advance(Instant now)
{
    if (this->currentStage == DrainStage::Deflecting
        && now - this->begunAt >= this->settings.linger - leaveAnnounceTime) {
        this->currentStage = DrainStage::Announcing;
        this->hooks.announceLeave();
    }
    if (this->currentStage == DrainStage::Announcing && now - this->begunAt >= this->settings.linger) {
        this->currentStage = DrainStage::Finishing;
        this->hooks.stopCallers();
    }
    if (this->currentStage != DrainStage::Finishing)
        return;
    if (!this->withdrawnAt && now - this->begunAt >= this->settings.maximum) {
        this->withdrawnAt = now;
        this->hooks.withdrawPendingCalls();
    }
    const bool done = this->isDone();
    if (!done && (!this->withdrawnAt || now - *this->withdrawnAt < finalResponseTime))
        return;
    this->currentStage = DrainStage::Left;
    this->hooks.leave();
}

std::optional<Instant> NodeDrain::nextStep() const
{
    switch (this->currentStage) {
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

// A request could be read completely between the last idle check and the shutdown. It would be sent to an
// upstream, and its caller would get 504 while the upstream runs it. So new requests are refused before the
// last idle check.
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

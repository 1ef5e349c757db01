// The shutdown of a node: the actions of each drain stage, and the signals that start a drain.
#include "Node.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>

namespace Sagecrank {

bool Node::isIdle() const
{
    return this->gate.inFlight() == 0 && this->callsForwarded == 0 && this->claims.unsettledClaims() == 0
           && std::ranges::all_of(this->workers, &Worker::allResponsesSent);
}

// Each worker calls the returned function once, on its own thread.
std::function<void()> Node::afterAllWorkers(std::function<void()> done) const
{
    return [done = std::move(done), left = std::make_shared<std::atomic<std::size_t>>(this->workers.size())] {
        if (--*left == 0)
            done();
    };
}

void Node::refuseCallers()
{
    const std::function<void()> refused = this->afterAllWorkers([this] {
        boost::asio::post(this->control, [this] {
            this->callersRefused = true;
            this->drain.advance(SteadyClock::now());
        });
    });
    for (const auto &worker : this->workers)
        worker->rejectNewCalls(refused);
}

// The process ends once each worker has answered its calls in progress. When the maximum drain time has
// passed, the process may be killed soon, so the workers then give the other nodes no extra time.
void Node::endCalls()
{
    const Duration peersTime = this->isIdle() ? finalResponseTime : Duration::zero();
    const std::function<void()> ended = this->afterAllWorkers([this] { this->control.stop(); });
    for (const auto &worker : this->workers)
        worker->finishCalls(peersTime, ended);
}

NodeDrainHooks Node::drainHooks()
{
    NodeDrainHooks hooks;
    hooks.announceLeave = [this] {
        this->presence.drain();
        this->plane.leave([this] { this->leaveAnnounced = true; });
    };
    hooks.leaveAnnounced = [this] { return this->leaveAnnounced; };
    hooks.deflectCallers = [this] {
        this->log.write(EventId::ProcessDraining, {{"in_flight", this->gate.inFlight()}});
        for (const auto &worker : this->workers)
            worker->beginShutdown();
    };
    hooks.stopCallers = [this] {
        for (const auto &worker : this->workers)
            worker->stopAccepting(this->drain.callsEndBy());
    };
    hooks.idle = [this] { return this->isIdle(); };
    hooks.withdrawPendingCalls = [this] {
        this->gate.refuseQueuedCalls();
        for (const auto &worker : this->workers)
            worker->withdrawPendingCalls();
    };
    hooks.leave = [this] { this->endCalls(); };
    hooks.refuseCallers = [this] { this->refuseCallers(); };
    hooks.callersRefused = [this] { return this->callersRefused; };
    return hooks;
}

void Node::watchSignals()
{
    this->signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            this->settingsReload.reload();
            return this->watchSignals();
        }
        // A second signal ends the process at once.
        if (this->drain.stage() != DrainStage::Serving)
            return this->control.stop();
        this->drain.begin(SteadyClock::now());
        this->watchSignals();
    });
}

} // namespace Sagecrank

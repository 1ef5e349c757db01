// How a node ends: what each step of its drain does, and the signals that begin it.
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

// Each worker is to call it once, on its own thread.
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

// The process ends once each thread has given what is under way its final answer. At the maximum of a drain
// the process may be killed soon after it.
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
            worker->stopAccepting();
    };
    hooks.idle = [this] { return this->isIdle(); };
    hooks.withdrawWaiting = [this] {
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
        // The second signal does not wait for anything.
        if (this->drain.stage() != DrainStage::Serving)
            return this->control.stop();
        this->drain.begin(SteadyClock::now());
        this->watchSignals();
    });
}

} // namespace Sagecrank

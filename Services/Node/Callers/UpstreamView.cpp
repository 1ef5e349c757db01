// Builds views from the members that gossip knows.
#include "UpstreamView.h"

#include <Node/Upstream/UpstreamPresence.h>

namespace Sagecrank {

namespace {

// A suspect is still used: the load balancer avoids it by what its own calls show, and one lost probe shall
// not take an upstream out everywhere. A node that is dead or has left takes no calls.
UpstreamCondition conditionOfMember(const Member &member)
{
    if (member.state == MemberState::Dead || member.state == MemberState::Left)
        return UpstreamCondition::NotReady;
    return conditionOf(member.upstream);
}

bool takesCalls(UpstreamCondition condition)
{
    return condition == UpstreamCondition::Warming || condition == UpstreamCondition::Ready;
}

} // namespace

const ServiceView *UpstreamView::find(const std::string &cluster) const
{
    const auto found = this->services.find(cluster);
    return found == this->services.end() ? nullptr : found->second.get();
}

UpstreamViewBuilder::UpstreamViewBuilder(std::string ownId, std::string ownZone,
                                         std::function<std::shared_ptr<ServiceState>()> makeState)
    : ownId(std::move(ownId))
    , ownZone(std::move(ownZone))
    , makeState(std::move(makeState))
{
}

void UpstreamViewBuilder::setRetryReserve(double reserve)
{
    for (const auto &[cluster, state] : this->states) {
        const std::lock_guard guard(state->mutex);
        state->retries.setReserve(reserve);
    }
}

void UpstreamViewBuilder::forgetUnused(Instant before)
{
    for (const auto &[cluster, state] : this->states) {
        const std::lock_guard guard(state->mutex);
        state->placer.evictUnused(before);
    }
}

std::unique_ptr<const UpstreamView> UpstreamViewBuilder::build(const std::vector<Member> &members)
{
    auto view = std::make_unique<UpstreamView>();
    for (const Member &member : members) {
        const UpstreamCondition condition = conditionOfMember(member);
        if (member.cluster.empty() || !takesCalls(condition))
            continue;
        std::unique_ptr<ServiceView> &service = view->services[member.cluster];
        if (!service) {
            std::shared_ptr<ServiceState> &state = this->states[member.cluster];
            if (!state)
                state = this->makeState();
            service = std::make_unique<ServiceView>();
            service->state = state;
        }
        service->candidates.push_back({member.id, member.peerAddress});
        service->facts.push_back(
            {{}, member.zone == this->ownZone, member.id == this->ownId, condition, member.slots});
    }
    // The candidates have their final places now, so views into their ids stay good.
    for (const auto &[cluster, service] : view->services) {
        for (std::size_t index = 0; index < service->candidates.size(); ++index)
            service->facts[index].id = service->candidates[index].id;
    }
    return view;
}

} // namespace Sagecrank

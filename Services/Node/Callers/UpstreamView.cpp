// Implements building views from the gossip membership.
#include "UpstreamView.h"

#include <Node/Upstream/UpstreamPresence.h>

namespace Sagecrank {

namespace {

// Suspected members stay available: the load balancer avoids them if its own calls fail, and a single lost
// probe must not remove an upstream on all nodes. Members that are dead or have left receive no calls.
UpstreamCondition conditionOfMember(const Member &member)
{
    if (member.state == MemberState::Dead || member.state == MemberState::Left)
        return UpstreamCondition::NotReady;
    return conditionOf(member.upstream);
}

bool isAvailable(UpstreamCondition condition)
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
        state->loadBalancer.evictUnused(before);
    }
}

std::unique_ptr<const UpstreamView> UpstreamViewBuilder::build(const std::vector<Member> &members)
{
    auto view = std::make_unique<UpstreamView>();
    for (const Member &member : members) {
        const UpstreamCondition condition = conditionOfMember(member);
        if (member.cluster.empty() || !isAvailable(condition))
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
        service->upstreams.push_back(
            {{}, member.zone == this->ownZone, member.id == this->ownId, condition, member.slots});
    }
    // The candidate vectors no longer change, so views into their ids stay valid.
    for (const auto &[cluster, service] : view->services) {
        for (std::size_t index = 0; index < service->candidates.size(); ++index)
            service->upstreams[index].id = service->candidates[index].id;
    }
    return view;
}

} // namespace Sagecrank

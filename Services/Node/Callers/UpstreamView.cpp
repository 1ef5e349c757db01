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

ServiceView &UpstreamViewBuilder::obtainService(UpstreamView &view, const std::string &cluster)
{
    std::unique_ptr<ServiceView> &service = view.services[cluster];
    if (!service) {
        std::shared_ptr<ServiceState> &state = this->states[cluster];
        if (!state)
            state = this->makeState();
        service = std::make_unique<ServiceView>();
        service->state = state;
    }
    return *service;
}

std::unique_ptr<const UpstreamView> UpstreamViewBuilder::build(const std::vector<Member> &members,
                                                               const VersionTraffic &traffic)
{
    auto view = std::make_unique<UpstreamView>();
    for (const Member &member : members) {
        const UpstreamCondition condition = conditionOfMember(member);
        if (member.cluster.empty() || !isAvailable(condition))
            continue;
        const UpstreamTraffic use = traffic.trafficFor ? traffic.trafficFor(member) : UpstreamTraffic::Full;
        if (use == UpstreamTraffic::None)
            continue;
        ServiceView &service = this->obtainService(*view, member.cluster);
        UpstreamGroup &group = use == UpstreamTraffic::Full ? service.serving : service.onTrial;
        group.candidates.push_back({member.id, member.peerAddress});
        group.upstreams.push_back(
            {{}, member.zone == this->ownZone, member.id == this->ownId, condition, member.slots});
    }
    for (const auto &[cluster, service] : view->services) {
        // The candidate vectors no longer change, so views into their ids stay valid.
        for (UpstreamGroup *group : {&service->serving, &service->onTrial}) {
            for (std::size_t index = 0; index < group->candidates.size(); ++index)
                group->upstreams[index].id = group->candidates[index].id;
        }
        const std::lock_guard guard(service->state->mutex);
        service->state->trialShare = traffic.trialShare ? traffic.trialShare(cluster) : 0;
    }
    return view;
}

} // namespace Sagecrank

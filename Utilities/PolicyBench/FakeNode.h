// The node that a caller reached: it places the call, sends it, and sends it again where that is safe.
#pragma once

#include <PolicyBench/Call.h>
#include <PolicyBench/FakeUpstream.h>
#include <PolicyBench/Policy.h>
#include <PolicyBench/Timeline.h>

#include <LibDecide/Retry.h>

#include <functional>
#include <memory>
#include <vector>

namespace Sagecrank {

class FakeNode
{
public:
    // One upstream of a service as this node sees it.
    struct Candidate
    {
        FakeUpstream *upstream;
        std::size_t index; // Over the whole fleet.
        Duration way;      // One way to it.
    };

    FakeNode(Timeline &timeline, const Policy &policy, std::uint64_t seed, std::size_t services);

    // Commands.

    void addCandidate(std::uint32_t service, const UpstreamCandidate &facts, const Candidate &candidate);
    void learn(std::uint32_t service, std::size_t index, UpstreamCondition condition);
    void receive(const std::shared_ptr<Call> &call);

private:
    struct Service
    {
        PlacerHooks placer;
        std::vector<UpstreamCandidate> facts;
        std::vector<Candidate> candidates; // Beside the facts, in the same order.
    };

    void send(const std::shared_ptr<Call> &call);
    void answered(const std::shared_ptr<Sending> &sending, std::size_t position, const Answer &answer);
    bool sendsAgain(const Call &call, Reply reply);
    void hedge(const std::shared_ptr<Call> &call);
    bool waitsElsewhere(const std::shared_ptr<Call> &call) const;
    void dropSendings(const std::shared_ptr<Call> &call, AttemptOutcome end);
    void giveUp(const std::shared_ptr<Call> &call);
    void finish(const std::shared_ptr<Call> &call, const Answer &answer);

    Timeline &timeline;
    bool budgetsRetries;
    bool hedges;
    RetryBudget budget;
    RetryBudget hedgeBudget;
    HedgeDelay hedgeDelay; // Of interactive calls.
    std::vector<Service> services;
    std::vector<std::pair<std::shared_ptr<Sending>, std::size_t>> sendings; // Not answered, with position.
};

} // namespace Sagecrank

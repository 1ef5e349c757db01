// Several gates with a claim keeper each, in front of one fake table: what the tests of claims run.
#pragma once

#include <LibSource/ClaimManager.h>
#include <LibSource/FakePlatform.h>

#include <memory>
#include <string>
#include <vector>

namespace Sagecrank {

class ClaimFixture
{
public:
    explicit ClaimFixture(std::size_t gateCount, std::uint32_t seed = 1, ClaimSettings settings = {})
        : platform(seed)
    {
        const ClaimClocks clocks{[this] { return this->platform.now; }, [this] { return this->wall(); }};
        for (std::size_t i = 0; i < gateCount; ++i)
            this->gates.push_back(
                std::make_unique<ClaimManager>(this->platform.tablePort(), settings, clocks));
    }

    std::uint64_t wall() const
    {
        const auto since = std::chrono::duration_cast<Milliseconds>(this->platform.now.time_since_epoch());
        return static_cast<std::uint64_t>(since.count());
    }

    // Takes one step of the table or one wake of a gate, whichever is next; false when nothing is due.
    bool step(Instant limit)
    {
        std::optional<Instant> wake;
        for (const auto &gate : this->gates) {
            const auto own = gate ? gate->nextWake() : std::nullopt;
            if (own && (!wake || *own < *wake))
                wake = own;
        }
        const auto event = this->platform.nextEvent();
        if (wake && *wake <= limit && (!event || *wake <= *event)) {
            this->platform.now = std::max(this->platform.now, *wake);
            for (const auto &gate : this->gates) {
                if (gate)
                    gate->advance();
            }
            return true;
        }
        return this->platform.step(limit);
    }

    void run(Milliseconds span)
    {
        const Instant end = this->platform.now + span;
        while (this->step(end)) {
        }
        this->platform.now = end;
    }

    // The answer is written into the returned place when it comes; its reason is "none yet" until then.
    std::shared_ptr<ClaimResponse> claim(std::size_t gate, const std::string &key, const std::string &attempt,
                                         Milliseconds within = Milliseconds(1000))
    {
        const auto answer = std::make_shared<ClaimResponse>();
        answer->reason = "none yet";
        this->gates[gate]->claim(key, attempt, this->platform.now + within,
                                 [answer](const ClaimResponse &given) { *answer = given; });
        return answer;
    }

    FakePlatform platform;
    std::vector<std::unique_ptr<ClaimManager>> gates;
};

} // namespace Sagecrank

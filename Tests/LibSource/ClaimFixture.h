// Test fixture: several nodes' claim managers that share one fake table.
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

    // Runs the next table event or the next wake-up of a gate, whichever is earlier; false if none is due.
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

    // The returned response is filled in when it arrives; until then its reason is "none yet".
    std::shared_ptr<ClaimResponse> claim(std::size_t gate, const std::string &key, const std::string &attempt,
                                         Milliseconds within = Milliseconds(1000))
    {
        const auto response = std::make_shared<ClaimResponse>();
        response->reason = "none yet";
        this->gates[gate]->claim(key, attempt, this->platform.now + within,
                                 [response](const ClaimResponse &received) { *response = received; });
        return response;
    }

    FakePlatform platform;
    std::vector<std::unique_ptr<ClaimManager>> gates;
};

} // namespace Sagecrank

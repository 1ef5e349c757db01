// Times and bytes of a whole mesh in fake time.
#include "Commands.h"
#include "Meter.h"
#include "StandInMesh.h"

#include <algorithm>
#include <cstdio>

namespace Sagecrank {

namespace {

// One hop takes one step, about what a datagram takes between regions.
constexpr Duration step = Milliseconds(20);
constexpr double kibibyte = 1024;

class MeshRun
{
public:
    // A mesh that has long been whole, or one whose nodes start at once and know three seeds.
    MeshRun(const MeshShape &shape, bool fresh)
        : shape(shape)
        , mesh(shape)
    {
        MembershipSettings settings;
        settings.seeds = {addressOfMember(0), addressOfMember(1), addressOfMember(2)};
        for (std::size_t i = 0; i < shape.members; ++i)
            this->mesh.add(fresh ? settings : MembershipSettings{}, i + 1);
        if (fresh)
            return;
        for (const auto &machine : this->mesh.machines)
            this->mesh.fill(*machine);
        this->pass(std::chrono::seconds(20));
    }

    void pass(Duration time)
    {
        for (const Instant end = this->mesh.now + time; this->mesh.now < end;)
            this->mesh.advance(step);
    }

    // Seconds until each machine that runs meets the condition, in order; machines that never do are left
    // out.
    std::vector<double> until(const std::function<bool(const Membership &)> &condition, Duration limit)
    {
        std::vector<double> times;
        std::vector<bool> met(this->mesh.machines.size(), false);
        const Instant begin = this->mesh.now;
        while (this->mesh.now - begin < limit) {
            this->mesh.advance(step);
            bool all = true;
            for (std::size_t i = 0; i < met.size(); ++i) {
                const auto &machine = this->mesh.machines[i];
                if (met[i] || !machine)
                    continue;
                if (condition(*machine)) {
                    met[i] = true;
                    times.push_back(std::chrono::duration<double>(this->mesh.now - begin).count());
                } else {
                    all = false;
                }
            }
            if (all)
                break;
        }
        return times;
    }

    std::vector<std::uint64_t> bytes() const
    {
        std::vector<std::uint64_t> list;
        for (const auto &machine : this->mesh.machines) {
            const MembershipCounters none;
            const MembershipCounters &counters = machine ? machine->counters() : none;
            list.push_back(counters.sentBytes() + counters.receivedBytes());
        }
        return list;
    }

    void report(const char *name, std::vector<double> times, const std::vector<std::uint64_t> &before,
                double seconds) const
    {
        std::sort(times.begin(), times.end());
        const std::vector<std::uint64_t> after = this->bytes();
        double sum = 0;
        double most = 0;
        std::size_t counted = 0;
        for (std::size_t i = 0; i < after.size(); ++i) {
            if (after[i] < before[i] || !this->mesh.machines[i])
                continue;
            const double rate = static_cast<double>(after[i] - before[i]) / seconds;
            sum += rate;
            most = std::max(most, rate);
            ++counted;
        }
        const auto at = [&](double share) {
            return times.empty()
                       ? 0
                       : times[std::min(times.size() - 1,
                                        static_cast<std::size_t>(share * static_cast<double>(times.size())))];
        };
        std::printf("%-28s p50 %7.2f s  p99 %7.2f s  last %7.2f s  of %zu of %zu; bytes a second both ways: "
                    "mean %.0f, most %.0f\n",
                    name, at(0.5), at(0.99), at(1), times.size(), counted,
                    sum / static_cast<double>(std::max<std::size_t>(1, counted)), most);
        std::fflush(stdout);
    }

    // Runs until the condition holds everywhere and reports times and bytes over the time it took, at least
    // ten seconds.
    void phase(const char *name, const std::function<bool(const Membership &)> &condition, Duration limit)
    {
        const std::vector<std::uint64_t> before = this->bytes();
        const Instant begin = this->mesh.now;
        const std::vector<double> times = this->until(condition, limit);
        const Duration least = std::chrono::seconds(10);
        if (this->mesh.now - begin < least)
            this->pass(least - (this->mesh.now - begin));
        this->report(name, times, before, std::chrono::duration<double>(this->mesh.now - begin).count());
    }

    std::function<bool(const Membership &)> counts(std::size_t present) const
    {
        return [present](const Membership &machine) { return machine.members().presentCount() == present; };
    }

    void start()
    {
        this->phase("the whole fleet starts", this->counts(this->shape.members), std::chrono::minutes(10));
    }

    void quiet()
    {
        const std::vector<std::uint64_t> before = this->bytes();
        this->pass(std::chrono::seconds(60));
        this->report("quiet minute", {}, before, 60);
    }

    void drain()
    {
        Membership &leaving = *this->mesh.machines[5];
        const std::string id = leaving.self().id;
        leaving.setUpstream(this->mesh.now, leaving.self().cluster, UpstreamState::Draining, 6);
        this->phase(
            "a drain",
            [&id](const Membership &machine) {
                return machine.members().find(id)->member.upstream == UpstreamState::Draining;
            },
            std::chrono::minutes(2));
    }

    void head()
    {
        this->mesh.machines[7]->setConfiguration(9, {9, 1, 1});
        this->phase(
            "a version's number", [](const Membership &machine) { return machine.head().version == 9; },
            std::chrono::minutes(2));
    }

    void zoneLossAndReturn()
    {
        const std::size_t zone = 1;
        std::size_t lost = 0;
        for (std::size_t i = zone; i < this->shape.members; i += this->shape.zones) {
            this->mesh.machines[i].reset();
            ++lost;
        }
        this->phase("a zone lost", this->counts(this->shape.members - lost), std::chrono::minutes(5));
        MembershipSettings settings;
        settings.seeds = {addressOfMember(0), addressOfMember(2), addressOfMember(3)};
        for (std::size_t i = zone; i < this->shape.members; i += this->shape.zones)
            this->mesh.restart(i, settings, 1000);
        this->phase("the zone returns as a herd", this->counts(this->shape.members),
                    std::chrono::minutes(10));
    }

    void splitAndHeal()
    {
        const auto side = [this](std::size_t index) {
            return index % this->shape.zones % this->shape.regions == 0;
        };
        std::size_t first = 0;
        for (std::size_t i = 0; i < this->shape.members; ++i)
            first += side(i) ? 1 : 0;
        this->mesh.cut = [side](std::size_t from, std::size_t to) { return side(from) != side(to); };
        this->phase(
            "a region cut off",
            [&](const Membership &machine) {
                const std::size_t present = machine.members().presentCount();
                return present == first || present == this->shape.members - first;
            },
            std::chrono::minutes(5));
        const std::vector<std::uint64_t> before = this->bytes();
        this->pass(std::chrono::minutes(55));
        this->report("the hour of the split", {}, before, 55 * 60);
        this->mesh.cut = nullptr;
        this->phase("the split heals", this->counts(this->shape.members), std::chrono::minutes(15));
    }

private:
    MeshShape shape;
    StandInMesh mesh;
};

} // namespace

int runMeshBench(const BenchSettings &settings)
{
    const MeshShape shape{settings.members, settings.zones, 7, settings.services};
    std::printf("mesh of %zu members in %zu zones, %lld ms a hop\n", shape.members, shape.zones,
                static_cast<long long>(std::chrono::duration_cast<Milliseconds>(step).count()));
    MeshRun(shape, true).start();
    MeshRun run(shape, false);
    run.quiet();
    run.drain();
    run.head();
    run.zoneLossAndReturn();
    run.splitAndHeal();
    std::printf("resident memory %.0f MiB, processor time %.1f s\n",
                static_cast<double>(residentBytes()) / kibibyte / kibibyte, processorSeconds());
    return 0;
}

} // namespace Sagecrank

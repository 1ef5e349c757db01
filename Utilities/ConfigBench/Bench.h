// The measurements of configuration and claims. Each prints a small table; docs/measurements/Configuration.md
// keeps them beside the commands.
#pragma once

#include <LibConfig/SourceFiles.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

struct BenchSettings
{
    std::size_t services = 820;
    std::size_t routes = 3; // Of each service.
    std::size_t sites = 25;
    std::size_t rounds = 50;
    std::string platform = "127.0.0.1:9000";
    std::uint32_t rate = 500; // Keyed calls a second.
    std::uint32_t seconds = 5;
    std::size_t alone = 16;   // Requests under way up to which puts go alone.
    std::size_t group = 25;   // Largest group of puts; 1 sends each alone.
    std::uint32_t window = 2; // Milliseconds that a put waits for its group.
};

// Every site has the same services; the queue of one service differs, so that no two site lists are equal.
// `change` alters the timeout of one route in every site, as a change of the base file does.
std::vector<RenderedSite> makeSites(const BenchSettings &settings, std::uint32_t change);

void measureSizes(const BenchSettings &settings);
void measureApply(const BenchSettings &settings);
void measurePublish(const BenchSettings &settings);
void measureClaims(const BenchSettings &settings);

// The value below which this share of the samples lies. Sorts them.
template <typename T>
T quantile(std::vector<T> &samples, double share)
{
    if (samples.empty())
        return T{};
    std::sort(samples.begin(), samples.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    return samples[index];
}

} // namespace Sagecrank

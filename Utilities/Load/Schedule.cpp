// Implements Schedule.h.
#include <Load/Schedule.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

std::vector<double> cumulate(const std::vector<double> &weights)
{
    double total = 0;
    for (const double weight : weights)
        total += weight;
    std::vector<double> cumulative;
    double sum = 0;
    for (const double weight : weights) {
        sum += weight;
        cumulative.push_back(sum / total);
    }
    return cumulative;
}

std::vector<double> zipfWeights(std::size_t count, double skew)
{
    std::vector<double> weights;
    for (std::size_t rank = 0; rank < count; ++rank)
        weights.push_back(std::pow(static_cast<double>(rank + 1), -skew));
    return weights;
}

std::size_t drawFrom(const std::vector<double> &cumulative, std::mt19937_64 &random)
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    const auto found = std::upper_bound(cumulative.begin(), cumulative.end(), draw);
    const auto index = static_cast<std::size_t>(found - cumulative.begin());
    return std::min(index, cumulative.size() - 1);
}

} // namespace

ArrivalSchedule::ArrivalSchedule(ArrivalKind kind, double rate, std::uint64_t seed)
    : kind(kind)
    , rate(rate)
    , random(seed)
{
}

Duration ArrivalSchedule::next()
{
    if (this->kind == ArrivalKind::Poisson)
        this->seconds += std::exponential_distribution<double>(this->rate)(this->random);
    else
        this->seconds += 1 / this->rate;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->seconds));
}

ZipfChoice::ZipfChoice(std::size_t count, double skew)
    : cumulative(cumulate(zipfWeights(count, skew)))
{
}

std::size_t ZipfChoice::draw(std::mt19937_64 &random) const
{
    return drawFrom(this->cumulative, random);
}

WeightedChoice::WeightedChoice(const std::vector<double> &shares)
    : cumulative(cumulate(shares))
{
}

std::size_t WeightedChoice::draw(std::mt19937_64 &random) const
{
    return drawFrom(this->cumulative, random);
}

} // namespace Sagecrank

// Keeps a virtual clock of the link.
#include <LibDecide/LinkBacklog.h>

#include <algorithm>

namespace Sagecrank {

namespace {

// The rest is for small responses, requests, gossip and the headers of packets.
constexpr double usableShare = 0.9;

// Assumed until the first response of a kind.
constexpr double initialBytes = 64 * 1024;

constexpr double meanWeight = 0.1;

} // namespace

LinkBacklog::LinkBacklog(double bytesPerSecond)
    : bytesPerSecond(bytesPerSecond * usableShare)
{
}

void LinkBacklog::setLargeKinds(std::vector<std::uint64_t> large)
{
    std::erase_if(this->kinds, [&large](const auto &entry) {
        return std::find(large.begin(), large.end(), entry.first) == large.end();
    });
    for (const std::uint64_t kind : large)
        this->kinds.try_emplace(kind);
}

void LinkBacklog::started(std::uint64_t kind)
{
    const auto found = this->kinds.find(kind);
    if (found != this->kinds.end())
        ++found->second.running;
}

void LinkBacklog::ended(std::uint64_t kind)
{
    const auto found = this->kinds.find(kind);
    if (found != this->kinds.end() && found->second.running > 0)
        --found->second.running;
}

Instant LinkBacklog::ready(Instant now, std::uint64_t kind, std::size_t bytes)
{
    this->ended(kind);
    if (!this->isLimited(kind))
        return now;
    const auto size = static_cast<double>(bytes);
    double &mean = this->kinds[kind].meanBytes;
    mean = mean == 0 ? size : mean + meanWeight * (size - mean);
    const Instant sentAt = std::max(now, this->freeAt);
    this->freeAt = sentAt + this->transferTime(size);
    return sentAt;
}

bool LinkBacklog::isLimited(std::uint64_t kind) const
{
    return this->bytesPerSecond > 0 && this->kinds.contains(kind);
}

// The responses of running calls are ready before that of a call that starts now.
Duration LinkBacklog::expectedDelay(Instant now, std::uint64_t kind) const
{
    if (!this->isLimited(kind))
        return Duration::zero();
    double bytes = 0;
    for (const auto &[id, other] : this->kinds) {
        const double mean = other.meanBytes == 0 ? initialBytes : other.meanBytes;
        bytes += mean * (other.running + (id == kind ? 1 : 0));
    }
    return (this->freeAt > now ? this->freeAt - now : Duration::zero()) + this->transferTime(bytes);
}

Duration LinkBacklog::transferTime(double bytes) const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / this->bytesPerSecond));
}

} // namespace Sagecrank

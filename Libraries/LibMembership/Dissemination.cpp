// Selects the changes for the next datagram.
#include <LibMembership/Dissemination.h>

#include <LibMembership/DatagramLimits.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Sagecrank {

namespace {

// Multiplied by the decimal logarithm of the member count; a change then misses one node in ten thousand.
constexpr std::uint32_t transmissionFactor = 4;
// For a handful of members and a loss of one datagram in ten.
constexpr std::uint32_t minimumTransmissions = 8;
// Under a backlog, anti-entropy sync delivers the rest.
constexpr std::uint32_t backlogTransmissions = 4;
constexpr std::uint32_t backlogFullRecordTransmissions = 1; // A full record costs four times as much.
constexpr std::size_t backlogThreshold = 64;

} // namespace

void Dissemination::add(std::uint64_t idHash, bool urgent, bool fullRecord)
{
    this->changes[idHash] = Change{0, urgent, fullRecord};
}

std::uint32_t Dissemination::transmissionLimit(const MemberTable &table) const
{
    if (this->changes.size() > backlogThreshold)
        return backlogTransmissions;
    const double members = static_cast<double>(table.presentCount()) + 1;
    return std::max(minimumTransmissions,
                    transmissionFactor * static_cast<std::uint32_t>(std::ceil(std::log10(members))));
}

std::size_t Dissemination::fill(Datagram &datagram, std::size_t maximumBytes, const MemberTable &table)
{
    struct Candidate
    {
        std::uint64_t idHash;
        Change *change;
    };
    std::vector<Candidate> candidates;
    candidates.reserve(this->changes.size());
    for (auto &[idHash, change] : this->changes)
        candidates.push_back({idHash, &change});
    const std::size_t candidateCount = std::min(candidates.size(), maximumBytes / encodedUpdateSize + 1);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(candidateCount),
                      candidates.end(), [](const Candidate &a, const Candidate &b) {
                          return std::tuple(!a.change->urgent, a.change->transmissions, a.idHash)
                                 < std::tuple(!b.change->urgent, b.change->transmissions, b.idHash);
                      });
    const std::uint32_t limit = this->transmissionLimit(table);
    std::size_t used = 0;
    for (std::size_t i = 0; i < candidateCount; ++i) {
        const auto [idHash, change] = candidates[i];
        const MemberRecord *record = table.find(idHash);
        if (record == nullptr) {
            this->changes.erase(idHash);
            continue;
        }
        const std::size_t size = change->fullRecord ? encodedSize(record->member) : encodedUpdateSize;
        if (used + size > maximumBytes
            || datagram.updates.size() + datagram.members.size() >= maximumListLength)
            continue;
        used += size;
        if (change->fullRecord)
            datagram.members.push_back(record->member);
        else
            datagram.updates.push_back(MemberTable::makeUpdate(*record));
        const bool backlogged = change->fullRecord && this->changes.size() > backlogThreshold;
        if (++change->transmissions >= (backlogged ? backlogFullRecordTransmissions : limit))
            this->changes.erase(idHash);
    }
    return used;
}

} // namespace Sagecrank

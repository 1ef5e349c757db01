// Choice of the changes that travel next.
#include <LibMembership/Dissemination.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Sagecrank {

namespace {

constexpr std::uint32_t tellFactor = 4;       // Times the decimal logarithm of the members: enough that a
                                              // change reaches all but about one in ten thousand.
constexpr std::uint32_t leastTellLimit = 8;   // For a handful of members and one datagram in ten lost.
constexpr std::uint32_t backlogTellLimit = 4; // With a backlog, the comparison of tables does the rest.
constexpr std::uint32_t backlogWholeTellLimit = 1; // Whole records cost four times as much.
constexpr std::size_t backlogSize = 64;
constexpr std::size_t maximumListed = 255; // A list's length travels in one byte.

} // namespace

void Dissemination::add(std::uint64_t idHash, bool urgent, bool whole)
{
    this->changes[idHash] = Change{0, urgent, whole};
}

std::uint32_t Dissemination::tellLimit(const MemberTable &table) const
{
    if (this->changes.size() > backlogSize)
        return backlogTellLimit;
    const double members = static_cast<double>(table.presentCount()) + 1;
    return std::max(leastTellLimit, tellFactor * static_cast<std::uint32_t>(std::ceil(std::log10(members))));
}

std::size_t Dissemination::fill(Datagram &datagram, std::size_t room, const MemberTable &table)
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
    const std::size_t most = std::min(candidates.size(), room / encodedUpdateSize + 1);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(most),
                      candidates.end(), [](const Candidate &a, const Candidate &b) {
                          return std::tuple(!a.change->urgent, a.change->told, a.idHash)
                                 < std::tuple(!b.change->urgent, b.change->told, b.idHash);
                      });
    const std::uint32_t limit = this->tellLimit(table);
    std::size_t used = 0;
    for (std::size_t i = 0; i < most; ++i) {
        const auto [idHash, change] = candidates[i];
        const MemberRecord *record = table.find(idHash);
        if (record == nullptr) {
            this->changes.erase(idHash);
            continue;
        }
        const std::size_t size = change->whole ? encodedSize(record->member) : encodedUpdateSize;
        if (used + size > room || datagram.updates.size() + datagram.members.size() >= maximumListed)
            continue;
        used += size;
        if (change->whole)
            datagram.members.push_back(record->member);
        else
            datagram.updates.push_back(MemberTable::makeUpdate(*record));
        const bool crowded = change->whole && this->changes.size() > backlogSize;
        if (++change->told >= (crowded ? backlogWholeTellLimit : limit))
            this->changes.erase(idHash);
    }
    return used;
}

} // namespace Sagecrank

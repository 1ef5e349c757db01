// The records of all known members, the rule by which two records of one member are merged, and the hashes
// by which two tables are compared. Knows nothing of datagrams or timers.
#pragma once

#include <LibCore/Time.h>
#include <LibMembership/Datagram.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

std::uint64_t hashId(std::string_view id);
std::uint32_t hashStaticFields(const Member &member);

// Present: counted as a part of the mesh. A suspect still is, for it may refute.
inline bool isPresent(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

struct MemberRecord
{
    Member member;
    std::uint64_t idHash = 0;
    std::uint32_t staticFieldsHash = 0;
    Instant stateChangedAt{};  // When the state last changed here.
    Instant suspectDeadline{}; // Only of use while suspect.
};

enum class MergeOutcome : std::uint8_t {
    Ignored,             // Older than what is held, or equal to it.
    Changed,             // Taken over.
    Unknown,             // A brief about a member that is not known, or whose fixed facts differ.
    DowngradedToSuspect, // A claim of death about a member held alive; taken as a suspicion.
};

// 192 hashes (768 bytes) fit one datagram, and so do a bucket's entries (about 34 at 6,500 members, 578
// bytes).
inline constexpr std::size_t bucketCount = 192;
using BucketHashes = std::array<std::uint32_t, bucketCount>;

class MemberTable
{
public:
    explicit MemberTable(std::string zone);

    // Commands.
    MergeOutcome merge(const Member &member, Instant now);
    MergeOutcome merge(const MemberUpdate &brief, Instant now);
    void replaceOwn(const Member &member, Instant now);
    void setHeldVersion(std::uint64_t idHash, std::uint64_t version);
    void setSuspectDeadline(std::uint64_t idHash, Instant deadline);
    std::size_t removeTombstones(Instant changedBefore);

    // Queries.
    const MemberRecord *find(std::uint64_t idHash) const;
    const MemberRecord *find(std::string_view id) const { return this->find(hashId(id)); }
    std::size_t size() const { return this->records.size(); }
    std::size_t presentCount() const { return this->present; }
    std::vector<Member> members() const;
    std::vector<std::uint64_t> suspects() const { return this->suspectHashes; }
    void forEach(const std::function<void(const MemberRecord &)> &visit) const;

    // Present members by distance, without the node itself.
    const std::vector<std::uint64_t> &zonePeers() const;
    const std::vector<std::uint64_t> &otherZonePeers() const;
    const std::vector<std::uint64_t> &deadMembers() const;

    const BucketHashes &bucketHashes() const { return this->hashes; }
    std::vector<const MemberRecord *> bucket(std::uint8_t index) const;

    static MemberUpdate makeUpdate(const MemberRecord &record);

private:
    MergeOutcome apply(MemberRecord &record, std::uint64_t incarnation, MemberState state, Instant now);
    void reindex(const MemberRecord &record, bool adding);
    void setState(MemberRecord &record, MemberState state, Instant now);
    void rebuildPeers() const;

    std::string zone;
    std::uint64_t ownHash = 0;
    std::unordered_map<std::uint64_t, MemberRecord> records;
    std::array<std::vector<std::uint64_t>, bucketCount> buckets; // Every record stands in exactly one.
    BucketHashes hashes{}; // Xor over the present members of a bucket, so one change costs one step.
    std::vector<std::uint64_t> suspectHashes;
    std::size_t present = 0;

    // Rebuilt on demand after a change of who is present.
    mutable bool peersStale = true;
    mutable std::vector<std::uint64_t> zoneList;
    mutable std::vector<std::uint64_t> otherList;
    mutable std::vector<std::uint64_t> deadList;
};

} // namespace Sagecrank

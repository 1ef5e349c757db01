// The records of all known members, the merge rule for two records of one member, and the bucket hashes by
// which two tables are compared. Has no dependency on datagram exchange or timers.
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

// Of region, zone, site, addresses, link bandwidth and cluster: the fields that a MemberUpdate does not
// carry.
std::uint32_t hashStaticFields(const Member &member);

// A suspect still counts as part of the mesh, because it may refute the suspicion.
inline bool isPresent(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

struct MemberRecord
{
    Member member;
    std::uint64_t idHash = 0;
    std::uint32_t staticFieldsHash = 0;
    Instant stateChangedAt{};  // Local time of the last state change.
    Instant suspectDeadline{}; // Valid only while the member is suspect.
};

enum class MergeOutcome : std::uint8_t {
    Ignored,             // Not newer than the stored record.
    Changed,             // Stored.
    Unknown,             // An update about an unknown member, or one whose static fields differ.
    DowngradedToSuspect, // A death report about a member that is alive here; stored as a suspicion.
};

// The 192 hashes (768 bytes) fit one datagram, and so do the entries of one bucket: about 34 entries, 578
// bytes, at 6,500 members.
inline constexpr std::size_t bucketCount = 192;
using BucketHashes = std::array<std::uint32_t, bucketCount>;

class MemberTable
{
public:
    explicit MemberTable(std::string zone);

    // Commands.
    MergeOutcome merge(const Member &member, Instant now);
    MergeOutcome merge(const MemberUpdate &update, Instant now);
    void replaceOwn(const Member &member, Instant now);
    void setHeldVersion(std::uint64_t idHash, std::uint64_t version);
    void setSuspectDeadline(std::uint64_t idHash, Instant deadline);
    // Removes dead and departed members whose state changed before the given time. Returns how many.
    std::size_t removeTombstones(Instant changedBefore);

    // Queries.
    const MemberRecord *find(std::uint64_t idHash) const;
    const MemberRecord *find(std::string_view id) const { return this->find(hashId(id)); }
    std::size_t size() const { return this->records.size(); }
    std::size_t presentCount() const { return this->present; }
    std::vector<Member> members() const;
    std::vector<std::uint64_t> suspects() const { return this->suspectHashes; }
    void forEach(const std::function<void(const MemberRecord &)> &visit) const;

    // Id hashes of the present members of the own zone and of other zones; excludes the node itself.
    const std::vector<std::uint64_t> &zonePeers() const;
    const std::vector<std::uint64_t> &otherZonePeers() const;
    const std::vector<std::uint64_t> &deadMembers() const;
    const std::vector<std::string> &otherZones() const; // Names of the zones of otherZonePeers().

    const BucketHashes &bucketHashes() const { return this->hashes; }
    std::vector<const MemberRecord *> bucket(std::uint8_t index) const;

    static MemberUpdate makeUpdate(const MemberRecord &record);

private:
    MergeOutcome apply(MemberRecord &record, std::uint64_t incarnation, MemberState state, Instant now);
    void updateIndex(const MemberRecord &record, bool adding);
    void setState(MemberRecord &record, MemberState state, Instant now);
    void rebuildPeers() const;

    std::string zone;
    std::uint64_t ownHash = 0;
    std::unordered_map<std::uint64_t, MemberRecord> records;
    std::array<std::vector<std::uint64_t>, bucketCount> buckets; // Each record is in exactly one bucket.
    BucketHashes hashes{}; // XOR over a bucket's present members, so an update costs O(1).
    std::vector<std::uint64_t> suspectHashes;
    std::size_t present = 0;

    // Rebuilt on demand after the set of present members changes.
    mutable bool peersStale = true;
    mutable std::vector<std::uint64_t> zonePeerHashes;
    mutable std::vector<std::uint64_t> otherZonePeerHashes;
    mutable std::vector<std::uint64_t> deadMemberHashes;
    mutable std::vector<std::string> otherZoneNames;
};

} // namespace Sagecrank

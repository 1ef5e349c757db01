// Merging of records, bucket hashes and peer lists.
#include <LibMembership/MemberTable.h>

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Sagecrank {

namespace {

std::size_t bucketOf(std::uint64_t idHash)
{
    return idHash % bucketCount;
}

// Does not cover suspicion: it is short-lived and gossiped anyway, so two tables that differ only by it
// need not exchange the bucket.
std::uint32_t hashForDigest(const MemberRecord &record)
{
    const std::uint64_t words[] = {record.idHash, record.member.incarnation};
    return static_cast<std::uint32_t>(XXH3_64bits(words, sizeof words));
}

void appendField(std::string &text, const std::string &field)
{
    text += field;
    text.push_back('\0');
}

} // namespace

std::uint64_t hashId(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

std::uint32_t hashStaticFields(const Member &member)
{
    std::string text;
    for (const std::string *field :
         {&member.region, &member.zone, &member.site, &member.gossipAddress, &member.peerAddress,
          &member.controlAddress, &member.cluster, &member.version})
        appendField(text, *field);
    appendField(text, std::to_string(member.linkMbps));
    return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
}

MemberTable::MemberTable(std::string zone)
    : zone(std::move(zone))
{
}

// When a network partition heals, each side reports all members of the other as dead. Accepting that would
// empty every view until each member has refuted it, so a death report about a member that is alive here only
// makes it suspect, which leaves the member time to refute.
MergeOutcome MemberTable::apply(MemberRecord &record, std::uint64_t incarnation, MemberState state,
                                Instant now)
{
    Member &member = record.member;
    if (incarnation < member.incarnation)
        return MergeOutcome::Ignored;
    if (incarnation == member.incarnation && state <= member.state)
        return MergeOutcome::Ignored;
    const bool downgraded = state == MemberState::Dead && member.state == MemberState::Alive;
    this->updateIndex(record, false);
    member.incarnation = incarnation;
    this->setState(record, downgraded ? MemberState::Suspect : state, now);
    this->updateIndex(record, true);
    return downgraded ? MergeOutcome::DowngradedToSuspect : MergeOutcome::Changed;
}

MergeOutcome MemberTable::merge(const Member &member, Instant now)
{
    const std::uint64_t idHash = hashId(member.id);
    const auto found = this->records.find(idHash);
    if (found == this->records.end()) {
        // The tombstone of a member that was never known here is of no use.
        if (!isPresent(member.state))
            return MergeOutcome::Ignored;
        MemberRecord record{member, idHash, hashStaticFields(member), now, {}};
        record.member.state = MemberState::Alive;
        record.member.configurationVersion = 0;
        MemberRecord &stored = this->records.emplace(idHash, std::move(record)).first->second;
        this->buckets[bucketOf(idHash)].push_back(idHash);
        this->updateIndex(stored, true);
        this->peersStale = true;
        if (member.state == MemberState::Suspect)
            this->setState(stored, MemberState::Suspect, now);
        return MergeOutcome::Changed;
    }
    MemberRecord &record = found->second;
    const std::uint64_t previous = record.member.incarnation;
    const MergeOutcome outcome = this->apply(record, member.incarnation, member.state, now);
    if (outcome != MergeOutcome::Ignored && member.incarnation > previous) {
        const Member previousMember = record.member;
        record.member = member;
        record.member.state = previousMember.state;
        record.member.configurationVersion = previousMember.configurationVersion;
        record.staticFieldsHash = hashStaticFields(member);
        this->peersStale = true;
    }
    return outcome;
}

MergeOutcome MemberTable::merge(const MemberUpdate &update, Instant now)
{
    const auto found = this->records.find(update.idHash);
    if (found == this->records.end())
        return isPresent(update.state) ? MergeOutcome::Unknown : MergeOutcome::Ignored;
    MemberRecord &record = found->second;
    const std::uint64_t previous = record.member.incarnation;
    if (update.incarnation > previous && update.staticFieldsHash != record.staticFieldsHash)
        return MergeOutcome::Unknown;
    const MergeOutcome outcome = this->apply(record, update.incarnation, update.state, now);
    if (outcome != MergeOutcome::Ignored && update.incarnation > previous) {
        record.member.upstream = update.upstream;
        record.member.slots = update.slots;
    }
    return outcome;
}

void MemberTable::replaceOwn(const Member &member, Instant now)
{
    this->ownHash = hashId(member.id);
    const auto found = this->records.find(this->ownHash);
    if (found == this->records.end()) {
        this->merge(member, now);
        return;
    }
    MemberRecord &record = found->second;
    this->updateIndex(record, false);
    const MemberState state = member.state;
    record.member = member;
    record.member.state = MemberState::Alive;
    record.staticFieldsHash = hashStaticFields(member);
    record.stateChangedAt = now;
    this->setState(record, state, now);
    this->updateIndex(record, true);
    this->peersStale = true;
}

void MemberTable::setHeldVersion(std::uint64_t idHash, std::uint64_t version)
{
    const auto found = this->records.find(idHash);
    if (found != this->records.end())
        found->second.member.configurationVersion = version;
}

void MemberTable::setSuspectDeadline(std::uint64_t idHash, Instant deadline)
{
    const auto found = this->records.find(idHash);
    if (found != this->records.end())
        found->second.suspectDeadline = deadline;
}

std::size_t MemberTable::removeTombstones(Instant changedBefore)
{
    std::size_t removed = 0;
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        const MemberRecord &record = entry->second;
        if (isPresent(record.member.state) || record.stateChangedAt >= changedBefore) {
            ++entry;
            continue;
        }
        std::erase(this->buckets[bucketOf(record.idHash)], record.idHash);
        entry = this->records.erase(entry);
        this->peersStale = true;
        ++removed;
    }
    return removed;
}

const MemberRecord *MemberTable::find(std::uint64_t idHash) const
{
    const auto found = this->records.find(idHash);
    return found == this->records.end() ? nullptr : &found->second;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> list;
    list.reserve(this->records.size());
    for (const auto &[idHash, record] : this->records)
        list.push_back(record.member);
    return list;
}

void MemberTable::forEach(const std::function<void(const MemberRecord &)> &visit) const
{
    for (const auto &[idHash, record] : this->records)
        visit(record);
}

const std::vector<std::string> &MemberTable::otherZones() const
{
    this->rebuildPeers();
    return this->otherZoneNames;
}

const std::vector<std::uint64_t> &MemberTable::zonePeers() const
{
    this->rebuildPeers();
    return this->zonePeerHashes;
}

const std::vector<std::uint64_t> &MemberTable::otherZonePeers() const
{
    this->rebuildPeers();
    return this->otherZonePeerHashes;
}

const std::vector<std::uint64_t> &MemberTable::deadMembers() const
{
    this->rebuildPeers();
    return this->deadMemberHashes;
}

std::vector<const MemberRecord *> MemberTable::bucket(std::uint8_t index) const
{
    std::vector<const MemberRecord *> list;
    for (const std::uint64_t idHash : this->buckets[index % bucketCount])
        list.push_back(this->find(idHash));
    return list;
}

MemberUpdate MemberTable::makeUpdate(const MemberRecord &record)
{
    const Member &member = record.member;
    const auto slots = static_cast<std::uint16_t>(std::min<std::uint32_t>(member.slots, 0xFFFF));
    return {record.idHash, member.incarnation, record.staticFieldsHash, member.state, member.upstream, slots};
}

void MemberTable::updateIndex(const MemberRecord &record, bool adding)
{
    if (!isPresent(record.member.state))
        return;
    this->hashes[bucketOf(record.idHash)] ^= hashForDigest(record);
    this->present += adding ? 1 : static_cast<std::size_t>(-1);
}

void MemberTable::setState(MemberRecord &record, MemberState state, Instant now)
{
    const MemberState previous = record.member.state;
    if (previous == state)
        return;
    record.member.state = state;
    record.stateChangedAt = now;
    if (previous == MemberState::Suspect)
        std::erase(this->suspectHashes, record.idHash);
    if (state == MemberState::Suspect)
        this->suspectHashes.push_back(record.idHash);
    if (isPresent(previous) != isPresent(state) || !isPresent(state))
        this->peersStale = true;
}

void MemberTable::rebuildPeers() const
{
    if (!this->peersStale)
        return;
    this->peersStale = false;
    this->zonePeerHashes.clear();
    this->otherZonePeerHashes.clear();
    this->deadMemberHashes.clear();
    std::set<std::string> zones;
    for (const auto &[idHash, record] : this->records) {
        if (idHash == this->ownHash)
            continue;
        if (record.member.state == MemberState::Dead)
            this->deadMemberHashes.push_back(idHash);
        if (!isPresent(record.member.state))
            continue;
        if (record.member.zone == this->zone) {
            this->zonePeerHashes.push_back(idHash);
            continue;
        }
        this->otherZonePeerHashes.push_back(idHash);
        zones.insert(record.member.zone);
    }
    this->otherZoneNames.assign(zones.begin(), zones.end());
}

} // namespace Sagecrank

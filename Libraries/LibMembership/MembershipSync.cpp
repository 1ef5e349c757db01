// Gossip, joining and anti-entropy sync of Membership.
#include <LibMembership/Membership.h>

#include <LibMembership/DatagramLimits.h>

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr Duration maximumJoinBackoff = Milliseconds(10000);
constexpr Duration rejoinInterval = std::chrono::minutes(1);
constexpr std::uint32_t joinTargets = 3;
// An introducer row may outlive its node, so some seeds never answer. Contacting all unknown seeds costs at
// most two datagrams of 300 bytes per second. A few unknown seeds are contacted every 1.5 s each, which is
// about how long two groups may stay apart.
constexpr Duration seedContactInterval = Milliseconds(500);
constexpr Duration minimumSeedBackoffLimit = Milliseconds(1500);
constexpr Duration maximumSeedBackoffLimit = Milliseconds(30000);
constexpr Duration knownSeedCheckInterval = Milliseconds(1000);
// A joining node that exchanges tables needs only some partners. When 200 nodes of a zone start together,
// longer answers use up the budget of the introducers.
constexpr std::size_t joinAnswerPartners = 4;
constexpr std::size_t joinAnswerDatagrams = 8; // A third of a zone of 260 nodes in 1,200-byte datagrams.
constexpr std::size_t syncAnswerDatagrams = 4;
constexpr std::uint32_t catchUpRoundsAfterChange = 4;
// When 60 nodes start together, each learns of most others at once and misses a few. Without these rounds it
// would get those at its next regular sync, and views would be complete only after 11 s. Ten seconds of
// faster syncs cost 13 KB.
constexpr std::uint32_t catchUpRoundsAfterJoin = 12;
constexpr Duration recordRequestInterval = Milliseconds(1000);
// Share of the budget that syncs leave to probes and changes.
constexpr double syncReserve = 0.3;

} // namespace

std::uint64_t Membership::pickPeer(bool ownZone)
{
    const std::vector<std::uint64_t> &wanted =
        ownZone ? this->table.zonePeers() : this->table.otherZonePeers();
    const std::vector<std::uint64_t> &other =
        ownZone ? this->table.otherZonePeers() : this->table.zonePeers();
    const std::vector<std::uint64_t> &peers = wanted.empty() ? other : wanted;
    if (peers.empty())
        return 0;
    std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
    return peers[any(this->random)];
}

bool Membership::drawCrossZoneTurn(double nodesPerZone)
{
    const auto zoneSize = static_cast<double>(this->table.zonePeers().size() + 1);
    return std::uniform_real_distribution<double>(0, zoneSize)(this->random) < nodesPerZone;
}

// A drain must reach 6,500 nodes within seconds. Five rounds per second to three members each reach all of
// them in about nine rounds; targets in other zones carry it across.
void Membership::gossip(Instant /*now*/)
{
    if (this->leaveRounds > 0)
        --this->leaveRounds;
    const bool crossZone =
        this->ownChangeRounds > 0 || this->drawCrossZoneTurn(this->settings.crossZoneGossipersPerZone);
    this->ownChangeRounds -= this->ownChangeRounds > 0 ? 1 : 0;
    const std::uint32_t transmissionLimit = this->transmissionLimit();
    const bool proofDue = this->isProofGossipDue();
    if (proofDue)
        this->gossipedProofMilliseconds = this->headProof.storeMilliseconds;
    for (std::uint32_t i = 0; i < this->settings.gossipFanout; ++i) {
        const bool hasHead = this->highestHead.version != 0 || this->storeEraChanged;
        const bool headPending = hasHead && this->headTransmissions < transmissionLimit;
        const bool noticePending = this->noticeTable.hasPending(transmissionLimit);
        const bool bulletinPending = this->bulletinTable.hasPending(transmissionLimit);
        if (this->changes.empty() && !headPending && !noticePending && !bulletinPending && !proofDue)
            return;
        if (!this->hasBudget(0)) {
            ++this->counts.suppressed;
            return;
        }
        const MemberRecord *peer = this->table.find(this->pickPeer(i != 0 || !crossZone));
        if (peer == nullptr)
            return;
        const bool ownZone = this->isInOwnZone(peer);
        if (!this->hasBudget(0, ownZone))
            continue;
        ++this->headTransmissions;
        this->sendWithChanges(peer->member.gossipAddress, ownZone, this->makeDatagram(DatagramKind::Gossip));
    }
}

// A node with a view syncs with one of its seeds from time to time. One without counts the attempts that
// nobody answered.
void Membership::join(Instant now)
{
    if (this->heardFromPeer && this->table.presentCount() > 1) {
        this->nextJoin = now + this->jittered(rejoinInterval);
        if (!this->settings.seeds.empty()) {
            std::uniform_int_distribution<std::size_t> any(0, this->settings.seeds.size() - 1);
            this->transmit(this->settings.seeds[any(this->random)], this->makeSyncDigest());
        }
        return;
    }
    this->nextJoin = now + this->jittered(this->joinBackoff);
    if (this->settings.seeds.empty())
        return;
    this->joinBackoff = std::min(this->joinBackoff * 2, maximumJoinBackoff);
    ++this->joinAttempts;
}

// When nodes start together or a partition heals, some find each other before they know of the rest. If the
// search ended there, two groups that can reach each other would each take themselves for the whole mesh, and
// their callers would find only a part of the upstreams. Each seed without a known member at its address is
// therefore contacted until there is one, with backoff, since an introducer row may outlive its node. One
// answer merges two groups: the sender gets the other's members, and both gossip what is new to them.
void Membership::contactUnknownSeeds(Instant now)
{
    const std::vector<std::string> unknownSeeds = this->takeDueSeeds(now);
    if (unknownSeeds.empty())
        return;
    const bool needsInitialList = !this->heardFromPeer;
    for (std::size_t i = 0; i < unknownSeeds.size(); ++i) {
        Datagram datagram = this->makeDatagram(DatagramKind::Join);
        datagram.members.push_back(this->own);
        // Each seed asked for an initial member list answers with another part of the zone.
        if (needsInitialList)
            datagram.buckets = {static_cast<std::uint8_t>(i), static_cast<std::uint8_t>(unknownSeeds.size())};
        this->transmit(unknownSeeds[i], datagram);
    }
    if (!needsInitialList)
        return;
    this->catchUpRounds = std::max(this->catchUpRounds, catchUpRoundsAfterJoin);
    this->nextSync = std::min(this->nextSync, now + this->settings.catchUpInterval);
}

// One pass over the table for all addresses: with 128 seeds and 6,500 members, one pass per seed would visit
// 830,000 records per second.
std::unordered_set<std::string_view> Membership::membersAt(const std::vector<std::string> &addresses) const
{
    std::unordered_set<std::string_view> known;
    if (addresses.empty())
        return known;
    const std::unordered_set<std::string_view> wanted(addresses.begin(), addresses.end());
    this->table.forEach([&](const MemberRecord &record) {
        const auto found = wanted.find(record.member.gossipAddress);
        if (found != wanted.end() && isPresent(record.member.state))
            known.insert(*found);
    });
    return known;
}

Duration Membership::maximumSeedBackoff() const
{
    const auto unknownCount =
        std::ranges::count_if(this->seedContacts, [](const auto &entry) { return !entry.second.known; });
    return std::clamp<Duration>(seedContactInterval * unknownCount, minimumSeedBackoffLimit,
                                maximumSeedBackoffLimit);
}

// Returns a few at a time, seeds in the own zone first: they know as much as the others and are nearer.
std::vector<std::string> Membership::takeDueSeeds(Instant now)
{
    std::vector<std::string> due;
    for (const auto &[address, contact] : this->seedContacts) {
        if (contact.next <= now && address != this->own.gossipAddress)
            due.push_back(address);
    }
    std::shuffle(due.begin(), due.end(), this->random);
    std::stable_partition(due.begin(), due.end(), [this](const std::string &address) {
        return std::find(this->zoneSeeds.begin(), this->zoneSeeds.end(), address) != this->zoneSeeds.end();
    });
    std::vector<std::string> unknownSeeds;
    const std::unordered_set<std::string_view> known = this->membersAt(due);
    for (const std::string &address : due) {
        if (unknownSeeds.size() == joinTargets)
            break;
        SeedContact &contact = this->seedContacts[address];
        if (known.contains(address)) {
            contact = SeedContact{now + knownSeedCheckInterval, knownSeedCheckInterval, true};
            continue;
        }
        contact.known = false;
        contact.next = now + this->jittered(contact.backoff);
        contact.backoff = std::min(contact.backoff * 2, this->maximumSeedBackoff());
        unknownSeeds.push_back(address);
    }
    return unknownSeeds;
}

// A joining node gets the members of its own zone first, since it calls those most; sync brings the rest.
void Membership::handleJoin(Instant /*now*/, const std::string &from, const Datagram &datagram)
{
    const MemberRecord *joiner = this->table.find(datagram.sender);
    if (joiner == nullptr)
        return;
    const bool isDivided = datagram.buckets.size() == 2 && datagram.buckets[1] > 0;
    const std::uint64_t parts = isDivided ? datagram.buckets[1] : 1;
    const std::uint64_t part = isDivided ? datagram.buckets[0] % parts : 0;
    std::vector<const MemberRecord *> sameZoneRecords;
    std::vector<const MemberRecord *> otherRecords;
    this->table.forEach([&](const MemberRecord &record) {
        if (!isPresent(record.member.state) || record.idHash == joiner->idHash)
            return;
        const bool sameZone = record.member.zone == joiner->member.zone;
        if (sameZone && record.idHash / bucketCount % parts == part)
            sameZoneRecords.push_back(&record);
        else
            otherRecords.push_back(&record);
    });
    std::shuffle(sameZoneRecords.begin(), sameZoneRecords.end(), this->random);
    std::shuffle(otherRecords.begin(), otherRecords.end(), this->random);
    sameZoneRecords.insert(sameZoneRecords.end(), otherRecords.begin(), otherRecords.end());
    this->sendNotices(from, this->isInOwnZone(joiner));
    this->sendBulletins(from, this->isInOwnZone(joiner));
    if (this->hooks.exchangeTables)
        sameZoneRecords.resize(std::min(sameZoneRecords.size(), joinAnswerPartners));
    // If this node's own record does not fit, the receiver requests it because of the sender's incarnation.
    this->sendRecords(from, this->isInOwnZone(joiner), sameZoneRecords, joinAnswerDatagrams);
    if (joiner->member.incarnation > datagram.senderIncarnation || !isPresent(joiner->member.state)) {
        Datagram reply = this->makeDatagram(DatagramKind::Gossip);
        reply.updates.push_back(MemberTable::makeUpdate(*joiner));
        this->transmit(from, reply);
    }
}

void Membership::catchUp(Instant now)
{
    this->catchUpRounds = catchUpRoundsAfterChange;
    this->nextSync = std::min(this->nextSync, now + this->jittered(this->settings.catchUpInterval));
}

void Membership::startSync(Instant /*now*/)
{
    if (this->isExchangingTables())
        return;
    if (!this->hasBudget(syncReserve)) {
        ++this->counts.suppressed;
        return;
    }
    std::uniform_int_distribution<int> quarter(0, 3);
    const bool crossZone =
        quarter(this->random) == 0 && this->drawCrossZoneTurn(4 * this->settings.crossZoneSyncersPerZone);
    const MemberRecord *peer = this->table.find(crossZone ? this->pickPeer(false) : this->nextSyncPeer());
    if (peer != nullptr)
        this->transmit(peer->member.gossipAddress, this->makeSyncDigest());
}

// Each pass covers every peer of the zone once. With random picks, two nodes that miss the same member may
// sync with each other repeatedly and not learn of it for seconds.
std::uint64_t Membership::nextSyncPeer()
{
    const std::vector<std::uint64_t> &zonePeers = this->table.zonePeers();
    return zonePeers.empty() ? this->pickPeer(true) : this->nextInRing(this->syncRing, zonePeers);
}

Datagram Membership::makeSyncDigest()
{
    Datagram digest = this->makeDatagram(DatagramKind::SyncDigest, ++this->lastSequence);
    const BucketHashes &hashes = this->table.bucketHashes();
    digest.bucketHashes.assign(hashes.begin(), hashes.end());
    return digest;
}

void Membership::handleSyncDigest(Instant /*now*/, const std::string &from, const Datagram &datagram)
{
    if (datagram.bucketHashes.size() != bucketCount || !this->hasBudget(syncReserve))
        return;
    const bool ownZone = this->isInOwnZone(this->table.find(datagram.sender));
    this->sendNotices(from, ownZone);
    this->sendBulletins(from, ownZone);
    std::vector<std::uint8_t> differing;
    std::vector<const MemberRecord *> missing;
    const BucketHashes &hashes = this->table.bucketHashes();
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (hashes[i] != datagram.bucketHashes[i])
            differing.push_back(static_cast<std::uint8_t>(i));
    }
    // Each differing bucket holds at least one such record. Entries of no bucket tell the sender to ask for
    // an exchange.
    if (this->isLargeDifference(differing.size()))
        return this->transmit(from, this->makeDatagram(DatagramKind::SyncEntries, datagram.sequence));
    std::shuffle(differing.begin(), differing.end(), this->random);
    Datagram reply = this->makeDatagram(DatagramKind::SyncEntries, datagram.sequence);
    std::size_t used = reservedHeaderBytes;
    for (const std::uint8_t index : differing) {
        const std::vector<const MemberRecord *> bucket = this->table.bucket(index);
        // The sender's bucket is empty: sending the records at once saves a round trip.
        if (datagram.bucketHashes[index] == 0) {
            for (const MemberRecord *record : bucket) {
                if (isPresent(record->member.state))
                    missing.push_back(record);
            }
            continue;
        }
        const std::size_t size = bucket.size() * encodedEntrySize + 1;
        if (used + size > maximumDatagramBytes || reply.entries.size() + bucket.size() > maximumListLength)
            continue;
        used += size;
        reply.buckets.push_back(index);
        for (const MemberRecord *record : bucket)
            reply.entries.push_back({record->idHash, record->member.incarnation, record->member.state});
    }
    if (!reply.buckets.empty())
        this->transmit(from, reply);
    // A node that has just joined calls the upstreams of its own zone most.
    const MemberRecord *asker = this->table.find(datagram.sender);
    if (asker != nullptr) {
        std::stable_partition(missing.begin(), missing.end(), [&](const MemberRecord *record) {
            return record->member.zone == asker->member.zone;
        });
    }
    this->sendRecords(from, this->isInOwnZone(asker), missing, syncAnswerDatagrams);
}

void Membership::handleSyncEntries(Instant now, const std::string &from, const Datagram &datagram)
{
    const TableDifference difference = this->compareEntries(now, datagram);
    const std::size_t records = difference.wanted.size() + difference.offered.size();
    if (datagram.buckets.empty() || this->isLargeDifference(records))
        return this->exchangePlan.require(now, hashId(datagram.sender));
    this->requestRecords(now, from, difference.wanted);
    this->sendRecords(from, this->isInOwnZone(this->table.find(datagram.sender)), difference.offered,
                      syncAnswerDatagrams);
    if (records > 0)
        this->catchUp(now);
}

Membership::TableDifference Membership::compareEntries(Instant now, const Datagram &datagram)
{
    std::unordered_map<std::uint64_t, const SyncEntry *> remoteEntries;
    TableDifference difference;
    for (const SyncEntry &entry : datagram.entries) {
        remoteEntries[entry.idHash] = &entry;
        if (this->refuteIfOwn(now, entry.idHash, entry.incarnation, entry.state))
            continue;
        const MemberRecord *record = this->table.find(entry.idHash);
        const bool unknown = record == nullptr && isPresent(entry.state);
        const bool newer =
            record != nullptr
            && (entry.incarnation > record->member.incarnation
                || (entry.incarnation == record->member.incarnation && entry.state > record->member.state));
        if (unknown || newer)
            difference.wanted.push_back(entry.idHash);
    }
    for (const std::uint8_t index : datagram.buckets) {
        for (const MemberRecord *record : this->table.bucket(index)) {
            const auto found = remoteEntries.find(record->idHash);
            const bool unknown = found == remoteEntries.end() && isPresent(record->member.state);
            const bool newer = found != remoteEntries.end()
                               && (record->member.incarnation > found->second->incarnation
                                   || (record->member.incarnation == found->second->incarnation
                                       && record->member.state > found->second->state));
            if (unknown || newer)
                difference.offered.push_back(record);
        }
    }
    return difference;
}

void Membership::handleSyncRequest(Instant /*now*/, const std::string &from, const Datagram &datagram)
{
    this->sendRecords(from, this->isInOwnZone(this->table.find(datagram.sender)),
                      this->recordsOf(datagram.wanted), syncAnswerDatagrams);
}

void Membership::requestRecords(Instant now, const std::string &address,
                                const std::vector<std::uint64_t> &wanted)
{
    Datagram datagram = this->makeDatagram(DatagramKind::SyncRequest);
    for (const std::uint64_t idHash : wanted) {
        const auto lastRequest = this->requestedAt.find(idHash);
        if (lastRequest != this->requestedAt.end() && now - lastRequest->second < recordRequestInterval)
            continue;
        if (datagram.wanted.size() >= maximumWanted)
            break;
        this->requestedAt[idHash] = now;
        datagram.wanted.push_back(idHash);
    }
    if (datagram.wanted.empty() || !this->hasBudget(0))
        return;
    this->transmit(address, datagram);
}

// Notices are rare, so a node that syncs gets them outright instead of a hash to compare.
void Membership::sendNotices(const std::string &address, bool ownZone)
{
    constexpr std::size_t maximumNoticesSent = 50; // Just under 1,000 bytes.
    std::vector<Notice> current = this->notices();
    if (current.empty() || !this->hasBudget(syncReserve, ownZone))
        return;
    std::shuffle(current.begin(), current.end(), this->random);
    current.resize(std::min(current.size(), maximumNoticesSent));
    Datagram datagram = this->makeDatagram(DatagramKind::Gossip);
    datagram.notices = std::move(current);
    this->transmit(address, datagram, ownZone);
}

void Membership::sendBulletins(const std::string &address, bool ownZone)
{
    std::vector<Bulletin> current = this->bulletins();
    if (current.empty() || !this->hasBudget(syncReserve, ownZone))
        return;
    std::shuffle(current.begin(), current.end(), this->random);
    Datagram datagram = this->makeDatagram(DatagramKind::Gossip);
    std::size_t used = reservedHeaderBytes;
    for (Bulletin &bulletin : current) {
        used += encodedSize(bulletin);
        if (used > maximumDatagramBytes)
            break;
        datagram.bulletins.push_back(std::move(bulletin));
    }
    this->transmit(address, datagram, ownZone);
}

void Membership::sendRecords(const std::string &address, bool ownZone,
                             const std::vector<const MemberRecord *> &records, std::size_t maximumDatagrams)
{
    std::size_t next = 0;
    for (std::size_t sent = 0; sent < maximumDatagrams && next < records.size(); ++sent) {
        if (!this->hasBudget(syncReserve, ownZone)) {
            ++this->counts.suppressed;
            return;
        }
        this->transmit(address, this->fillRecords(records, next), ownZone);
    }
}

// A nonzero sequence marks a sync answer, which makes the receiver catch up.
Datagram Membership::fillRecords(const std::vector<const MemberRecord *> &records, std::size_t &next) const
{
    Datagram answer = this->makeDatagram(DatagramKind::Gossip, 1);
    std::size_t used = reservedHeaderBytes;
    while (next < records.size()) {
        const std::size_t size = encodedSize(records[next]->member);
        if (used + size > maximumDatagramBytes)
            break;
        used += size;
        answer.members.push_back(records[next]->member);
        ++next;
    }
    return answer;
}

} // namespace Sagecrank

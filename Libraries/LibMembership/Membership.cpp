// Commands, receiving and sending of Membership.
#include <LibMembership/Membership.h>

#include <LibMembership/DatagramLimits.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

constexpr std::uint32_t leaveGossipRounds = 5; // Each goes to the whole fan-out.
// Room for three introducers in each of 25 zones and the seeds in the settings.
constexpr std::size_t maximumSeeds = 128;
constexpr Duration initialJoinBackoff = Milliseconds(500);
// The hosts of a zone regain power within one or two tenths of a second of each other, so the first contacts
// often find nobody listening yet.
constexpr Duration initialSeedBackoff = Milliseconds(50);
// About 15 s without an answer from any seed: the node takes itself to be alone, since waiting on would keep
// it from serving for good.
constexpr std::uint32_t joinAttemptsUntilAlone = 5;
constexpr Duration recordRequestInterval = Milliseconds(1000);
// About 2 KB of records, which a node can gossip within two seconds at 6 KB per second.
constexpr std::size_t smallMeshMembers = 16;
// A node is the first to know of its own change; until its zone has heard of it, no other node can send it to
// other zones.
constexpr std::uint32_t crossZoneRoundsForOwnChange = 3;
// Heads and notices are sent as often as member changes; anti-entropy sync delivers the rest.
constexpr std::uint32_t transmissionFactor = 4;
constexpr std::uint32_t minimumTransmissions = 8;

} // namespace

std::uint64_t MembershipCounters::sentBytes() const
{
    std::uint64_t sum = 0;
    for (const KindCounters &kind : this->kinds)
        sum += kind.sentBytes;
    return sum;
}

std::uint64_t MembershipCounters::receivedBytes() const
{
    std::uint64_t sum = 0;
    for (const KindCounters &kind : this->kinds)
        sum += kind.receivedBytes;
    return sum;
}

Membership::Membership(MembershipSettings settings, Member self, MembershipHooks hooks, std::uint64_t seed)
    : settings(std::move(settings))
    , own(std::move(self))
    , ownHash(hashId(this->own.id))
    , hooks(std::move(hooks))
    , random(seed)
    , table(this->own.zone)
    , budget(this->settings.bytesPerSecond, this->settings.burstBytes, this->settings.initialBurstBytes)
    , crossZoneBudget(this->settings.crossZoneBytesPerSecond, this->settings.crossZoneBurstBytes)
    , exchangePlan(this->settings.tableExchange, seed + 1)
    , inboundBudget(this->settings.catchUpBytesPerSecond, this->settings.burstBytes,
                    this->settings.initialBurstBytes)
    , joinBackoff(initialJoinBackoff)
{
    this->own.state = MemberState::Alive;
    this->table.replaceOwn(this->own, Instant{});
    for (const std::string &address : this->settings.seeds)
        this->seedContacts[address] = SeedContact{Instant{}, initialSeedBackoff};
}

void Membership::tick(Instant now)
{
    this->budget.refill(now);
    this->crossZoneBudget.refill(now);
    this->inboundBudget.refill(now);
    if (this->lastTick != Instant{} && now - this->lastTick > this->settings.pauseThreshold)
        this->resumeAfterPause(now);
    this->lastTick = now;
    this->checkProbes(now);
    this->checkSuspects(now);
    if (!this->leaving && now >= this->nextJoin)
        this->join(now);
    if (!this->leaving)
        this->contactUnknownSeeds(now);
    this->exchangeTables(now);
    if (now >= this->nextGossip) {
        this->nextGossip = now + this->settings.gossipInterval;
        this->gossip(now);
    }
    if (!this->leaving && now >= this->nextProbe) {
        this->nextProbe = now + this->jittered(this->settings.probeInterval);
        this->probeNext(now);
    }
    if (!this->leaving && now >= this->nextSync && !this->isInboundOverBudget(now)) {
        // Losing an answer while catching up must not delay the next sync by a full interval.
        const bool behind = this->catchUpRounds > 0;
        this->catchUpRounds -= behind ? 1 : 0;
        this->nextSync = now + this->jittered(behind ? this->catchUpPace() : this->settings.syncInterval);
        this->startSync(now);
    }
    if (!this->leaving && now >= this->nextReconnect) {
        this->nextReconnect = now + this->jittered(this->settings.reconnectInterval);
        this->reconnect(now);
    }
    if (this->noticeTable.expire(now))
        this->notifyNoticesChanged();
    this->bulletinTable.expire(now);
    if (now >= this->nextTombstoneRemoval) {
        this->nextTombstoneRemoval = now + std::chrono::minutes(1);
        this->counts.removedTombstones +=
            this->table.removeTombstones(now - this->settings.tombstoneRetention);
        std::erase_if(this->requestedAt,
                      [&](const auto &entry) { return now - entry.second > recordRequestInterval; });
    }
}

// A small mesh syncs faster, since its whole table fits two datagrams: two groups that found each other merge
// sooner, and a round costs a node only 900 bytes.
Duration Membership::catchUpPace() const
{
    const bool small = this->table.presentCount() <= smallMeshMembers;
    return small ? this->settings.catchUpInterval : this->settings.catchUpInterval * 2;
}

// When a zone returns, each of its nodes receives thousands of records from several peers at once, which
// without this limit exceeds 13 KB per second for a minute. The delay is at most one regular sync interval,
// so a flood of datagrams cannot keep a node from syncing.
bool Membership::isInboundOverBudget(Instant now) const
{
    const bool behind = this->catchUpRounds > 0;
    return behind && this->inboundBudget.available() <= 0
           && now < this->nextSync + this->settings.syncInterval;
}

void Membership::receive(Instant now, const std::string &from, std::string_view bytes)
{
    const Result<Datagram> decoded = decodeDatagram(bytes, from);
    if (!decoded) {
        ++this->counts.malformed;
        return;
    }
    const Datagram &datagram = decoded.value();
    KindCounters &kind = this->counts.kinds[static_cast<std::size_t>(datagram.kind)];
    ++kind.received;
    kind.receivedBytes += bytes.size() + datagramOverheadBytes;
    this->inboundBudget.take(bytes.size() + datagramOverheadBytes);
    if (datagram.sender == this->own.id)
        return;
    this->budget.refill(now);
    this->handle(now, from, datagram);
}

void Membership::handle(Instant now, const std::string &from, const Datagram &datagram)
{
    this->heardFromPeer = true;
    this->applyChanges(now, from, datagram);
    this->mergeNotices(now, datagram.notices);
    this->mergeBulletins(now, datagram.bulletins, true);
    this->noteSender(now, from, datagram);
    switch (datagram.kind) {
    case DatagramKind::Ping:
        this->handlePing(now, from, datagram);
        break;
    case DatagramKind::Ack:
        this->handleAck(now, datagram);
        break;
    case DatagramKind::PingRequest:
        this->handlePingRequest(now, datagram, from);
        break;
    case DatagramKind::Gossip:
        break;
    case DatagramKind::Join:
        this->handleJoin(now, from, datagram);
        break;
    case DatagramKind::SyncDigest:
        this->handleSyncDigest(now, from, datagram);
        break;
    case DatagramKind::SyncEntries:
        this->handleSyncEntries(now, from, datagram);
        break;
    case DatagramKind::SyncRequest:
        this->handleSyncRequest(now, from, datagram);
        break;
    case DatagramKind::Report:
        if (this->hooks.reportReceived)
            this->hooks.reportReceived(datagram.sender, datagram.report);
        break;
    }
}

void Membership::noteSender(Instant now, const std::string &from, const Datagram &datagram)
{
    this->noteHead(datagram.head);
    this->noteStoreEra(datagram.storeEra);
    if (datagram.headProof.storeMilliseconds != 0 && this->hooks.headProofReceived)
        this->hooks.headProofReceived(datagram.headProof);
    const std::uint64_t senderHash = hashId(datagram.sender);
    const MemberRecord *record = this->table.find(senderHash);
    if (record == nullptr || record->member.incarnation < datagram.senderIncarnation) {
        this->requestRecords(now, from, {senderHash});
        return;
    }
    this->noteHeldVersion(*record, datagram.heldVersion);
    // The sender is alive but recorded as suspect or dead: tell it, since only it can refute that.
    const bool needsRefutation =
        record->member.state == MemberState::Suspect || record->member.state == MemberState::Dead;
    if (needsRefutation && datagram.kind != DatagramKind::Ping) {
        Datagram reply = this->makeDatagram(DatagramKind::Gossip);
        reply.updates.push_back(MemberTable::makeUpdate(*record));
        this->transmit(from, reply);
    }
}

void Membership::noteHeldVersion(const MemberRecord &record, std::uint64_t version)
{
    const std::uint64_t previousVersion = record.member.configurationVersion;
    this->table.setHeldVersion(record.idHash, version);
    if (version > previousVersion && this->hooks.heldVersionAdvanced)
        this->hooks.heldVersionAdvanced(record.member);
}

void Membership::applyChanges(Instant now, const std::string &from, const Datagram &datagram)
{
    const bool isSyncAnswer = datagram.kind == DatagramKind::Gossip && datagram.sequence != 0;
    this->mergeRecords(now, datagram.members, isSyncAnswer);
    std::vector<std::uint64_t> unknown;
    for (const MemberUpdate &update : datagram.updates) {
        if (this->refuteIfOwn(now, update.idHash, update.incarnation, update.state))
            continue;
        const MergeOutcome outcome = this->table.merge(update, now);
        if (outcome == MergeOutcome::Unknown)
            unknown.push_back(update.idHash);
        this->afterMerge(now, update.idHash, outcome);
        this->queueChange(update.idHash, outcome, false);
    }
    this->requestRecords(now, from, unknown);
    if (isSyncAnswer && !datagram.members.empty())
        this->catchUp(now);
}

// Records received by sync are already known to most of a large mesh. Gossiping them would take the whole
// budget of a node that has just joined for minutes, and other nodes get them by sync as well. In a small
// mesh they may come from a group unknown to its members, and gossiping them is cheap.
void Membership::mergeRecords(Instant now, const std::vector<Member> &members, bool fromSync)
{
    const bool isWidelyKnown = fromSync && this->table.presentCount() > smallMeshMembers;
    for (const Member &member : members) {
        const std::uint64_t idHash = hashId(member.id);
        if (this->refuteIfOwn(now, idHash, member.incarnation, member.state))
            continue;
        const MemberRecord *previous = this->table.find(idHash);
        const bool isNew = previous == nullptr;
        const bool fullRecord = isNew || previous->staticFieldsHash != hashStaticFields(member);
        const MergeOutcome outcome = this->table.merge(member, now);
        this->afterMerge(now, idHash, outcome);
        // While tables are exchanged, they carry the members that are new here.
        const bool isExchanged = isNew && this->isExchangingTables();
        if (!isWidelyKnown && !isExchanged)
            this->queueChange(idHash, outcome, fullRecord);
    }
}

// A false suspicion, a pause, a partition, or a restart after the clock was set back leaves the mesh with a
// record of this node that overrides its own. Since only the node itself raises its incarnation, going one
// above the reported incarnation overrides that record everywhere.
bool Membership::refuteIfOwn(Instant now, std::uint64_t idHash, std::uint64_t incarnation, MemberState state)
{
    if (idHash != this->ownHash)
        return false;
    const bool isNewer = incarnation > this->own.incarnation;
    const bool isContradiction = incarnation == this->own.incarnation && state != MemberState::Alive;
    if (this->leaving || (!isNewer && !isContradiction))
        return true;
    this->own.incarnation = incarnation + 1;
    ++this->counts.refutations;
    if (state == MemberState::Suspect)
        this->raiseHealthScore(1);
    this->publishOwn(now, true, false);
    return true;
}

void Membership::afterMerge(Instant now, std::uint64_t idHash, MergeOutcome outcome)
{
    if (outcome == MergeOutcome::Ignored || outcome == MergeOutcome::Unknown)
        return;
    const Member &member = this->table.find(idHash)->member;
    if (member.state == MemberState::Suspect) {
        this->table.setSuspectDeadline(idHash, now + this->suspicionTime());
        this->detectFailingZone(member);
    }
    if (this->hooks.memberChanged)
        this->hooks.memberChanged(member);
}

void Membership::queueChange(std::uint64_t idHash, MergeOutcome outcome, bool fullRecord)
{
    if (outcome == MergeOutcome::Ignored || outcome == MergeOutcome::Unknown)
        return;
    const Member &member = this->table.find(idHash)->member;
    const bool urgent = !isPresent(member.state) || member.upstream == UpstreamState::Draining
                        || member.upstream == UpstreamState::Gone;
    this->changes.add(idHash, urgent, fullRecord);
}

void Membership::noteHead(const ConfigurationVersion &head)
{
    if (head.version <= this->highestHead.version)
        return;
    this->highestHead = head;
    this->scheduleHeadGossip();
    if (this->hooks.headAdvanced)
        this->hooks.headAdvanced(head);
}

// When the store is restored from an older copy, only nodes that poll it often notice. Without gossip, rows
// that other nodes had written would stay lost until each of them accessed the store again.
void Membership::noteStoreEra(std::uint64_t era)
{
    if (era <= this->storeEra)
        return;
    // The first known era is not gossiped on its own: each node reads it from the store at its start, and
    // every datagram carries it anyway.
    this->storeEraChanged = this->storeEra != 0;
    this->storeEra = era;
    if (this->storeEraChanged)
        this->scheduleHeadGossip();
    if (this->hooks.storeEraAdvanced)
        this->hooks.storeEraAdvanced(era);
}

void Membership::setHeadProof(const HeadProof &proof)
{
    this->headProof = proof;
}

// Proofs are useful for seconds. Gossiping each one would send datagrams in every round.
bool Membership::isProofGossipDue() const
{
    constexpr std::uint64_t gossipedAfterMilliseconds = 400;
    return this->headProof.storeMilliseconds != 0
           && this->headProof.storeMilliseconds
                  >= this->gossipedProofMilliseconds + gossipedAfterMilliseconds;
}

// A version reaches a zone of 100 nodes through several rounds of gossip and pulls. Waiting for the next
// regular gossip round adds a tenth of a second per step, a second and a half in all.
void Membership::scheduleHeadGossip()
{
    this->headTransmissions = 0;
    this->nextGossip = Instant{};
}

void Membership::announce(Instant now, const Notice &notice)
{
    this->mergeNotices(now, {notice});
}

void Membership::mergeNotices(Instant now, const std::vector<Notice> &notices)
{
    bool anyNew = false;
    for (const Notice &notice : notices)
        anyNew = this->noticeTable.merge(now, notice) || anyNew;
    if (!anyNew)
        return;
    this->nextGossip = Instant{};
    this->notifyNoticesChanged();
}

void Membership::notifyNoticesChanged()
{
    if (this->hooks.noticesChanged)
        this->hooks.noticesChanged(this->notices());
}

void Membership::announce(Instant now, const Bulletin &bulletin)
{
    this->mergeBulletins(now, {bulletin}, false);
}

void Membership::mergeBulletins(Instant now, const std::vector<Bulletin> &bulletins, bool notify)
{
    for (const Bulletin &bulletin : bulletins) {
        if (!this->bulletinTable.merge(now, bulletin))
            continue;
        this->nextGossip = Instant{};
        if (notify && this->hooks.bulletinReceived)
            this->hooks.bulletinReceived(bulletin);
    }
}

void Membership::sendReport(const std::string &memberId, const std::string &report)
{
    const MemberRecord *member = this->table.find(hashId(memberId));
    if (member == nullptr || report.size() > maximumReportBytes || !this->hasBudget(0)) {
        ++this->counts.suppressed;
        return;
    }
    Datagram datagram = this->makeDatagram(DatagramKind::Report);
    datagram.report = report;
    this->transmit(member->member.gossipAddress, datagram, this->isInOwnZone(member));
}

std::uint32_t Membership::transmissionLimit() const
{
    const double members = static_cast<double>(this->table.presentCount()) + 1;
    const auto rounds = static_cast<std::uint32_t>(std::ceil(std::log10(members)));
    return std::max(minimumTransmissions, transmissionFactor * rounds);
}

void Membership::publishOwn(Instant now, bool urgent, bool fullRecord)
{
    this->table.replaceOwn(this->own, now);
    this->changes.add(this->ownHash, urgent, fullRecord);
    this->ownChangeRounds = crossZoneRoundsForOwnChange;
    this->nextGossip = std::min(this->nextGossip, now);
    if (this->hooks.memberChanged)
        this->hooks.memberChanged(this->own);
}

void Membership::setUpstream(Instant now, const std::string &cluster, UpstreamState state,
                             std::uint32_t slots, const std::string &version)
{
    const bool same = this->own.cluster == cluster && this->own.version == version
                      && this->own.upstream == state && this->own.slots == slots;
    if (same || this->leaving)
        return;
    const bool fullRecord = this->own.cluster != cluster || this->own.version != version;
    this->own.cluster = cluster;
    this->own.version = version;
    this->own.upstream = state;
    this->own.slots = slots;
    ++this->own.incarnation;
    const bool urgent = state == UpstreamState::Draining || state == UpstreamState::Gone;
    this->publishOwn(now, urgent, fullRecord);
}

void Membership::setConfiguration(std::uint64_t held, const ConfigurationVersion &head)
{
    if (held > this->heldVersion) {
        this->heldVersion = held;
        this->scheduleHeadGossip();
        this->own.configurationVersion = held;
        this->table.setHeldVersion(this->ownHash, held);
    }
    this->noteHead(head);
}

void Membership::addSeeds(Instant now, const std::vector<std::string> &addresses, bool ownZone)
{
    if (ownZone)
        this->zoneSeeds = addresses;
    for (const std::string &address : addresses) {
        const bool known = this->seedContacts.contains(address);
        if (known || address == this->own.gossipAddress || this->settings.seeds.size() >= maximumSeeds)
            continue;
        this->settings.seeds.push_back(address);
        this->seedContacts[address] = SeedContact{now, initialSeedBackoff};
    }
    if (!this->leaving)
        this->contactUnknownSeeds(now);
}

void Membership::leave(Instant now)
{
    if (this->leaving)
        return;
    this->leaving = true;
    this->leaveRounds = leaveGossipRounds;
    this->own.state = MemberState::Left;
    this->publishOwn(now, true, false);
}

bool Membership::hasView() const
{
    return this->heardFromPeer || this->settings.seeds.empty()
           || this->joinAttempts >= joinAttemptsUntilAlone;
}

// The initial burst is for the own zone only; traffic to other zones stays within its own budget.
bool Membership::hasBudget(double reservedShare, bool ownZone) const
{
    const auto allows = [reservedShare](const TokenBucket &bucket) {
        return bucket.available() > bucket.capacity() * reservedShare;
    };
    return allows(this->budget) && (ownZone || allows(this->crossZoneBudget));
}

bool Membership::isInOwnZone(const MemberRecord *record) const
{
    return record != nullptr && record->member.zone == this->own.zone;
}

Datagram Membership::makeDatagram(DatagramKind kind, std::uint32_t sequence) const
{
    Datagram datagram;
    datagram.kind = kind;
    datagram.sequence = sequence;
    datagram.sender = this->own.id;
    datagram.senderIncarnation = this->own.incarnation;
    datagram.heldVersion = this->heldVersion;
    datagram.head = this->highestHead;
    datagram.storeEra = this->storeEra;
    datagram.headProof = this->headProof;
    return datagram;
}

void Membership::sendWithChanges(const std::string &address, bool ownZone, Datagram datagram)
{
    constexpr std::size_t minimumBytes = 200;
    const double available = this->budget.available();
    const double spendable =
        std::max(0.0, ownZone ? available : std::min(available, this->crossZoneBudget.available()));
    const std::size_t availableBytes = std::min<std::size_t>(maximumDatagramBytes - reservedHeaderBytes,
                                                             static_cast<std::size_t>(spendable));
    if (availableBytes >= minimumBytes) {
        const std::size_t bulletinBytes =
            this->bulletinTable.fill(this->lastTick, datagram, availableBytes / 2, this->transmissionLimit());
        this->noticeTable.fill(this->lastTick, datagram, (availableBytes - bulletinBytes) / 2,
                               this->transmissionLimit());
        const std::size_t remainingBytes =
            availableBytes - bulletinBytes - datagram.notices.size() * encodedNoticeSize;
        if (!this->changes.empty())
            this->changes.fill(datagram, remainingBytes, this->table);
    }
    this->transmit(address, datagram, ownZone);
}

void Membership::transmit(const std::string &address, const Datagram &datagram, bool ownZone)
{
    const std::string bytes = encodeDatagram(datagram);
    if (address.empty() || bytes.size() > maximumDatagramBytes) {
        ++this->counts.suppressed;
        return;
    }
    const std::size_t size = bytes.size() + datagramOverheadBytes;
    this->budget.take(size);
    if (!ownZone)
        this->crossZoneBudget.take(size);
    KindCounters &kind = this->counts.kinds[static_cast<std::size_t>(datagram.kind)];
    ++kind.sent;
    kind.sentBytes += size;
    this->hooks.send(address, bytes);
}

Duration Membership::jittered(Duration interval)
{
    std::uniform_real_distribution<double> factor(0.8, 1.2);
    return std::chrono::duration_cast<Duration>(interval * factor(this->random));
}

} // namespace Sagecrank

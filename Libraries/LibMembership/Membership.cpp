// Commands, receiving and sending.
#include <LibMembership/Membership.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

constexpr std::uint32_t goodbyes = 5;     // Rounds of gossip after a leave; each goes to the whole fan-out.
constexpr std::size_t maximumSeeds = 128; // Three introducers of each of 25 zones, and what settings list.
constexpr Duration firstJoinBackoff = Milliseconds(500);
// The hosts of a zone get their power back within a tenth of a second or two of each other, so the first
// greetings often find nobody yet.
constexpr Duration firstGreetingBackoff = Milliseconds(50);
// About fifteen seconds without an answer from any seed: this node is the only one, and waiting for others
// would keep it from serving for good.
constexpr std::uint32_t joinAttemptsAlone = 5;
constexpr Duration requestAgainAfter = Milliseconds(1000);
// Some 2 KB of records, which each node tells on within two seconds of its 6 KB a second.
constexpr std::size_t smallMesh = 16;
// The owner of news knows it first; until its zone has heard, nobody else carries it to other zones.
constexpr std::uint32_t roundsForOwnNews = 3;
// Of a head or a notice, as many datagrams as carry a change of a member: the comparison of tables does the
// rest.
constexpr std::uint32_t newsTellFactor = 4;
constexpr std::uint32_t leastNewsTells = 8;

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
    , acrossBudget(this->settings.crossZoneBytesPerSecond, this->settings.crossZoneBurstBytes)
    , inbound(this->settings.catchUpBytesPerSecond, this->settings.burstBytes,
              this->settings.initialBurstBytes)
    , joinBackoff(firstJoinBackoff)
{
    this->own.state = MemberState::Alive;
    this->table.replaceOwn(this->own, Instant{});
    for (const std::string &seed : this->settings.seeds)
        this->greetings[seed] = Greeting{Instant{}, firstGreetingBackoff};
}

void Membership::tick(Instant now)
{
    this->budget.refill(now);
    this->acrossBudget.refill(now);
    this->inbound.refill(now);
    if (this->lastTick != Instant{} && now - this->lastTick > this->settings.pauseThreshold)
        this->wake(now);
    this->lastTick = now;
    this->checkProbes(now);
    this->checkSuspects(now);
    if (!this->leaving && now >= this->nextJoin)
        this->join(now);
    if (!this->leaving)
        this->greetStrangers(now);
    if (now >= this->nextGossip) {
        this->nextGossip = now + this->settings.gossipInterval;
        this->gossip(now);
    }
    if (!this->leaving && now >= this->nextProbe) {
        this->nextProbe = now + this->jittered(this->settings.probeInterval);
        this->probeNext(now);
    }
    if (!this->leaving && now >= this->nextSync && !this->mustAwaitInbound(now)) {
        // A lost answer while there is much to learn must not cost a whole interval.
        const bool behind = this->catchUpRounds > 0;
        this->catchUpRounds -= behind ? 1 : 0;
        this->nextSync = now + this->jittered(behind ? this->paceOfCatchUp() : this->settings.syncInterval);
        this->startSync(now);
    }
    if (!this->leaving && now >= this->nextReconnect) {
        this->nextReconnect = now + this->jittered(this->settings.reconnectInterval);
        this->reconnect(now);
    }
    if (this->board.expire(now))
        this->noticesChanged();
    if (now >= this->nextForget) {
        this->nextForget = now + std::chrono::minutes(1);
        this->counts.removedTombstones +=
            this->table.removeTombstones(now - this->settings.tombstoneRetention);
        std::erase_if(this->requested,
                      [&](const auto &entry) { return now - entry.second > requestAgainAfter; });
    }
}

// Where the whole table fits two datagrams, rounds may follow each other faster: two groups of a small mesh
// that have just met are one sooner, and each round costs a node 900 bytes.
Duration Membership::paceOfCatchUp() const
{
    const bool small = this->table.presentCount() <= smallMesh;
    return small ? this->settings.catchUpInterval : this->settings.catchUpInterval * 2;
}

// Load: a zone returns, and each of its nodes learns thousands of records from several peers at once. Harm:
// the bytes that arrive pass the node's 13 KB a second for a minute. The wait ends at the ordinary interval,
// so that a flood of datagrams cannot keep a node from comparing at all.
bool Membership::mustAwaitInbound(Instant now) const
{
    const bool behind = this->catchUpRounds > 0;
    return behind && this->inbound.available() <= 0 && now < this->nextSync + this->settings.syncInterval;
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
    this->inbound.take(bytes.size() + datagramOverheadBytes);
    if (datagram.sender == this->own.id)
        return;
    this->budget.refill(now);
    this->handle(now, from, datagram);
}

void Membership::handle(Instant now, const std::string &from, const Datagram &datagram)
{
    this->heardAnyone = true;
    this->takeChanges(now, from, datagram);
    this->takeNotices(now, datagram.notices);
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
    }
}

void Membership::noteSender(Instant now, const std::string &from, const Datagram &datagram)
{
    this->noteHead(datagram.head);
    this->noteStoreEra(datagram.storeEra);
    const std::uint64_t senderHash = hashId(datagram.sender);
    const MemberRecord *record = this->table.find(senderHash);
    if (record == nullptr || record->member.incarnation < datagram.senderIncarnation) {
        this->request(now, from, {senderHash});
        return;
    }
    const std::uint64_t heldBefore = record->member.configurationVersion;
    this->table.setHeldVersion(senderHash, datagram.heldVersion);
    if (datagram.heldVersion > heldBefore && this->hooks.heldVersionAdvanced)
        this->hooks.heldVersionAdvanced(record->member);
    // It speaks, but it is held for suspect or dead here: tell it so, for only it can refute that.
    const bool wronged =
        record->member.state == MemberState::Suspect || record->member.state == MemberState::Dead;
    if (wronged && datagram.kind != DatagramKind::Ping) {
        Datagram notice = this->makeDatagram(DatagramKind::Gossip);
        notice.updates.push_back(MemberTable::makeUpdate(*record));
        this->transmit(from, notice);
    }
}

void Membership::takeChanges(Instant now, const std::string &from, const Datagram &datagram)
{
    // What came by comparison is old news to a large mesh. Telling it on would cost a node that has just
    // joined its whole budget for minutes; whoever else missed it finds it by comparison too. In a small one
    // it may be a group that nobody here knew, and telling it on costs little.
    const bool answersSync = datagram.kind == DatagramKind::Gossip && datagram.sequence != 0;
    const bool isOldNews = answersSync && this->table.presentCount() > smallMesh;
    for (const Member &member : datagram.members) {
        const std::uint64_t idHash = hashId(member.id);
        if (this->concernsOwn(now, idHash, member.incarnation, member.state))
            continue;
        const MemberRecord *before = this->table.find(idHash);
        const bool whole = before == nullptr || before->staticFieldsHash != hashStaticFields(member);
        const MergeOutcome outcome = this->table.merge(member, now);
        this->afterMerge(now, idHash, outcome);
        if (!isOldNews)
            this->spread(idHash, outcome, whole);
    }
    std::vector<std::uint64_t> unknown;
    for (const MemberUpdate &brief : datagram.updates) {
        if (this->concernsOwn(now, brief.idHash, brief.incarnation, brief.state))
            continue;
        const MergeOutcome outcome = this->table.merge(brief, now);
        if (outcome == MergeOutcome::Unknown)
            unknown.push_back(brief.idHash);
        this->afterMerge(now, brief.idHash, outcome);
        this->spread(brief.idHash, outcome, false);
    }
    this->request(now, from, unknown);
    if (answersSync && !datagram.members.empty())
        this->catchUp(now);
}

// Load: a false suspicion, a pause, a split, or a restart whose clock was set back. Harm: the mesh would go
// on believing an older word about this node than its own. Only the owner raises its incarnation, so one
// step above whatever is claimed ends the matter everywhere.
bool Membership::concernsOwn(Instant now, std::uint64_t idHash, std::uint64_t incarnation, MemberState state)
{
    if (idHash != this->ownHash)
        return false;
    const bool outlived = incarnation > this->own.incarnation;
    const bool accused = incarnation == this->own.incarnation && state != MemberState::Alive;
    if (this->leaving || (!outlived && !accused))
        return true;
    this->own.incarnation = incarnation + 1;
    ++this->counts.refutations;
    if (state == MemberState::Suspect)
        this->raiseHealth(1);
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
        this->noteTroubledZone(member);
    }
    if (this->hooks.memberChanged)
        this->hooks.memberChanged(member);
}

void Membership::spread(std::uint64_t idHash, MergeOutcome outcome, bool whole)
{
    if (outcome == MergeOutcome::Ignored || outcome == MergeOutcome::Unknown)
        return;
    const Member &member = this->table.find(idHash)->member;
    const bool stopsWork = !isPresent(member.state) || member.upstream == UpstreamState::Draining
                           || member.upstream == UpstreamState::Gone;
    this->changes.add(idHash, stopsWork, whole);
}

void Membership::noteHead(const ConfigurationVersion &head)
{
    if (head.version <= this->headMark.version)
        return;
    this->headMark = head;
    this->tellHead();
    if (this->hooks.headAdvanced)
        this->hooks.headAdvanced(head);
}

// Failure: the store comes back from an older copy. Symptom: only the few that ask it often learn of that,
// and what the others had written stays lost until each of them happens to ask.
void Membership::noteStoreEra(std::uint64_t era)
{
    if (era <= this->storeEra)
        return;
    // The first is no news: at a start each node asks the store, and what it sends anyway carries the era.
    this->eraRose = this->storeEra != 0;
    this->storeEra = era;
    if (this->eraRose)
        this->tellHead();
    if (this->hooks.storeEraAdvanced)
        this->hooks.storeEraAdvanced(era);
}

// Load: a version goes through a zone of 100 by some rounds of gossip and of pulls. Harm: when each waits for
// the next regular round, a tenth of a second a step adds up to a second and a half.
void Membership::tellHead()
{
    this->headTold = 0;
    this->nextGossip = Instant{};
}

void Membership::announce(Instant now, const Notice &notice)
{
    this->takeNotices(now, {notice});
}

void Membership::takeNotices(Instant now, const std::vector<Notice> &notices)
{
    bool anyNews = false;
    for (const Notice &notice : notices)
        anyNews = this->board.merge(now, notice) || anyNews;
    if (!anyNews)
        return;
    this->nextGossip = Instant{};
    this->noticesChanged();
}

void Membership::noticesChanged()
{
    if (this->hooks.noticesChanged)
        this->hooks.noticesChanged(this->notices());
}

std::uint32_t Membership::newsTellLimit() const
{
    const double members = static_cast<double>(this->table.presentCount()) + 1;
    const auto rounds = static_cast<std::uint32_t>(std::ceil(std::log10(members)));
    return std::max(leastNewsTells, newsTellFactor * rounds);
}

void Membership::publishOwn(Instant now, bool urgent, bool whole)
{
    this->table.replaceOwn(this->own, now);
    this->changes.add(this->ownHash, urgent, whole);
    this->ownNewsRounds = roundsForOwnNews;
    this->nextGossip = std::min(this->nextGossip, now);
    if (this->hooks.memberChanged)
        this->hooks.memberChanged(this->own);
}

void Membership::setUpstream(Instant now, const std::string &cluster, UpstreamState state,
                             std::uint32_t slots)
{
    const bool same = this->own.cluster == cluster && this->own.upstream == state && this->own.slots == slots;
    if (same || this->leaving)
        return;
    const bool whole = this->own.cluster != cluster;
    this->own.cluster = cluster;
    this->own.upstream = state;
    this->own.slots = slots;
    ++this->own.incarnation;
    const bool urgent = state == UpstreamState::Draining || state == UpstreamState::Gone;
    this->publishOwn(now, urgent, whole);
}

void Membership::setConfiguration(std::uint64_t held, const ConfigurationVersion &head)
{
    if (held > this->heldVersion) {
        this->heldVersion = held;
        this->tellHead();
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
        const bool known = this->greetings.contains(address);
        if (known || address == this->own.gossipAddress || this->settings.seeds.size() >= maximumSeeds)
            continue;
        this->settings.seeds.push_back(address);
        this->greetings[address] = Greeting{now, firstGreetingBackoff};
    }
    if (!this->leaving)
        this->greetStrangers(now);
}

void Membership::leave(Instant now)
{
    if (this->leaving)
        return;
    this->leaving = true;
    this->goodbyeRounds = goodbyes;
    this->own.state = MemberState::Left;
    this->publishOwn(now, true, false);
}

bool Membership::hasView() const
{
    return this->heardAnyone || this->settings.seeds.empty() || this->joinAttempts >= joinAttemptsAlone;
}

// The allowance for a first view is spent within the zone; bytes to other zones keep to their own budget.
bool Membership::maySpend(double share, bool ownZone) const
{
    const auto allows = [share](const TokenBucket &bucket) {
        return bucket.available() > bucket.capacity() * share;
    };
    return allows(this->budget) && (ownZone || allows(this->acrossBudget));
}

bool Membership::isOfOwnZone(const MemberRecord *record) const
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
    datagram.head = this->headMark;
    datagram.storeEra = this->storeEra;
    return datagram;
}

void Membership::sendWithChanges(const std::string &address, bool ownZone, Datagram datagram)
{
    constexpr std::size_t headRoom = 200; // More than an empty datagram with the longest names it may carry.
    constexpr std::size_t smallest = 200;
    const double funds = this->budget.available();
    const double spendable = std::max(0.0, ownZone ? funds : std::min(funds, this->acrossBudget.available()));
    const std::size_t room =
        std::min<std::size_t>(maximumDatagramBytes - headRoom, static_cast<std::size_t>(spendable));
    if (room >= smallest) {
        this->board.fill(this->lastTick, datagram, room / 2, this->newsTellLimit());
        const std::size_t left = room - datagram.notices.size() * encodedNoticeSize;
        if (!this->changes.empty())
            this->changes.fill(datagram, left, this->table);
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
        this->acrossBudget.take(size);
    KindCounters &kind = this->counts.kinds[static_cast<std::size_t>(datagram.kind)];
    ++kind.sent;
    kind.sentBytes += size;
    this->hooks.send(address, bytes);
}

Duration Membership::jittered(Duration interval)
{
    std::uniform_real_distribution<double> share(0.8, 1.2);
    return std::chrono::duration_cast<Duration>(interval * share(this->random));
}

} // namespace Sagecrank

// Spreading of changes, the first view of a node that joins, and the comparison of tables.
#include <LibMembership/Membership.h>

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr Duration longestJoinBackoff = Milliseconds(10000);
constexpr Duration rejoinInterval = std::chrono::minutes(1);
constexpr std::uint32_t joinTargets = 3;
// A row may outlive its node. All strangers together cost a node at most two datagrams of 300 bytes a second,
// and with few of them each is greeted every 1.5 s: about as long as two groups may stand apart.
constexpr Duration greetingInterval = Milliseconds(500);
constexpr Duration shortestLastBackoff = Milliseconds(1500);
constexpr Duration longestGreetingBackoff = Milliseconds(30000);
// Whether a member still stands at a seed is looked at this often.
constexpr Duration acquaintanceCheck = Milliseconds(1000);
constexpr std::size_t joinAnswerDatagrams = 8; // A third of a zone of 260 in 1,200-byte datagrams.
constexpr std::size_t syncAnswerDatagrams = 4;
constexpr std::uint32_t roundsAfterNews = 4;
// Load: 60 nodes start together, and each hears of most others at once and misses a few. Harm: it learned of
// those at its next ordinary comparison, and views were complete after 11 s. Comparing for ten seconds more
// costs 13 KB.
constexpr std::uint32_t roundsAfterJoin = 12;
constexpr std::size_t maximumWanted = 100;
constexpr Duration requestAgainAfter = Milliseconds(1000);
// What may be put off leaves a part of the budget to probes and changes.
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

bool Membership::isMyTurnAcross(double ofTheZone)
{
    const auto zone = static_cast<double>(this->table.zonePeers().size() + 1);
    return std::uniform_real_distribution<double>(0, zone)(this->random) < ofTheZone;
}

// Load: a drain must be seen by 6,500 nodes within seconds. Rounds five times a second to three members each
// reach all of them in about nine rounds; the targets outside the zone carry it across.
void Membership::gossip(Instant /*now*/)
{
    if (this->goodbyeRounds > 0)
        --this->goodbyeRounds;
    const bool across =
        this->ownNewsRounds > 0 || this->isMyTurnAcross(this->settings.crossZoneGossipersPerZone);
    this->ownNewsRounds -= this->ownNewsRounds > 0 ? 1 : 0;
    const std::uint32_t tellLimit = this->newsTellLimit();
    for (std::uint32_t i = 0; i < this->settings.gossipFanout; ++i) {
        const bool anyHead = this->headMark.version != 0 || this->eraRose;
        const bool headIsNews = anyHead && this->headTold < tellLimit;
        const bool noticeIsNews = this->board.hasNews(tellLimit);
        if (this->changes.empty() && !headIsNews && !noticeIsNews)
            return;
        if (!this->maySpend(0)) {
            ++this->counts.suppressed;
            return;
        }
        const MemberRecord *peer = this->table.find(this->pickPeer(i != 0 || !across));
        if (peer == nullptr)
            return;
        const bool ownZone = this->isOfOwnZone(peer);
        if (!this->maySpend(0, ownZone))
            continue;
        ++this->headTold;
        this->sendWithChanges(peer->member.gossipAddress, ownZone, this->makeDatagram(DatagramKind::Gossip));
    }
}

// Whoever has a view compares it with one of the seeds now and then. One without a view counts how long it
// has had no answer.
void Membership::join(Instant now)
{
    if (this->heardAnyone && this->table.presentCount() > 1) {
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
    this->joinBackoff = std::min(this->joinBackoff * 2, longestJoinBackoff);
    ++this->joinAttempts;
}

// Failure: nodes start together, or a cut heals, and some meet before they have heard of the others. Symptom:
// two groups that could reach each other each take themselves for the whole mesh, with no fault about, and
// their callers find a part of the upstreams only. So meeting somebody does not end the search: each seed
// that no member is known at is greeted until one is, ever more seldom, since a row may outlive its node. One
// answer joins two groups: the greeter gets the other's members, and both spread what is new to them.
void Membership::greetStrangers(Instant now)
{
    const std::vector<std::string> strangers = this->dueStrangers(now);
    if (strangers.empty())
        return;
    const bool firstView = !this->heardAnyone;
    for (std::size_t i = 0; i < strangers.size(); ++i) {
        Datagram datagram = this->makeDatagram(DatagramKind::Join);
        datagram.members.push_back(this->own);
        // Each of those that are asked for a first view answers with another part of the zone.
        if (firstView)
            datagram.buckets = {static_cast<std::uint8_t>(i), static_cast<std::uint8_t>(strangers.size())};
        this->transmit(strangers[i], datagram);
    }
    if (!firstView)
        return;
    this->catchUpRounds = std::max(this->catchUpRounds, roundsAfterJoin);
    this->nextSync = std::min(this->nextSync, now + this->settings.catchUpInterval);
}

// Load: 128 seeds and 6,500 members. Harm of searching the table for each seed: 830,000 records a second. One
// pass serves all of them.
std::unordered_set<std::string_view> Membership::membersAt(const std::vector<std::string> &addresses) const
{
    std::unordered_set<std::string_view> met;
    if (addresses.empty())
        return met;
    const std::unordered_set<std::string_view> wanted(addresses.begin(), addresses.end());
    this->table.forEach([&](const MemberRecord &record) {
        const auto found = wanted.find(record.member.gossipAddress);
        if (found != wanted.end() && isPresent(record.member.state))
            met.insert(*found);
    });
    return met;
}

Duration Membership::longestBackoffOfGreetings() const
{
    const auto strangers =
        std::ranges::count_if(this->greetings, [](const auto &entry) { return !entry.second.met; });
    return std::clamp<Duration>(greetingInterval * strangers, shortestLastBackoff, longestGreetingBackoff);
}

// A few at a time, those of its own zone first: they know as much as the others and are near.
std::vector<std::string> Membership::dueStrangers(Instant now)
{
    std::vector<std::string> due;
    for (const auto &[address, greeting] : this->greetings) {
        if (greeting.next <= now && address != this->own.gossipAddress)
            due.push_back(address);
    }
    std::shuffle(due.begin(), due.end(), this->random);
    std::stable_partition(due.begin(), due.end(), [this](const std::string &address) {
        return std::find(this->zoneSeeds.begin(), this->zoneSeeds.end(), address) != this->zoneSeeds.end();
    });
    std::vector<std::string> strangers;
    const std::unordered_set<std::string_view> met = this->membersAt(due);
    for (const std::string &address : due) {
        if (strangers.size() == joinTargets)
            break;
        Greeting &greeting = this->greetings[address];
        if (met.contains(address)) {
            greeting = Greeting{now + acquaintanceCheck, acquaintanceCheck, true};
            continue;
        }
        greeting.met = false;
        greeting.next = now + this->jittered(greeting.backoff);
        greeting.backoff = std::min(greeting.backoff * 2, this->longestBackoffOfGreetings());
        strangers.push_back(address);
    }
    return strangers;
}

// A joining node gets members of its own zone first, for it calls those most; the rest comes by comparison.
void Membership::handleJoin(Instant /*now*/, const std::string &from, const Datagram &datagram)
{
    const MemberRecord *joiner = this->table.find(datagram.sender);
    if (joiner == nullptr)
        return;
    const bool divided = datagram.buckets.size() == 2 && datagram.buckets[1] > 0;
    const std::uint64_t parts = divided ? datagram.buckets[1] : 1;
    const std::uint64_t part = divided ? datagram.buckets[0] % parts : 0;
    std::vector<const MemberRecord *> near;
    std::vector<const MemberRecord *> far;
    this->table.forEach([&](const MemberRecord &record) {
        if (!isPresent(record.member.state) || record.idHash == joiner->idHash)
            return;
        const bool sameZone = record.member.zone == joiner->member.zone;
        if (sameZone && record.idHash / bucketCount % parts == part)
            near.push_back(&record);
        else
            far.push_back(&record);
    });
    std::shuffle(near.begin(), near.end(), this->random);
    std::shuffle(far.begin(), far.end(), this->random);
    near.insert(near.end(), far.begin(), far.end());
    this->sendNotices(from, this->isOfOwnZone(joiner));
    // This node's own record is in the list or not by chance; the header's incarnation makes up for it.
    this->sendRecords(from, this->isOfOwnZone(joiner), near, joinAnswerDatagrams);
    if (joiner->member.incarnation > datagram.senderIncarnation || !isPresent(joiner->member.state)) {
        Datagram notice = this->makeDatagram(DatagramKind::Gossip);
        notice.updates.push_back(MemberTable::makeUpdate(*joiner));
        this->transmit(from, notice);
    }
}

void Membership::catchUp(Instant now)
{
    this->catchUpRounds = roundsAfterNews;
    this->nextSync = std::min(this->nextSync, now + this->jittered(this->settings.catchUpInterval));
}

void Membership::startSync(Instant /*now*/)
{
    if (!this->maySpend(syncReserve)) {
        ++this->counts.suppressed;
        return;
    }
    std::uniform_int_distribution<int> quarter(0, 3);
    const bool across =
        quarter(this->random) == 0 && this->isMyTurnAcross(4 * this->settings.crossZoneSyncersPerZone);
    const MemberRecord *peer = this->table.find(across ? this->pickPeer(false) : this->nextToCompare());
    if (peer != nullptr)
        this->transmit(peer->member.gossipAddress, this->makeSyncDigest());
}

// Failure: two nodes miss the same member and by chance compare with each other again and again. Symptom:
// they do not hear of it for seconds. Each peer of the zone comes up once in a pass.
std::uint64_t Membership::nextToCompare()
{
    const std::vector<std::uint64_t> &zonePeers = this->table.zonePeers();
    return zonePeers.empty() ? this->pickPeer(true) : this->nextInRing(this->compareRing, zonePeers);
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
    if (datagram.bucketHashes.size() != bucketCount || !this->maySpend(syncReserve))
        return;
    this->sendNotices(from, this->isOfOwnZone(this->table.find(datagram.sender)));
    std::vector<std::uint8_t> differing;
    std::vector<const MemberRecord *> missing;
    const BucketHashes &hashes = this->table.bucketHashes();
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (hashes[i] != datagram.bucketHashes[i])
            differing.push_back(static_cast<std::uint8_t>(i));
    }
    std::shuffle(differing.begin(), differing.end(), this->random);
    Datagram reply = this->makeDatagram(DatagramKind::SyncEntries, datagram.sequence);
    constexpr std::size_t headRoom = 200;
    std::size_t used = headRoom;
    for (const std::uint8_t index : differing) {
        const std::vector<const MemberRecord *> bucket = this->table.bucket(index);
        // The other side has nothing there: the records themselves save a round trip.
        if (datagram.bucketHashes[index] == 0) {
            for (const MemberRecord *record : bucket) {
                if (isPresent(record->member.state))
                    missing.push_back(record);
            }
            continue;
        }
        const std::size_t size = bucket.size() * encodedEntrySize + 1;
        if (used + size > maximumDatagramBytes || reply.entries.size() + bucket.size() > 255)
            continue;
        used += size;
        reply.buckets.push_back(index);
        for (const MemberRecord *record : bucket)
            reply.entries.push_back({record->idHash, record->member.incarnation, record->member.state});
    }
    if (!reply.buckets.empty())
        this->transmit(from, reply);
    // A node that has just joined calls its own zone most.
    const MemberRecord *asker = this->table.find(datagram.sender);
    if (asker != nullptr) {
        std::stable_partition(missing.begin(), missing.end(), [&](const MemberRecord *record) {
            return record->member.zone == asker->member.zone;
        });
    }
    this->sendRecords(from, this->isOfOwnZone(asker), missing, syncAnswerDatagrams);
}

void Membership::handleSyncEntries(Instant now, const std::string &from, const Datagram &datagram)
{
    std::unordered_map<std::uint64_t, const SyncEntry *> theirs;
    std::vector<std::uint64_t> wanted;
    std::vector<const MemberRecord *> offered;
    for (const SyncEntry &entry : datagram.entries) {
        theirs[entry.idHash] = &entry;
        if (this->concernsOwn(now, entry.idHash, entry.incarnation, entry.state))
            continue;
        const MemberRecord *record = this->table.find(entry.idHash);
        const bool unknown = record == nullptr && isPresent(entry.state);
        const bool newer =
            record != nullptr
            && (entry.incarnation > record->member.incarnation
                || (entry.incarnation == record->member.incarnation && entry.state > record->member.state));
        if (unknown || newer)
            wanted.push_back(entry.idHash);
    }
    for (const std::uint8_t index : datagram.buckets) {
        for (const MemberRecord *record : this->table.bucket(index)) {
            const auto found = theirs.find(record->idHash);
            const bool unknown = found == theirs.end() && isPresent(record->member.state);
            const bool newer = found != theirs.end()
                               && (record->member.incarnation > found->second->incarnation
                                   || (record->member.incarnation == found->second->incarnation
                                       && record->member.state > found->second->state));
            if (unknown || newer)
                offered.push_back(record);
        }
    }
    this->request(now, from, wanted);
    this->sendRecords(from, this->isOfOwnZone(this->table.find(datagram.sender)), offered,
                      syncAnswerDatagrams);
    if (!wanted.empty() || !offered.empty())
        this->catchUp(now);
}

void Membership::handleSyncRequest(Instant /*now*/, const std::string &from, const Datagram &datagram)
{
    std::vector<const MemberRecord *> records;
    for (const std::uint64_t idHash : datagram.wanted) {
        const MemberRecord *record = this->table.find(idHash);
        if (record != nullptr)
            records.push_back(record);
    }
    this->sendRecords(from, this->isOfOwnZone(this->table.find(datagram.sender)), records,
                      syncAnswerDatagrams);
}

void Membership::request(Instant now, const std::string &address, const std::vector<std::uint64_t> &wanted)
{
    Datagram datagram = this->makeDatagram(DatagramKind::SyncRequest);
    for (const std::uint64_t idHash : wanted) {
        const auto asked = this->requested.find(idHash);
        if (asked != this->requested.end() && now - asked->second < requestAgainAfter)
            continue;
        if (datagram.wanted.size() >= maximumWanted)
            break;
        this->requested[idHash] = now;
        datagram.wanted.push_back(idHash);
    }
    if (datagram.wanted.empty() || !this->maySpend(0))
        return;
    this->transmit(address, datagram);
}

// There are hardly ever any, so whoever compares tables gets all of them instead of a hash to compare.
void Membership::sendNotices(const std::string &address, bool ownZone)
{
    constexpr std::size_t mostNotices = 50; // Just under a thousand bytes.
    std::vector<Notice> held = this->notices();
    if (held.empty() || !this->maySpend(syncReserve, ownZone))
        return;
    std::shuffle(held.begin(), held.end(), this->random);
    held.resize(std::min(held.size(), mostNotices));
    Datagram datagram = this->makeDatagram(DatagramKind::Gossip);
    datagram.notices = std::move(held);
    this->transmit(address, datagram, ownZone);
}

void Membership::sendRecords(const std::string &address, bool ownZone,
                             const std::vector<const MemberRecord *> &records, std::size_t maximumDatagrams)
{
    constexpr std::size_t headRoom = 200;
    std::size_t next = 0;
    for (std::size_t sent = 0; sent < maximumDatagrams && next < records.size(); ++sent) {
        if (!this->maySpend(syncReserve, ownZone)) {
            ++this->counts.suppressed;
            return;
        }
        // A sequence marks an answer: whoever gets one has more to catch up on.
        Datagram answer = this->makeDatagram(DatagramKind::Gossip, 1);
        std::size_t used = headRoom;
        while (next < records.size()) {
            const std::size_t size = encodedSize(records[next]->member);
            if (used + size > maximumDatagramBytes)
                break;
            used += size;
            answer.members.push_back(records[next]->member);
            ++next;
        }
        this->transmit(address, answer, ownZone);
    }
}

} // namespace Sagecrank

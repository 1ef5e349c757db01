// Failure detection: probes, indirect probes, suspicion, and contact with members held for dead.
#include <LibMembership/Membership.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

constexpr std::uint32_t worstHealth = 8;
constexpr Duration relayLifetime = Milliseconds(5000);
constexpr std::size_t suspectsOfTroubledZone = 2;
constexpr std::uint32_t probesOfTroubledZone = 6;
constexpr int lastCallsOfSuspicion = 3;    // At a half, a quarter and an eighth of the time that is left.
constexpr std::size_t maximumRelays = 256; // What others may make this node remember.

} // namespace

// Load: thousands of members, of which some are slow for seconds. Harm: a short suspicion takes living
// upstreams out, a long one leaves dead ones in. It grows with the logarithm of the members, as the rounds
// of gossip that a refutation needs do, and with this node's own bad health.
Duration Membership::suspicionTime() const
{
    const double members = static_cast<double>(this->table.presentCount()) + 1;
    const double periods = this->settings.suspicionFactor * std::max(1.0, std::log10(members));
    const double unwell = 1.0 + static_cast<double>(this->health) / 2;
    return std::chrono::duration_cast<Duration>(this->settings.probeInterval * periods * unwell);
}

void Membership::probeNext(Instant now)
{
    ++this->probeRounds;
    const std::vector<std::uint64_t> &zonePeers = this->table.zonePeers();
    const std::vector<std::uint64_t> &otherPeers = this->table.otherZonePeers();
    if (!zonePeers.empty())
        this->startProbe(now, this->nextInRing(this->zoneRing, zonePeers));
    const double every = this->settings.crossZoneProbePeriods;
    const bool crossing = zonePeers.empty()
                          || (this->probeRounds % this->settings.crossZoneProbePeriods == 0
                              && this->isMyTurnAcross(every * this->settings.crossZoneProbersPerZone));
    const bool helped = this->troubledProbes > 0 && this->probeTroubledZone(now);
    if (crossing && !helped && !otherPeers.empty())
        this->startProbe(now, this->nextInRing(this->otherRing, otherPeers));
}

// Load: a zone of 260 is lost, and nobody inside is left to notice. Harm: the few probes that come from
// outside take half a minute to reach its last member, and callers go on choosing it. Two suspects of one
// zone are a sign of more, so for some seconds every node probes it once a second; for one suspect alone it
// does not.
void Membership::noteTroubledZone(const Member &suspect)
{
    if (suspect.zone == this->own.zone)
        return;
    std::size_t suspects = 0;
    for (const std::uint64_t idHash : this->table.suspects())
        suspects += this->table.find(idHash)->member.zone == suspect.zone ? 1 : 0;
    if (suspects < suspectsOfTroubledZone)
        return;
    this->troubledZone = suspect.zone;
    this->troubledProbes = probesOfTroubledZone;
}

// With nobody left to suspect in that zone, any other will do: a region that was cut off has several.
bool Membership::probeTroubledZone(Instant now)
{
    --this->troubledProbes;
    const std::vector<std::uint64_t> &peers = this->table.otherZonePeers();
    std::uniform_int_distribution<std::size_t> any(0, peers.empty() ? 0 : peers.size() - 1);
    const std::size_t first = any(this->random);
    const MemberRecord *target = nullptr;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const MemberRecord *record = this->table.find(peers[(first + i) % peers.size()]);
        if (record->member.state != MemberState::Alive)
            continue;
        target = target == nullptr ? record : target;
        if (record->member.zone != this->troubledZone)
            continue;
        target = record;
        break;
    }
    if (target == nullptr)
        return false;
    this->startProbe(now, target->idHash);
    return true;
}

// Every member comes up once in a pass, so the time to its next probe is bounded.
std::uint64_t Membership::nextInRing(std::vector<std::uint64_t> &ring,
                                     const std::vector<std::uint64_t> &members)
{
    while (!ring.empty()) {
        const std::uint64_t target = ring.back();
        ring.pop_back();
        const MemberRecord *record = this->table.find(target);
        if (record != nullptr && isPresent(record->member.state))
            return target;
    }
    ring = members;
    std::shuffle(ring.begin(), ring.end(), this->random);
    const std::uint64_t target = ring.back();
    ring.pop_back();
    return target;
}

void Membership::startProbe(Instant now, std::uint64_t target)
{
    const MemberRecord *record = this->table.find(target);
    if (record == nullptr)
        return;
    const std::uint32_t sequence = ++this->lastSequence;
    this->probes[sequence] = Probe{target, now, false};
    Datagram ping = this->makeDatagram(DatagramKind::Ping, sequence);
    ping.target = record->member.id;
    // A suspect learns of it from whoever probes it, and can refute.
    if (record->member.state != MemberState::Alive)
        ping.updates.push_back(MemberTable::makeUpdate(*record));
    this->sendWithChanges(record->member.gossipAddress, this->isOfOwnZone(record), std::move(ping));
}

void Membership::checkProbes(Instant now)
{
    const auto patience = [&](Duration time) { return time * (1 + this->health); };
    std::vector<std::uint64_t> overdue;
    for (auto entry = this->probes.begin(); entry != this->probes.end();) {
        Probe &probe = entry->second;
        const Duration waited = now - probe.started;
        if (!probe.askedOthers && waited >= patience(this->settings.probeTimeout)) {
            probe.askedOthers = true;
            this->askOthers(now, entry->first, probe);
        }
        if (waited >= patience(this->settings.probeInterval)) {
            const std::uint64_t target = probe.target;
            entry = this->probes.erase(entry);
            this->suspect(now, target);
            this->raiseHealth(1);
            overdue.push_back(target);
        } else {
            ++entry;
        }
    }
    // Whoever suspects a member goes on telling it so, since a refutation that is lost once may cost its
    // life.
    for (const std::uint64_t target : overdue) {
        const MemberRecord *record = this->table.find(target);
        if (record != nullptr && record->member.state == MemberState::Suspect)
            this->startProbe(now, target);
    }
    std::erase_if(this->relays,
                  [&](const auto &entry) { return now - entry.second.started > relayLifetime; });
}

void Membership::askOthers(Instant /*now*/, std::uint32_t sequence, const Probe &probe)
{
    const MemberRecord *target = this->table.find(probe.target);
    if (target == nullptr)
        return;
    for (std::uint32_t i = 0; i < this->settings.indirectProbes; ++i) {
        // The first helper shares this node's way out, the others do not.
        const MemberRecord *helper = this->table.find(this->pickPeer(i == 0));
        if (helper == nullptr || helper->idHash == probe.target)
            continue;
        Datagram request = this->makeDatagram(DatagramKind::PingRequest, sequence);
        request.target = target->member.id;
        request.targetAddress = target->member.gossipAddress;
        this->transmit(helper->member.gossipAddress, request);
    }
}

void Membership::suspect(Instant now, std::uint64_t target)
{
    const MemberRecord *record = this->table.find(target);
    if (record == nullptr || record->member.state != MemberState::Alive)
        return;
    ++this->counts.suspicions;
    MemberUpdate brief = MemberTable::makeUpdate(*record);
    brief.state = MemberState::Suspect;
    const MergeOutcome outcome = this->table.merge(brief, now);
    this->afterMerge(now, target, outcome);
    this->spread(target, outcome, false);
}

void Membership::checkSuspects(Instant now)
{
    for (const std::uint64_t idHash : this->table.suspects()) {
        const MemberRecord *record = this->table.find(idHash);
        if (record == nullptr)
            continue;
        if (now < record->suspectDeadline) {
            this->callSuspect(now, *record);
            continue;
        }
        ++this->counts.deaths;
        MemberUpdate brief = MemberTable::makeUpdate(*record);
        brief.state = MemberState::Dead;
        const MergeOutcome outcome = this->table.merge(brief, now);
        this->afterMerge(now, idHash, outcome);
        this->spread(idHash, outcome, false);
    }
    std::erase_if(this->lastCalls, [&](const auto &entry) {
        const MemberRecord *record = this->table.find(entry.first);
        return record == nullptr || record->member.state != MemberState::Suspect;
    });
}

// Load: one datagram in ten is lost, and a refutation misses one node in a thousand. Harm: that node holds a
// living member for dead and tells everybody so. By the middle of a suspicion a refutation has reached nearly
// all, so the few that still wait for it can ask the suspect itself, three times, without a storm on it.
// Among 40 members that lost one datagram in ten, ten minutes had a false death in 11 of 400 runs with three
// calls, in 16 to 22 with two.
void Membership::callSuspect(Instant now, const MemberRecord &record)
{
    LastCalls &calls = this->lastCalls[record.idHash];
    if (calls.deadline != record.suspectDeadline)
        calls = LastCalls{record.suspectDeadline, 0};
    const Duration left = record.suspectDeadline - now;
    const Duration due = this->suspicionTime() / (2 << calls.made);
    if (calls.made >= lastCallsOfSuspicion || left > due)
        return;
    ++calls.made;
    this->ping(record);
}

// Asks for a sign of life and says what is held of the member here, so that it can refute that.
void Membership::ping(const MemberRecord &record)
{
    Datagram ping = this->makeDatagram(DatagramKind::Ping, ++this->lastSequence);
    ping.target = record.member.id;
    ping.updates.push_back(MemberTable::makeUpdate(record));
    this->transmit(record.member.gossipAddress, ping);
}

// Load: two regions that lost each other for an hour hold each other for dead. Harm: without contact neither
// would ever learn otherwise. One ping every few seconds to one of them is enough, since the first that
// answers brings the rest back by the comparison of tables.
void Membership::reconnect(Instant /*now*/)
{
    const std::vector<std::uint64_t> &dead = this->table.deadMembers();
    if (dead.empty())
        return;
    std::uniform_int_distribution<std::size_t> any(0, dead.size() - 1);
    const MemberRecord *record = this->table.find(dead[any(this->random)]);
    if (record != nullptr)
        this->ping(*record);
}

void Membership::handlePing(Instant /*now*/, const std::string &from, const Datagram &datagram)
{
    // An address may have passed to another node; its answer would keep the old one alive.
    if (datagram.target != this->own.id)
        return;
    Datagram ack = this->makeDatagram(DatagramKind::Ack, datagram.sequence);
    const MemberRecord *sender = this->table.find(datagram.sender);
    if (sender != nullptr && sender->member.state != MemberState::Alive)
        ack.updates.push_back(MemberTable::makeUpdate(*sender));
    this->sendWithChanges(from, this->isOfOwnZone(sender), std::move(ack));
}

void Membership::handlePingRequest(Instant now, const Datagram &datagram, const std::string &from)
{
    if (this->relays.size() >= maximumRelays || !this->maySpend(0))
        return;
    const std::uint32_t sequence = ++this->lastSequence;
    this->relays[sequence] = Relay{from, datagram.sequence, now};
    Datagram ping = this->makeDatagram(DatagramKind::Ping, sequence);
    ping.target = datagram.target;
    this->transmit(datagram.targetAddress, ping);
}

void Membership::handleAck(Instant /*now*/, const Datagram &datagram)
{
    const auto relay = this->relays.find(datagram.sequence);
    if (relay != this->relays.end()) {
        this->transmit(relay->second.requester,
                       this->makeDatagram(DatagramKind::Ack, relay->second.sequence));
        this->relays.erase(relay);
        return;
    }
    if (this->probes.erase(datagram.sequence) != 0 && this->health > 0)
        --this->health;
}

// Load: a process that was frozen for seconds or minutes and goes on. Harm: its probes and suspicions have
// all lapsed while it slept, and it would declare the living dead. So nothing that lapsed counts, and it
// learns again before it judges.
void Membership::wake(Instant now)
{
    ++this->counts.pauses;
    this->probes.clear();
    this->relays.clear();
    this->raiseHealth(2);
    for (const std::uint64_t idHash : this->table.suspects())
        this->table.setSuspectDeadline(idHash, now + this->suspicionTime());
    this->nextSync = now;
    this->nextProbe = now;
}

void Membership::raiseHealth(std::uint32_t by)
{
    this->health = std::min(worstHealth, this->health + by);
}

} // namespace Sagecrank

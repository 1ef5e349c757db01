// Failure detection of Membership: probes, indirect probes, suspicion, and reconnection to dead members.
#include <LibMembership/Membership.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

constexpr std::uint32_t maximumHealthScore = 8;
constexpr Duration relayLifetime = Milliseconds(5000);
constexpr std::size_t suspectsOfFailingZone = 2;
constexpr std::uint32_t probesOfFailingZone = 6;
// When a half, a quarter and an eighth of the suspicion time is left.
constexpr int finalProbesPerSuspicion = 3;
constexpr std::size_t maximumRelays = 256; // Bounds the state that requests of other nodes create.

} // namespace

// With thousands of members, some are always slow for seconds. A short suspicion removes upstreams that are
// alive, and a long one keeps dead ones. It grows with the logarithm of the member count, as do the gossip
// rounds that a refutation needs, and with this node's own health score.
Duration Membership::suspicionTime() const
{
    const double members = static_cast<double>(this->table.presentCount()) + 1;
    const double periods = this->settings.suspicionFactor * std::max(1.0, std::log10(members));
    const double healthFactor = 1.0 + static_cast<double>(this->health) / 2;
    return std::chrono::duration_cast<Duration>(this->settings.probeInterval * periods * healthFactor);
}

void Membership::probeNext(Instant now)
{
    ++this->probeRounds;
    const std::vector<std::uint64_t> &zonePeers = this->table.zonePeers();
    const std::vector<std::uint64_t> &otherZonePeers = this->table.otherZonePeers();
    if (!zonePeers.empty())
        this->startProbe(now, this->nextInRing(this->zoneRing, zonePeers));
    const double every = this->settings.crossZoneProbePeriods;
    const bool crossZone = zonePeers.empty()
                           || (this->probeRounds % this->settings.crossZoneProbePeriods == 0
                               && this->drawCrossZoneTurn(every * this->settings.crossZoneProbersPerZone));
    const bool probedFailingZone = this->failingZoneProbes > 0 && this->probeFailingZone(now);
    if (crossZone && !probedFailingZone && !otherZonePeers.empty())
        this->startProbe(now, this->nextInRing(this->otherZoneRing, otherZonePeers));
}

// When a zone of 260 nodes fails, none of its members is left to detect it. The few probes from other zones
// need half a minute to cover all members, while callers keep choosing them. Two suspects in one zone suggest
// that more have failed, so every node then probes that zone once per second for some seconds. A single
// suspect does not trigger this.
void Membership::detectFailingZone(const Member &suspect)
{
    if (suspect.zone == this->own.zone)
        return;
    std::size_t suspects = 0;
    for (const std::uint64_t idHash : this->table.suspects())
        suspects += this->table.find(idHash)->member.zone == suspect.zone ? 1 : 0;
    if (suspects < suspectsOfFailingZone)
        return;
    this->failingZone = suspect.zone;
    this->failingZoneProbes = probesOfFailingZone;
}

// Without a live member left in that zone, probes any other zone: a region that was cut off has several
// zones.
bool Membership::probeFailingZone(Instant now)
{
    --this->failingZoneProbes;
    const std::vector<std::uint64_t> &peers = this->table.otherZonePeers();
    std::uniform_int_distribution<std::size_t> any(0, peers.empty() ? 0 : peers.size() - 1);
    const std::size_t first = any(this->random);
    const MemberRecord *target = nullptr;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        const MemberRecord *record = this->table.find(peers[(first + i) % peers.size()]);
        if (record->member.state != MemberState::Alive)
            continue;
        target = target == nullptr ? record : target;
        if (record->member.zone != this->failingZone)
            continue;
        target = record;
        break;
    }
    if (target == nullptr)
        return false;
    this->startProbe(now, target->idHash);
    return true;
}

// Each pass covers every member once, which bounds the time until a member is probed again.
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
    // Tells a suspect that it is one, so that it can refute.
    if (record->member.state != MemberState::Alive)
        ping.updates.push_back(MemberTable::makeUpdate(*record));
    this->sendWithChanges(record->member.gossipAddress, this->isInOwnZone(record), std::move(ping));
}

void Membership::checkProbes(Instant now)
{
    const auto scaledByHealth = [&](Duration time) { return time * (1 + this->health); };
    std::vector<std::uint64_t> overdue;
    for (auto entry = this->probes.begin(); entry != this->probes.end();) {
        Probe &probe = entry->second;
        const Duration waited = now - probe.started;
        if (!probe.indirectSent && waited >= scaledByHealth(this->settings.probeTimeout)) {
            probe.indirectSent = true;
            this->sendIndirectProbes(now, entry->first, probe);
        }
        if (waited >= scaledByHealth(this->settings.probeInterval)) {
            const std::uint64_t target = probe.target;
            entry = this->probes.erase(entry);
            this->suspect(now, target);
            this->raiseHealthScore(1);
            overdue.push_back(target);
        } else {
            ++entry;
        }
    }
    // Keeps probing a suspect: if its only refutation were lost, it would be declared dead.
    for (const std::uint64_t target : overdue) {
        const MemberRecord *record = this->table.find(target);
        if (record != nullptr && record->member.state == MemberState::Suspect)
            this->startProbe(now, target);
    }
    std::erase_if(this->relays,
                  [&](const auto &entry) { return now - entry.second.started > relayLifetime; });
}

void Membership::sendIndirectProbes(Instant /*now*/, std::uint32_t sequence, const Probe &probe)
{
    const MemberRecord *target = this->table.find(probe.target);
    if (target == nullptr)
        return;
    for (std::uint32_t i = 0; i < this->settings.indirectProbes; ++i) {
        // The first relay is in this node's zone and shares its uplink; the others do not.
        const MemberRecord *relay = this->table.find(this->pickPeer(i == 0));
        if (relay == nullptr || relay->idHash == probe.target)
            continue;
        Datagram request = this->makeDatagram(DatagramKind::PingRequest, sequence);
        request.target = target->member.id;
        request.targetAddress = target->member.gossipAddress;
        this->transmit(relay->member.gossipAddress, request);
    }
}

void Membership::suspect(Instant now, std::uint64_t target)
{
    const MemberRecord *record = this->table.find(target);
    if (record == nullptr || record->member.state != MemberState::Alive)
        return;
    ++this->counts.suspicions;
    MemberUpdate update = MemberTable::makeUpdate(*record);
    update.state = MemberState::Suspect;
    const MergeOutcome outcome = this->table.merge(update, now);
    this->afterMerge(now, target, outcome);
    this->queueChange(target, outcome, false);
}

void Membership::checkSuspects(Instant now)
{
    for (const std::uint64_t idHash : this->table.suspects()) {
        const MemberRecord *record = this->table.find(idHash);
        if (record == nullptr)
            continue;
        if (now < record->suspectDeadline) {
            this->sendFinalProbe(now, *record);
            continue;
        }
        ++this->counts.deaths;
        MemberUpdate update = MemberTable::makeUpdate(*record);
        update.state = MemberState::Dead;
        const MergeOutcome outcome = this->table.merge(update, now);
        this->afterMerge(now, idHash, outcome);
        this->queueChange(idHash, outcome, false);
    }
    std::erase_if(this->finalProbes, [&](const auto &entry) {
        const MemberRecord *record = this->table.find(entry.first);
        return record == nullptr || record->member.state != MemberState::Suspect;
    });
}

// With a datagram loss of one in ten, a refutation misses about one node in a thousand, and that node would
// declare the member dead and gossip it. Halfway through the suspicion nearly all nodes have the refutation,
// so the few others can probe the suspect directly without flooding it. With 40 members and that loss, ten
// minutes had a false death in 11 of 400 runs with three final probes, and in 16 to 22 with two.
void Membership::sendFinalProbe(Instant now, const MemberRecord &record)
{
    FinalProbes &attempts = this->finalProbes[record.idHash];
    if (attempts.deadline != record.suspectDeadline)
        attempts = FinalProbes{record.suspectDeadline, 0};
    const Duration remaining = record.suspectDeadline - now;
    const Duration threshold = this->suspicionTime() / (2 << attempts.sent);
    if (attempts.sent >= finalProbesPerSuspicion || remaining > threshold)
        return;
    ++attempts.sent;
    this->ping(record);
}

// Carries the local record of the member, so that it can refute it.
void Membership::ping(const MemberRecord &record)
{
    Datagram ping = this->makeDatagram(DatagramKind::Ping, ++this->lastSequence);
    ping.target = record.member.id;
    ping.updates.push_back(MemberTable::makeUpdate(record));
    this->transmit(record.member.gossipAddress, ping);
}

// After a long partition, two regions consider each other dead, and without contact neither would recover.
// One ping to a dead member every few seconds is enough: the first answer leads to a sync that brings back
// the rest.
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
    // The address may have been reused by this node; answering would keep the previous owner alive.
    if (datagram.target != this->own.id)
        return;
    Datagram ack = this->makeDatagram(DatagramKind::Ack, datagram.sequence);
    const MemberRecord *sender = this->table.find(datagram.sender);
    if (sender != nullptr && sender->member.state != MemberState::Alive)
        ack.updates.push_back(MemberTable::makeUpdate(*sender));
    this->sendWithChanges(from, this->isInOwnZone(sender), std::move(ack));
}

void Membership::handlePingRequest(Instant now, const Datagram &datagram, const std::string &from)
{
    if (this->relays.size() >= maximumRelays || !this->hasBudget(0))
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

// After the process was frozen for seconds or minutes, all its probes and suspicions have timed out, and it
// would declare live members dead. Discards them, restarts suspicions and syncs first.
void Membership::resumeAfterPause(Instant now)
{
    ++this->counts.pauses;
    this->probes.clear();
    this->relays.clear();
    this->raiseHealthScore(2);
    for (const std::uint64_t idHash : this->table.suspects())
        this->table.setSuspectDeadline(idHash, now + this->suspicionTime());
    this->nextSync = now;
    this->nextProbe = now;
}

void Membership::raiseHealthScore(std::uint32_t by)
{
    this->health = std::min(maximumHealthScore, this->health + by);
}

} // namespace Sagecrank

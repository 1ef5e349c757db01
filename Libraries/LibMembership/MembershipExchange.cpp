// Table exchanges of Membership: the datagrams of the sync protocol, answered without the limits of UDP.
#include <LibMembership/Membership.h>

#include <LibMembership/DatagramLimits.h>

#include <algorithm>

namespace Sagecrank {

std::string Membership::openTableExchange()
{
    return encodeDatagram(this->makeSyncDigest());
}

void Membership::tableExchangeEnded(Instant now, bool succeeded, std::size_t records)
{
    const bool caughtUp = this->exchangePlan.isCatchingUp();
    this->exchangePlan.ended(now, succeeded, records);
    // What changed meanwhile arrives by datagrams.
    if (caughtUp && !this->exchangePlan.isCatchingUp())
        this->catchUp(now);
}

void Membership::exchangeTables(Instant now)
{
    if (!this->hooks.exchangeTables || this->leaving || this->exchangePlan.isOpen())
        return;
    const TableExchangeView view{this->hooks.zoneRank ? this->hooks.zoneRank() : 0,
                                 this->table.zonePeers().size(), this->table.otherZones()};
    const std::optional<TableExchangeStep> step = this->exchangePlan.next(now, view);
    if (!step)
        return;
    const MemberRecord *partner = this->table.find(this->pickExchangePartner(*step));
    if (partner != nullptr && isPresent(partner->member.state))
        this->hooks.exchangeTables(partner->member);
    else
        this->exchangePlan.ended(now, false, 0);
}

std::uint64_t Membership::pickExchangePartner(const TableExchangeStep &step)
{
    if (step.partner != 0)
        return step.partner;
    if (step.zone.empty())
        return this->pickPeer(true);
    std::vector<std::uint64_t> candidates;
    for (const std::uint64_t idHash : this->table.otherZonePeers()) {
        if (this->table.find(idHash)->member.zone == step.zone)
            candidates.push_back(idHash);
    }
    return candidates.empty() ? 0 : candidates[this->random() % candidates.size()];
}

bool Membership::isExchangingTables() const
{
    return this->hooks.exchangeTables && this->exchangePlan.isCatchingUp()
           && !this->table.zonePeers().empty();
}

bool Membership::knowsZone() const
{
    return !this->table.zonePeers().empty() && !this->exchangePlan.isCatchingUp();
}

bool Membership::isLargeDifference(std::size_t records) const
{
    return this->hooks.exchangeTables && records > largeTableDifference;
}

Result<TableAnswer> Membership::receiveStreamed(Instant now, std::string_view bytes)
{
    const Datagram datagram = TRY(decodeDatagram(bytes, ""));
    TableAnswer answer;
    this->heardFromPeer = true;
    this->noteHead(datagram.head);
    this->noteStoreEra(datagram.storeEra);
    const MemberRecord *sender = this->table.find(datagram.sender);
    if (sender != nullptr && sender->member.incarnation == datagram.senderIncarnation)
        this->noteHeldVersion(*sender, datagram.heldVersion);
    switch (datagram.kind) {
    case DatagramKind::SyncDigest:
        this->answerStreamedDigest(datagram, answer);
        break;
    case DatagramKind::SyncEntries:
        this->answerStreamedEntries(now, datagram, answer);
        break;
    case DatagramKind::SyncRequest:
        this->addRecords(answer, this->recordsOf(datagram.wanted));
        break;
    case DatagramKind::Gossip:
        this->mergeRecords(now, datagram.members, true);
        answer.recordsReceived = datagram.members.size();
        break;
    default:
        return makeError(ErrorKind::InvalidInput, "exchange tables", datagram.sender,
                         std::string("unexpected ").append(datagramKindNames.name(datagram.kind)));
    }
    return answer;
}

// Where the asking node has nothing, the records are sent at once; elsewhere both sides compare entries.
void Membership::answerStreamedDigest(const Datagram &digest, TableAnswer &answer)
{
    if (digest.bucketHashes.size() != bucketCount)
        return;
    std::vector<const MemberRecord *> missing;
    Datagram entries = this->makeDatagram(DatagramKind::SyncEntries, digest.sequence);
    std::size_t used = reservedHeaderBytes;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        if (this->table.bucketHashes()[i] == digest.bucketHashes[i])
            continue;
        const auto index = static_cast<std::uint8_t>(i);
        const std::vector<const MemberRecord *> bucket = this->table.bucket(index);
        if (digest.bucketHashes[i] == 0) {
            std::copy_if(bucket.begin(), bucket.end(), std::back_inserter(missing),
                         [](const MemberRecord *record) { return isPresent(record->member.state); });
            continue;
        }
        const std::size_t size = bucket.size() * encodedEntrySize + 1;
        if (used + size > maximumDatagramBytes
            || entries.entries.size() + bucket.size() > maximumListLength) {
            answer.datagrams.push_back(encodeDatagram(entries));
            entries = this->makeDatagram(DatagramKind::SyncEntries, digest.sequence);
            used = reservedHeaderBytes;
        }
        used += size;
        entries.buckets.push_back(index);
        for (const MemberRecord *record : bucket)
            entries.entries.push_back({record->idHash, record->member.incarnation, record->member.state});
        answer.entriesSent += bucket.size();
    }
    if (!entries.buckets.empty())
        answer.datagrams.push_back(encodeDatagram(entries));
    this->addRecords(answer, missing);
}

void Membership::answerStreamedEntries(Instant now, const Datagram &entries, TableAnswer &answer)
{
    const TableDifference difference = this->compareEntries(now, entries);
    this->addRecords(answer, difference.offered);
    for (std::size_t begin = 0; begin < difference.wanted.size(); begin += maximumWanted) {
        const std::size_t end = std::min(begin + maximumWanted, difference.wanted.size());
        Datagram request = this->makeDatagram(DatagramKind::SyncRequest);
        request.wanted.assign(difference.wanted.begin() + static_cast<std::ptrdiff_t>(begin),
                              difference.wanted.begin() + static_cast<std::ptrdiff_t>(end));
        answer.datagrams.push_back(encodeDatagram(request));
    }
}

std::vector<const MemberRecord *> Membership::recordsOf(const std::vector<std::uint64_t> &idHashes) const
{
    std::vector<const MemberRecord *> records;
    for (const std::uint64_t idHash : idHashes) {
        if (const MemberRecord *record = this->table.find(idHash))
            records.push_back(record);
    }
    return records;
}

void Membership::addRecords(TableAnswer &answer, const std::vector<const MemberRecord *> &records) const
{
    std::size_t next = 0;
    while (next < records.size()) {
        const std::size_t before = next;
        const Datagram datagram = this->fillRecords(records, next);
        if (next == before)
            return; // A record that fits no datagram is invalid.
        answer.recordsSent += datagram.members.size();
        answer.datagrams.push_back(encodeDatagram(datagram));
    }
}

} // namespace Sagecrank

// Encoding of gossip datagrams: a round trip preserves them, and damaged ones are rejected.
#include <LibMembership/Datagram.h>
#include <LibMembership/Membership.h>

#include <Support/TableTest.h>

#include <random>

using namespace Sagecrank;

namespace {

Member exampleMember()
{
    Member member;
    member.id = "b1";
    member.incarnation = 77;
    member.region = "sjaelland";
    member.zone = "sj-1";
    member.site = "sj-1";
    member.gossipAddress = "127.0.0.1:8201";
    member.peerAddress = "127.0.0.1:8101";
    member.controlAddress = "10.1.2.3:8301";
    member.linkMbps = 100;
    member.cluster = "booking";
    member.upstream = UpstreamState::Ready;
    member.slots = 6;
    return member;
}

Datagram exampleDatagram()
{
    Datagram datagram;
    datagram.kind = DatagramKind::Gossip;
    datagram.sequence = 5;
    datagram.sender = "b2";
    datagram.senderIncarnation = 3;
    datagram.heldVersion = 8;
    datagram.head = {9, 10, 11};
    datagram.storeEra = 12;
    datagram.target = "b3";
    datagram.targetAddress = "127.0.0.1:8203";
    datagram.bucketHashes = {1, 2, 3};
    datagram.buckets = {4, 5};
    datagram.entries = {{6, 7, MemberState::Dead}};
    datagram.wanted = {8, 9};
    datagram.updates = {{1, 2, 3, MemberState::Suspect, UpstreamState::Draining, 6}};
    datagram.members = {exampleMember(), exampleMember()};
    datagram.headProof = {9, 51230};
    return datagram;
}

struct TruncationRow
{
    std::size_t keptBytes;
};

const TruncationRow truncationRows[] = {{0}, {1}, {2}, {20}, {60}, {100}, {200}};

} // namespace

Test(datagram, roundTripPreservesAllFields)
{
    const Datagram sent = exampleDatagram();
    const Result<Datagram> decoded = decodeDatagram(encodeDatagram(sent), "peer");
    cr_assert(decoded.has_value());
    const Datagram &received = decoded.value();
    cr_assert(received.kind == sent.kind && received.sequence == sent.sequence);
    cr_assert(received.sender == sent.sender && received.head == sent.head
              && received.storeEra == sent.storeEra && received.headProof == sent.headProof);
    cr_assert(received.target == sent.target && received.targetAddress == sent.targetAddress);
    cr_assert(received.bucketHashes == sent.bucketHashes && received.buckets == sent.buckets);
    cr_assert(received.entries == sent.entries && received.wanted == sent.wanted);
    cr_assert(received.updates == sent.updates && received.members == sent.members);
}

Test(datagram, encodedSizesAreExact)
{
    Datagram datagram;
    datagram.sender = "b2";
    const std::size_t empty = encodeDatagram(datagram).size();
    datagram.members = {exampleMember()};
    cr_assert(encodeDatagram(datagram).size() == empty + encodedSize(exampleMember()));
    datagram.members.clear();
    datagram.updates.resize(1);
    cr_assert(encodeDatagram(datagram).size() == empty + encodedUpdateSize);
    datagram.updates.clear();
    datagram.entries.resize(1);
    cr_assert(encodeDatagram(datagram).size() == empty + encodedEntrySize);
}

TABLE_TEST(datagram, rejectsTruncatedDatagrams, truncationRows)
{
    const std::string encoded = encodeDatagram(exampleDatagram());
    const Result<Datagram> decoded =
        decodeDatagram(std::string_view(encoded).substr(0, row.keptBytes), "peer");
    cr_assert(!decoded.has_value());
    cr_assert(decoded.error().peer == "peer");
}

Test(datagram, rejectsOversizedDatagrams)
{
    cr_assert(!decodeDatagram(std::string(maximumDatagramBytes + 1, '\1'), "peer").has_value());
}

// Guards against damaged and hostile datagrams that crash a node or make it throw: each must be decoded
// within its bounds or rejected. With sanitizers enabled this also detects reads past the end.
Test(datagram, survivesMutatedDatagrams)
{
    std::mt19937_64 random(97);
    MembershipHooks hooks;
    hooks.send = [](const std::string &, const std::string &bytes) {
        cr_assert(bytes.size() <= maximumDatagramBytes);
    };
    Member self = exampleMember();
    self.id = "self";
    Membership membership({}, self, hooks, 1);
    const std::string encoded = encodeDatagram(exampleDatagram());
    Instant now(std::chrono::hours(1));
    std::size_t rejected = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = encoded;
        for (std::uint64_t flips = 1 + random() % 8; flips > 0; --flips)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            bytes.resize(random() % bytes.size());
        rejected += decodeDatagram(bytes, "peer").has_value() ? 0 : 1;
        membership.receive(now, "10.0.0.9:1", bytes);
        now += Milliseconds(1);
        if (i % 100 == 0)
            membership.tick(now);
    }
    cr_assert(membership.counters().malformed == rejected);
    cr_assert(rejected > 5000);
}

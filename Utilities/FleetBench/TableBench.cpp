// Figures of the state machines alone.
#include "Commands.h"
#include "Meter.h"
#include "SampleSite.h"
#include "StandInMesh.h"

#include <LibConfig/Assemble.h>
#include <LibConfig/Delta.h>
#include <LibConfig/Snapshot.h>
#include <LibSpread/Rendezvous.h>

#include <cstdio>

namespace Sagecrank {

namespace {

constexpr double kibibyte = 1024;

void print(const char *name, double value, const char *unit)
{
    std::printf("%-46s %12.3f %s\n", name, value, unit);
}

// Average over `times` runs of the work, in microseconds of processor time.
double microsecondsOf(int times, const std::function<void()> &work)
{
    const double begin = processorSeconds();
    for (int i = 0; i < times; ++i)
        work();
    return (processorSeconds() - begin) * 1e6 / times;
}

Datagram pingFrom(std::size_t member, std::uint32_t sequence, const std::string &target)
{
    Datagram ping;
    ping.kind = DatagramKind::Ping;
    ping.sequence = sequence;
    ping.sender = "node-" + std::to_string(member);
    ping.senderIncarnation = 1;
    ping.target = target;
    return ping;
}

// A quiet mesh: the machine probes, is probed once and a quarter times a second, and is compared with once in
// ten seconds by a peer whose table is equal.
void runQuiet(StandInMesh &mesh, Membership &machine, int secondsToRun)
{
    std::uint32_t sequence = 0;
    for (int second = 0; second < secondsToRun; ++second) {
        mesh.deliver(0, pingFrom(25 + static_cast<std::size_t>(second % 200), ++sequence, machine.self().id));
        if (second % 4 == 0)
            mesh.deliver(0, pingFrom(26, ++sequence, machine.self().id));
        if (second % 10 == 0) {
            Datagram digest;
            digest.kind = DatagramKind::SyncDigest;
            digest.sequence = 1;
            digest.sender = "node-50";
            digest.senderIncarnation = 1;
            const BucketHashes &hashes = machine.members().bucketHashes();
            digest.bucketHashes.assign(hashes.begin(), hashes.end());
            mesh.deliver(0, digest);
        }
        mesh.run(std::chrono::seconds(1));
    }
}

// A zone is lost: 260 members become suspect, then dead, told in datagrams of 40 changes.
void tellZoneLoss(StandInMesh &mesh, const MeshShape &shape, MemberState state)
{
    Datagram datagram;
    datagram.kind = DatagramKind::Gossip;
    datagram.sender = "node-51";
    datagram.senderIncarnation = 1;
    for (std::size_t i = 2; i < shape.members; i += shape.zones) {
        const Member member = makeMember(shape, i, 1);
        datagram.updates.push_back(
            {hashId(member.id), 1, hashStaticFields(member), state, member.upstream, 6});
        if (datagram.updates.size() < 40)
            continue;
        mesh.deliver(0, datagram);
        datagram.updates.clear();
        mesh.run(Milliseconds(100));
    }
}

void measureTable(const MeshShape &shape)
{
    const std::size_t before = residentBytes();
    StandInMesh mesh(shape);
    Membership &machine = mesh.add({}, 1);
    mesh.fill(machine);
    mesh.run(std::chrono::seconds(60));
    print("table: members present", static_cast<double>(machine.members().presentCount()), "");
    print("table: resident memory", static_cast<double>(residentBytes() - before) / kibibyte, "KiB");

    const MembershipCounters counted = machine.counters();
    const double begin = processorSeconds();
    constexpr int quietSeconds = 600;
    runQuiet(mesh, machine, quietSeconds);
    const double spent = (processorSeconds() - begin) / quietSeconds;
    print("gossip: processor time a second, quiet", spent * 1e6, "us");
    print("gossip: share of a core, quiet", spent * 100, "%");
    print("gossip: sent a second, quiet",
          static_cast<double>(machine.counters().sentBytes() - counted.sentBytes()) / quietSeconds, "bytes");
    print("gossip: received a second, quiet",
          static_cast<double>(machine.counters().receivedBytes() - counted.receivedBytes()) / quietSeconds,
          "bytes");

    const std::uint64_t sentBefore = machine.counters().sentBytes();
    const Instant from = mesh.now;
    const double lossBegin = processorSeconds();
    tellZoneLoss(mesh, shape, MemberState::Suspect);
    tellZoneLoss(mesh, shape, MemberState::Dead);
    mesh.run(std::chrono::seconds(30));
    const double lossTime = std::chrono::duration<double>(mesh.now - from).count();
    print("zone loss: members present after", static_cast<double>(machine.members().presentCount()), "");
    print("zone loss: processor time", (processorSeconds() - lossBegin) * 1e3, "ms");
    print("zone loss: sent", static_cast<double>(machine.counters().sentBytes() - sentBefore) / kibibyte,
          "KiB");
    print("zone loss: over", lossTime, "s");

    print("view: copy of all members", microsecondsOf(50, [&] { machine.members().members(); }), "us");
    print("view: rank among the zone's peers",
          microsecondsOf(200,
                         [&] {
                             std::vector<std::string_view> others;
                             for (const std::uint64_t idHash : machine.members().zonePeers())
                                 others.push_back(machine.members().find(idHash)->member.id);
                             rendezvousRank("head#zone-0", machine.self().id, others);
                         }),
          "us");
}

// A node that knows nobody joins a full-size mesh: how long until it knows its zone and everybody.
void measureJoin(const MeshShape &shape)
{
    StandInMesh mesh(shape);
    constexpr std::size_t fullPeers = 60;
    MembershipSettings settings;
    for (std::size_t i = 0; i < fullPeers; ++i)
        mesh.fill(mesh.add(settings, i + 1));
    settings.seeds = {addressOfMember(1), addressOfMember(2), addressOfMember(3)};
    MeshShape joining = shape;
    Membership &joiner = mesh.add(settings, 99);
    const std::size_t zoneMembers = joining.members / joining.zones;
    const Instant begin = mesh.now;
    double zoneSeconds = 0;
    double halfSeconds = 0;
    while (mesh.now - begin < std::chrono::minutes(20)) {
        mesh.advance(Milliseconds(100));
        const double seconds = std::chrono::duration<double>(mesh.now - begin).count();
        if (zoneSeconds == 0 && joiner.members().zonePeers().size() + 1 >= zoneMembers * 9 / 10)
            zoneSeconds = seconds;
        if (halfSeconds == 0 && joiner.members().presentCount() * 2 >= shape.members)
            halfSeconds = seconds;
        if (joiner.members().presentCount() >= shape.members)
            break;
    }
    const double seconds = std::chrono::duration<double>(mesh.now - begin).count();
    print("join: nine tenths of its zone known after", zoneSeconds, "s");
    print("join: half of all members known after", halfSeconds, "s");
    print("join: all members known after", seconds, "s");
    print("join: members known", static_cast<double>(joiner.members().presentCount()), "");
    print("join: received", static_cast<double>(joiner.counters().receivedBytes()) / kibibyte, "KiB");
    print("join: received a second", static_cast<double>(joiner.counters().receivedBytes()) / seconds,
          "bytes");
}

void measureConfiguration(std::size_t services, std::size_t routes)
{
    std::printf("configuration of %zu services with %zu routes each\n", services, routes);
    const SiteConfiguration first = makeSite("zone-0", 1, services, routes, 1);
    const SiteConfiguration second = makeSite("zone-0", 2, services, routes, 1);
    SiteConfiguration nothing;
    nothing.manifest.site = first.manifest.site;
    const auto whole = encodeDelta(makeDelta(nothing, second));
    const auto delta = encodeDelta(makeDelta(first, second));
    print("config: whole", static_cast<double>(whole.size()), "bytes");
    print("config: delta of one service", static_cast<double>(delta.size()), "bytes");
    print("config: make a delta", microsecondsOf(20, [&] { encodeDelta(makeDelta(first, second)); }), "us");
    const Result<SiteDelta> decoded = decodeDelta(delta);
    if (decoded)
        print("config: apply a delta", microsecondsOf(20, [&] { (void)applyDelta(first, decoded.value()); }),
              "us");
    print("config: build the snapshot",
          microsecondsOf(20,
                         [&] { const Snapshot snapshot(std::make_shared<const SiteConfiguration>(second)); }),
          "us");
    const std::size_t before = residentBytes();
    std::vector<std::unique_ptr<Snapshot>> held;
    constexpr std::size_t copies = 8;
    for (std::size_t i = 0; i < copies; ++i) {
        auto copy = std::make_shared<const SiteConfiguration>(makeSite("zone-0", i + 1, services, routes, 1));
        held.push_back(std::make_unique<Snapshot>(std::move(copy)));
    }
    print("config: resident memory of one version held",
          static_cast<double>(residentBytes() - before) / kibibyte / copies, "KiB");
}

} // namespace

int runTableBench(const BenchSettings &settings)
{
    const MeshShape shape{settings.members, settings.zones, 7, settings.services};
    measureTable(shape);
    measureConfiguration(settings.services, settings.routes);
    measureJoin(shape);
    return 0;
}

} // namespace Sagecrank

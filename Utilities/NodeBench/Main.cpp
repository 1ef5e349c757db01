// sagecrank-node-bench: what the steps of a node cost at a given size of the mesh, without sockets. The
// figures feed docs/CAPACITY.md.
#include <LibAccount/AllowancePlacement.h>
#include <LibCommandLine/CommandLine.h>
#include <LibConfig/Assemble.h>
#include <LibWire/Frame.h>
#include <LibWire/PeerMessages.h>
#include <Node/Accounts/CallerAccounts.h>
#include <Node/Callers/UpstreamView.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace Sagecrank;
namespace options = boost::program_options;

struct MeshSize
{
    std::size_t members = 6500;
    std::size_t services = 820;
    std::size_t zones = 25;
    std::size_t accounts = 10000;
};

std::vector<Member> makeMembers(const MeshSize &size)
{
    std::vector<Member> members;
    members.reserve(size.members);
    for (std::size_t index = 0; index < size.members; ++index) {
        Member member;
        member.id = "host-" + std::to_string(100000 + index);
        member.region = "region-" + std::to_string(index % 7);
        member.zone = "zone-" + std::to_string(index % size.zones);
        member.gossipAddress =
            "10.10." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":7946";
        member.peerAddress = member.gossipAddress;
        member.controlAddress = member.gossipAddress;
        member.cluster = "service-" + std::to_string(index % size.services);
        member.upstream = UpstreamState::Ready;
        member.slots = 8;
        members.push_back(std::move(member));
    }
    return members;
}

// Resident memory of this process in kilobytes.
std::size_t residentKilobytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        if (word != "VmRSS:")
            continue;
        std::size_t kilobytes = 0;
        status >> kilobytes;
        return kilobytes;
    }
    return 0;
}

// The middle of several rounds, so that one disturbed round does not count.
double medianNanoseconds(std::size_t rounds, std::size_t steps, const std::function<void()> &step)
{
    std::vector<double> times;
    for (std::size_t round = 0; round < rounds; ++round) {
        const Instant began = SteadyClock::now();
        for (std::size_t index = 0; index < steps; ++index)
            step();
        const Duration took = SteadyClock::now() - began;
        times.push_back(std::chrono::duration<double, std::nano>(took).count() / static_cast<double>(steps));
    }
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2),
                     times.end());
    return times[times.size() / 2];
}

void report(const std::string &what, double value, const char *unit)
{
    std::printf("%-48s %12.2f %s\n", what.c_str(), value, unit);
}

std::shared_ptr<ServiceState> makeState()
{
    auto random = [generator = std::mt19937_64(7)]() mutable { return generator(); };
    return std::make_shared<ServiceState>(LoadBalancerSettings{}, 0.1, 10, random);
}

void measureView(const MeshSize &size)
{
    const std::vector<Member> members = makeMembers(size);
    UpstreamViewBuilder builder("host-100000", "zone-0", makeState);
    const std::size_t before = residentKilobytes();
    std::unique_ptr<const UpstreamView> view = builder.build(members);
    report("view of the members, memory", static_cast<double>(residentKilobytes() - before), "KB");
    const double build = medianNanoseconds(9, 3, [&] { view = builder.build(members); });
    report("view of the members, building it anew", build / 1e6, "ms");
}

void measurePlacing(std::size_t candidates)
{
    MeshSize size;
    size.members = candidates;
    size.services = 1;
    size.zones = 3;
    UpstreamViewBuilder builder("host-100000", "zone-0", makeState);
    const auto view = builder.build(makeMembers(size));
    const ServiceView *service = view->find("service-0");
    LoadBalancer &loadBalancer = service->state->loadBalancer;
    const Instant now = SteadyClock::now();
    const auto call = [&] {
        const auto index = loadBalancer.pick(now, service->serving.upstreams, CallClass::Interactive, {});
        loadBalancer.recordStart(service->serving.upstreams[*index].id, now);
        loadBalancer.recordEnd(service->serving.upstreams[*index].id, now, CallClass::Interactive,
                               Milliseconds(1), AttemptOutcome::Succeeded);
    };
    report("placing one call among " + std::to_string(candidates), medianNanoseconds(9, 20000, call), "ns");
}

void measureMessages()
{
    CallRequest request;
    request.cluster = "service-1";
    request.attemptId = "host-100000-1796247817431419520-3";
    request.traceParent = "00-e98339ea041c3840761f4e19425ea1ac-b037295131751d17-01";
    request.method = "POST";
    request.target = "/reserve/hall/7";
    request.headers = {{"Content-Type", "application/json"}, {"Accept", "*/*"}};
    request.body = std::string(512, 'x');
    Bytes frame;
    report("encoding a call of 512 bytes",
           medianNanoseconds(9, 20000, [&] { frame = encodeFrame(FrameType::CallRequest, request); }), "ns");
    const std::span<const char> payload = std::span<const char>(frame).subspan(frameHeaderSize);
    bool good = true;
    const auto decodeOnce = [&] { good = good && decode<CallRequest>(payload, "bench", "").has_value(); };
    report("decoding it", medianNanoseconds(9, 20000, decodeOnce), "ns");
    report("its frame", static_cast<double>(frame.size()), "bytes");
    if (!good)
        std::cerr << "a frame did not decode\n";
}

// Identifying a caller by its key, and which node grants an account's allowance.
void measureAccounts(const MeshSize &size)
{
    const std::size_t before = residentKilobytes();
    std::vector<Account> accounts;
    for (std::size_t index = 0; index < size.accounts; ++index) {
        const std::string name = "account-" + std::to_string(index);
        accounts.push_back({name, {digestOfKey("key-" + name), digestOfKey("next-" + name)}, 1, 10, 10});
    }
    SiteConfiguration site = makeSiteConfiguration(1, "site", {});
    setAccounts(site, std::move(accounts));
    ConfigurationHolder configuration("site", {});
    if (!configuration.offer(std::move(site))) {
        std::cerr << "the accounts do not check\n";
        return;
    }
    report("accounts of a version with its snapshot, memory",
           static_cast<double>(residentKilobytes() - before), "KB");
    EventLog log("bench", {});
    const FreshnessGuard freshness(Milliseconds(0), bootTimeNow, log);
    const CallerAccounts callers({}, configuration, freshness, [] { return false; });
    const std::vector<Header> headers = {{"Host", "a.example"}, {"Authorization", "Bearer key-account-77"}};
    std::size_t accepted = 0;
    report("identifying a caller by its key",
           medianNanoseconds(9, 20000, [&] { accepted += callers.identify(headers, false).account ? 1 : 0; }),
           "ns");
    AllowancePlacement placement("host-100000", SteadyClock::now());
    std::vector<PlacementMember> members;
    for (const Member &member : makeMembers(size))
        members.push_back({member.id, member.gossipAddress});
    placement.setMembers(SteadyClock::now(), members);
    AccountHash account = 0;
    report("finding the granting node, not cached",
           medianNanoseconds(9, 100, [&] { placement.granter(++account, GranterRole::Primary); }) / 1000,
           "us");
    if (accepted == 0)
        std::cerr << "no caller was identified\n";
}

} // namespace

int main(int argumentCount, char **arguments)
{
    MeshSize size;
    CommandLine line;
    line.usage = "Usage: sagecrank-node-bench [options]\n\nPrints what the steps of a node cost.\n";
    auto add = line.options.add_options();
    add("members", options::value(&size.members)->default_value(size.members), "nodes of the mesh");
    add("services", options::value(&size.services)->default_value(size.services), "services");
    add("accounts", options::value(&size.accounts)->default_value(size.accounts), "client accounts");
    add("zones", options::value(&size.zones)->default_value(size.zones), "availability zones");
    options::variables_map values;
    if (const auto exitCode = readCommandLine(line, argumentCount, arguments, values))
        return *exitCode;
    measureView(size);
    for (const std::size_t candidates : {std::size_t{8}, std::size_t{64}, std::size_t{512}})
        measurePlacing(candidates);
    measureMessages();
    const RcuThread reader;
    measureAccounts(size);
    return exitSuccess;
}

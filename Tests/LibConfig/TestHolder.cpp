// The held version only rises, is swapped whole, and routes by the longest prefix.
#include <LibConfig/ConfigurationHolder.h>

#include <LibConfig/Samples.h>
#include <Support/TableTest.h>

#include <thread>

using namespace Sagecrank;

namespace {

struct MatchRow
{
    const char *method;
    const char *path;
    const char *route; // Empty when nothing serves it.
};

const MatchRow matchRows[] = {
    {"GET", "/booking", "slots"},
    {"GET", "/booking/", "slots"},
    {"GET", "/booking/7/hall?day=2", "slots"},
    {"GET", "/booking?day=2", "slots"},
    {"POST", "/booking/reserve", "reserve"},
    {"POST", "/booking/reserve/7", "reserve"},
    {"GET", "/booking/reserve", "slots"},
    {"PUT", "/booking/7", "buy"},
    {"PUT", "/booking/", "buy"},
    {"PUT", "/booking", "slots"},
    {"PUT", "/booking?hall=/", "slots"},
    {"GET", "/bookings", "fallback"},
    {"GET", "/", "fallback"},
    {"DELETE", "/anything/else", ""},
    {"GET", "", "fallback"},
};

SiteConfiguration castle(std::uint64_t version)
{
    Section booking{
        "booking", 64, {sampleRoute("slots", "/booking"), sampleRoute("reserve", "/booking/reserve")}};
    booking.routes[1].methods = {"POST"};
    booking.routes.push_back(sampleRoute("buy", "/booking/"));
    booking.routes[2].methods = {"PUT"};
    Section other{"other", 64, {sampleRoute("fallback", "/")}};
    other.routes[0].methods = {"GET"};
    return sampleSite(version, {booking, other});
}

} // namespace

TABLE_TEST(snapshot, matchesTheLongestPrefix, matchRows)
{
    const Snapshot snapshot(std::make_shared<const SiteConfiguration>(castle(1)));
    const RouteEntry *entry = snapshot.match(row.method, row.path);
    const std::string name = entry == nullptr ? "" : entry->route->name;
    cr_assert(name == row.route, "%s %s gave '%s'", row.method, row.path, name.c_str());
    cr_assert(entry == nullptr || entry->section == snapshot.section(entry->section->cluster));
}

// An operator publishes 5 and then 6; a peer that was cut off offers 5 after the node took in 6. Were it
// taken in, a route that 6 removed would come back and callers would be sent to a service that is gone.
Test(holder, neverGoesBack)
{
    const RcuThread thread;
    std::vector<std::uint64_t> swaps;
    HolderHooks hooks;
    hooks.swapped = [&](const Snapshot &next, std::uint64_t previous) {
        swaps.push_back(previous);
        swaps.push_back(next.version());
    };
    ConfigurationHolder holder("sj-1", hooks);
    cr_assert(holder.version() == 0);
    cr_assert(!holder.read());
    for (const std::uint64_t version : {5, 6, 6, 5, 1, 8}) {
        const bool newer = version > holder.version();
        const Result<void> offered = holder.offer(castle(version));
        cr_assert(offered.has_value() == newer);
        cr_assert(newer || offered.error().kind == ErrorKind::Refused);
    }
    cr_assert(holder.version() == 8);
    cr_assert(holder.read()->version() == 8);
    cr_assert(swaps == std::vector<std::uint64_t>({0, 5, 5, 6, 6, 8}));
}

Test(holder, keepsTheHeldVersionWhenABadOneIsOffered)
{
    const RcuThread thread;
    ConfigurationHolder holder("sj-1", {});
    cr_assert(holder.offer(castle(1)).has_value());
    SiteConfiguration partly = castle(2);
    partly.sections.pop_back();
    cr_assert(holder.offer(partly).error().kind == ErrorKind::InvalidInput);
    SiteConfiguration altered = castle(2);
    altered.sections[0].maximumQueue = 1;
    cr_assert(holder.offer(altered).error().kind == ErrorKind::InvalidInput);
    cr_assert(holder.version() == 1);
    cr_assert(holder.read()->match("GET", "/booking") != nullptr);
}

// Requests run while versions are swapped. Each must see one version in full: its number and its routes.
Test(holder, readersSeeWholeVersions)
{
    const RcuThread thread;
    ConfigurationHolder holder("sj-1", {});
    const auto versionWithMark = [](std::uint64_t version) {
        return sampleSite(version, {sampleSection("booking", static_cast<std::uint32_t>(version)),
                                    sampleSection("entry", static_cast<std::uint32_t>(version))});
    };
    cr_assert(holder.offer(versionWithMark(1)).has_value());
    std::atomic<bool> running = true;
    std::atomic<int> torn = 0;
    std::thread reader([&] {
        const RcuThread registration;
        std::uint64_t last = 0;
        while (running) {
            const auto view = holder.read();
            const std::uint64_t version = view->version();
            const bool whole = view->match("GET", "/booking")->section->maximumQueue == version
                               && view->match("GET", "/entry")->section->maximumQueue == version;
            torn += whole && version >= last ? 0 : 1;
            last = version;
        }
    });
    for (std::uint64_t version = 2; version < 300; ++version)
        cr_assert(holder.offer(versionWithMark(version)).has_value());
    running = false;
    reader.join();
    cr_assert(torn == 0);
}

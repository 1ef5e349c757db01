// A delta leads from one held version to exactly the next, or is refused whole.
#include <LibConfig/Delta.h>

#include <LibConfig/Samples.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

const std::uint32_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

constexpr int stepsPerSeed = 60;

constexpr std::uint32_t manyRoutesCount = 3000;

Section manyRoutes()
{
    Section booking;
    booking.cluster = "booking";
    for (std::uint32_t number = 0; number < manyRoutesCount; ++number) {
        Route route;
        route.name = "route-" + std::to_string(number);
        route.prefix = "/a-path-of-some-length/" + std::to_string(number);
        booking.routes.push_back(route);
    }
    return booking;
}

void changeRoutesAtRandom(Section &section, std::mt19937 &random, std::uint32_t step)
{
    std::vector<Route> &routes = section.routes;
    const std::string name = section.cluster + "-step-" + std::to_string(step);
    routes.insert(routes.begin() + static_cast<std::ptrdiff_t>(random() % (routes.size() + 1)),
                  sampleRoute(name, "/" + name));
    if (random() % 2 == 0)
        routes.erase(routes.begin() + static_cast<std::ptrdiff_t>(random() % routes.size()));
    if (!routes.empty())
        routes[random() % routes.size()].timeout = Milliseconds(1 + step);
    if (routes.size() > 1)
        std::swap(routes[random() % routes.size()], routes[random() % routes.size()]);
}

struct SmallChangeRow
{
    const char *what;
    std::function<void(Section &)> change;
};

const SmallChangeRow smallChanges[] = {
    {"a timeout", [](Section &section) { section.routes[1500].timeout = Milliseconds(7); }},
    {"the first route", [](Section &section) { section.routes[0].maximumRetries = 0; }},
    {"a route more",
     [](Section &section) {
         section.routes.push_back({"last", {}, "/last/"});
     }},
    {"one in the middle",
     [](Section &section) {
         section.routes.insert(section.routes.begin() + 9, {"new", {}, "/new/"});
     }},
    {"a route less", [](Section &section) { section.routes.erase(section.routes.begin() + 9); }},
    {"two change places", [](Section &section) { std::swap(section.routes[4], section.routes[5]); }},
    {"the queue", [](Section &section) { section.maximumQueue = 9; }},
};

struct BadRunRow
{
    const char *what;
    std::uint32_t first;
    std::uint32_t count;
    std::size_t times;
    ErrorKind expected;
};

const BadRunRow badRuns[] = {
    {"begins behind the last", manyRoutesCount + 1, 0, 1, ErrorKind::InvalidInput},
    {"ends behind the last", manyRoutesCount - 1, 2, 1, ErrorKind::InvalidInput},
    {"wraps around", 1, std::numeric_limits<std::uint32_t>::max(), 1, ErrorKind::InvalidInput},
    {"the same ones again and again", 0, manyRoutesCount, 60000, ErrorKind::TooLarge},
    {"the same ones twice", 0, manyRoutesCount, 2, ErrorKind::InvalidInput},
};

} // namespace

// Nodes that were offline build the newest version from an old base; a node that never was builds it from
// all sections. Both must hold the same bytes, or two nodes of a zone would route differently for good.
TABLE_TEST(delta, equalsFullAssembly, seeds)
{
    std::mt19937 random(row);
    std::vector<Section> sections = {sampleSection("booking"), sampleSection("entry")};
    SiteConfiguration held = sampleSite(1, sections);
    for (int step = 2; step < stepsPerSeed; ++step) {
        sections = changeAtRandom(sections, random);
        const SiteConfiguration published = sampleSite(step, sections);
        const ObjectBytes travelling = encodeDelta(makeDelta(held, published));
        const SiteDelta delta = decodeDelta(travelling).value();
        const Result<SiteConfiguration> applied = applyDelta(held, delta);
        cr_assert(applied.has_value(), "seed %u step %d", row, step);
        const auto full = assemble(published.manifest, sectionBytes(published));
        cr_assert(applied.value().manifest == full.value().manifest, "seed %u step %d", row, step);
        cr_assert(applied.value().sections == full.value().sections, "seed %u step %d", row, step);
        if (random() % 3 != 0)
            held = published; // Otherwise the node missed this version, and the next delta spans two.
    }
}

// The same for routes: they come, go, change and change places, in several services at once, and a delta may
// span versions.
TABLE_TEST(delta, routesEqualFullAssembly, seeds)
{
    std::mt19937 random(row);
    Section entry = manyRoutes();
    entry.cluster = "entry";
    entry.routes.resize(40);
    for (Route &route : entry.routes)
        route.name += "-entry";
    std::vector<Section> sections = {sampleSection("booking"), entry};
    SiteConfiguration held = makeSiteConfiguration(1, "s", sections);
    for (std::uint32_t step = 2; step < stepsPerSeed; ++step) {
        changeRoutesAtRandom(sections[random() % 2], random, step);
        const SiteConfiguration published = makeSiteConfiguration(step, "s", sections);
        const SiteDelta delta = decodeDelta(encodeDelta(makeDelta(held, published))).value();
        const Result<SiteConfiguration> applied = applyDelta(held, delta);
        cr_assert(applied.has_value() && applied.value().sections == published.sections, "seed %u step %u",
                  row, step);
        if (random() % 3 != 0)
            held = published;
    }
}

// Updates cross in flight, and peers hold different bases. A delta against another base would give a mixture
// of two versions that nobody published.
Test(delta, refusesWhatIsNotItsBase)
{
    const SiteConfiguration first = sampleSite(1, {sampleSection("booking")});
    const SiteConfiguration second = sampleSite(2, {sampleSection("booking", 9), sampleSection("entry")});
    const SiteConfiguration third = sampleSite(3, {sampleSection("entry")});
    const SiteDelta delta = makeDelta(second, third);
    cr_assert(applyDelta(first, delta).error().kind == ErrorKind::Conflict);
    cr_assert(applyDelta(third, delta).error().kind == ErrorKind::Refused);
    SiteConfiguration elsewhere = second;
    elsewhere.manifest.site = "sj-2";
    cr_assert(applyDelta(elsewhere, delta).error().kind == ErrorKind::Conflict);
}

Test(delta, refusesADamagedResult)
{
    const SiteConfiguration first = sampleSite(1, {sampleSection("booking")});
    const SiteConfiguration second = sampleSite(2, {sampleSection("booking", 9), sampleSection("entry")});
    SiteDelta delta = makeDelta(first, second);
    delta.added.pop_back();
    cr_assert(applyDelta(first, delta).error().kind == ErrorKind::InvalidInput);
    ObjectBytes bytes = encodeDelta(makeDelta(first, second));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        cr_assert(!decodeDelta(std::span(bytes).first(size)), "%zu bytes", size);
}

Test(delta, carriesOnlyWhatChanged)
{
    const SiteConfiguration first = sampleSite(1, {sampleSection("booking"), sampleSection("entry")});
    const SiteConfiguration second = sampleSite(2, {sampleSection("booking"), sampleSection("entry", 9)});
    const SiteDelta delta = makeDelta(first, second);
    cr_assert(delta.patched.size() == 1);
    cr_assert(delta.added.empty());
    cr_assert(delta.removed.empty());
}

// Callers of a host with a narrow link wait while versions travel: each change of one route sent its whole
// service, 125 KB, to every node. Only the route that changed may travel.
TABLE_TEST(delta, aChangeOfOneRouteIsSmall, smallChanges)
{
    const Section before = manyRoutes();
    Section after = before;
    row.change(after);
    const SiteConfiguration held = makeSiteConfiguration(1, "s", {before});
    const SiteConfiguration published = makeSiteConfiguration(2, "s", {after});
    const ObjectBytes bytes = encodeDelta(makeDelta(held, published));
    cr_assert(bytes.size() < 600, "%s: %zu bytes", row.what, bytes.size());
    const auto applied = applyDelta(held, decodeDelta(bytes).value());
    cr_assert(applied.has_value() && applied.value().sections == published.sections, "%s", row.what);
}

// A peer that is wrong, or worse, names routes that the base has not, or the same ones again and again until
// memory is full. Nothing is taken of it.
TABLE_TEST(delta, refusesRunsOutsideOfTheBase, badRuns)
{
    const SiteConfiguration held = makeSiteConfiguration(1, "s", {manyRoutes()});
    Section changed = manyRoutes();
    changed.routes.pop_back();
    SiteDelta delta = makeDelta(held, makeSiteConfiguration(2, "s", {changed}));
    delta.patched[0].runs.assign(row.times, {row.first, row.count, {}});
    cr_assert(applyDelta(held, delta).error().kind == row.expected, "%s", row.what);
}

Test(delta, refusesAPatchOfAnUnknownSection)
{
    const SiteConfiguration held = makeSiteConfiguration(1, "s", {manyRoutes()});
    Section changed = manyRoutes();
    changed.routes.pop_back();
    SiteDelta delta = makeDelta(held, makeSiteConfiguration(2, "s", {changed}));
    delta.patched[0].cluster = "entry";
    cr_assert(applyDelta(held, delta).error().kind == ErrorKind::InvalidInput);
}

// The configuration grows by many routes of one service. A node that holds it is asked by a peer for the
// change; its answer must carry the large section whole, since the peer would otherwise never get the
// version.
Test(delta, carriesALargeSection)
{
    const SiteConfiguration before = makeSiteConfiguration(1, "s", {});
    const SiteConfiguration after = makeSiteConfiguration(2, "s", {manyRoutes()});
    const ObjectBytes bytes = encodeDelta(makeDelta(before, after));
    cr_assert(bytes.size() > 65535);
    const auto decoded = decodeDelta(bytes);
    cr_assert(decoded.has_value());
    const auto applied = applyDelta(before, decoded.value());
    cr_assert(applied.has_value() && applied.value().sections == after.sections);
}

// A delta leads from one held version to exactly the next, or is refused whole.
#include <LibConfig/Delta.h>

#include <LibConfig/Samples.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

const std::uint32_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

constexpr int stepsPerSeed = 60;

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
    delta.changed.pop_back();
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
    cr_assert(delta.changed.size() == 1);
    cr_assert(delta.removed.empty());
}

// The configuration grows by many routes of one service. A node that holds it is asked by a peer for the
// change; its answer must carry the large section whole, since the peer would otherwise never get the
// version.
Test(delta, carriesALargeSection)
{
    Section booking;
    booking.cluster = "booking";
    for (int number = 0; number < 3000; ++number) {
        Route route;
        route.name = "route-" + std::to_string(number);
        route.prefix = "/a-path-of-some-length/" + std::to_string(number);
        booking.routes.push_back(route);
    }
    const SiteConfiguration before = makeSiteConfiguration(1, "s", {});
    const SiteConfiguration after = makeSiteConfiguration(2, "s", {booking});
    const ObjectBytes bytes = encodeDelta(makeDelta(before, after));
    cr_assert(bytes.size() > 65535);
    const auto decoded = decodeDelta(bytes);
    cr_assert(decoded.has_value());
    const auto applied = applyDelta(before, decoded.value());
    cr_assert(applied.has_value() && applied.value().sections == after.sections);
}

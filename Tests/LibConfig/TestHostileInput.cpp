// Deltas damaged at random, as from a peer with broken memory: refused, or exactly the version that they
// name.
#include <LibConfig/Delta.h>

#include <LibConfig/Samples.h>
#include <Support/InputMutator.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

const std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

} // namespace

TABLE_TEST(hostileInput, deltas, seeds)
{
    const SiteConfiguration held = sampleSite(1, {sampleSection("booking"), sampleSection("entry")});
    Section changed = sampleSection("booking", 9);
    changed.routes.push_back(sampleRoute("more", "/more"));
    const SiteConfiguration next = sampleSite(2, {changed, sampleSection("lookup")});
    const ObjectBytes good = encodeDelta(makeDelta(held, next));
    const std::string text(reinterpret_cast<const char *>(good.data()), good.size());
    InputMutator mutator(row);
    for (std::size_t round = 0; round < InputMutator::scaledRounds(3000); ++round) {
        const std::string bad = mutator.mutate(text);
        const auto delta = decodeDelta(std::as_bytes(std::span<const char>(bad)));
        if (!delta)
            continue;
        const auto applied = applyDelta(held, delta.value());
        if (applied)
            cr_assert(siteDigest(applied.value().manifest) == delta.value().result);
    }
}

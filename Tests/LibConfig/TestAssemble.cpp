// A version is taken in whole, with every digest proved, or not at all.
#include <LibConfig/Assemble.h>
#include <LibConfig/Check.h>
#include <LibConfig/Delta.h>
#include <LibConfig/Encoding.h>

#include <LibConfig/Samples.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

using Damage = void (*)(SiteManifest &, SectionBytes &);

struct DamageRow
{
    const char *name;
    Damage damage;
    ErrorKind kind;
    const char *peer;
};

const DamageRow damageRows[] = {
    {"a section is missing",
     [](SiteManifest &manifest, SectionBytes &bytes) { bytes.erase(manifest.sections[1].digest); },
     ErrorKind::NotFound, "entry"},
    {"one bit is wrong",
     [](SiteManifest &manifest, SectionBytes &bytes) {
         bytes[manifest.sections[1].digest].back() ^= std::byte{1};
     },
     ErrorKind::InvalidInput, "entry"},
    {"a section is cut short",
     [](SiteManifest &manifest, SectionBytes &bytes) { bytes[manifest.sections[0].digest].pop_back(); },
     ErrorKind::InvalidInput, "booking"},
    {"the manifest swaps two sections",
     [](SiteManifest &manifest, SectionBytes &) {
         std::swap(manifest.sections[0].digest, manifest.sections[1].digest);
     },
     ErrorKind::InvalidInput, "booking"},
    {"the manifest names one cluster twice",
     [](SiteManifest &manifest, SectionBytes &) { manifest.sections[1] = manifest.sections[0]; },
     ErrorKind::InvalidInput, "booking"},
};

struct RouteRow
{
    const char *name;
    void (*change)(Route &);
};

const RouteRow badRoutes[] = {
    {"empty name", [](Route &route) { route.name.clear(); }},
    {"prefix without a slash", [](Route &route) { route.prefix = "book"; }},
    {"timeout of zero", [](Route &route) { route.timeout = Milliseconds(0); }},
    {"timeout too long", [](Route &route) { route.timeout = Milliseconds(600001); }},
    {"too many retries", [](Route &route) { route.maximumRetries = 11; }},
    {"retried though not idempotent", [](Route &route) { route.idempotent = false; }},
    {"hedged though not idempotent",
     [](Route &route) {
         route.idempotent = false;
         route.maximumRetries = 0;
         route.hedged = true;
     }},
    {"class contradicts", [](Route &route) { route.callClass = CallClass::NonIdempotent; }},
    {"class out of range", [](Route &route) { route.callClass = static_cast<CallClass>(9); }},
};

SiteConfiguration twoServices()
{
    return sampleSite(7, {sampleSection("entry"), sampleSection("booking")});
}

} // namespace

Test(assemble, givesBackWhatWasCut)
{
    const SiteConfiguration site = twoServices();
    const Result<SiteConfiguration> again = assemble(site.manifest, sectionBytes(site));
    cr_assert(again.has_value());
    cr_assert(again.value().manifest == site.manifest);
    cr_assert(again.value().sections == site.sections);
}

// A node pulls sections from several peers; one of them is missing, damaged or belongs elsewhere. Were the
// rest taken in, a route would point at a cluster that the node lacks, and callers would get 503s for good.
TABLE_TEST(assemble, refusesDamageWhole, damageRows)
{
    const SiteConfiguration site = twoServices();
    SiteManifest manifest = site.manifest;
    SectionBytes bytes = sectionBytes(site);
    row.damage(manifest, bytes);
    const Result<SiteConfiguration> result = assemble(manifest, bytes);
    cr_assert(!result, "%s", row.name);
    cr_assert(result.error().kind == row.kind, "%s: %s", row.name, result.error().describe().c_str());
    cr_assert(result.error().peer == row.peer, "%s: %s", row.name, result.error().describe().c_str());
}

TABLE_TEST(assemble, refusesBadRoutes, badRoutes)
{
    Section section = sampleSection("booking");
    row.change(section.routes[0]);
    const SiteConfiguration site = sampleSite(1, {section});
    cr_assert(!checkSite(site), "%s", row.name);
    cr_assert(!assemble(site.manifest, sectionBytes(site)), "%s", row.name);
}

Test(assemble, refusesTwoRoutesForTheSameCalls)
{
    Section first = sampleSection("booking");
    Section second = sampleSection("entry");
    second.routes[0].prefix = "/booking/";
    cr_assert(!checkSite(sampleSite(1, {first, second})));
    second.routes[0].methods = {"POST"};
    cr_assert(checkSite(sampleSite(1, {first, second})).has_value());
    first.routes[0].methods = {"GET", "POST"};
    cr_assert(!checkSite(sampleSite(1, {first, second})));
}

// Damaged bytes of a delta or manifest reach the decoder at every length; none may crash or allocate freely.
Test(encoding, refusesEveryTruncation)
{
    const VersionManifest manifest{3, "publish-1", {{"sj-1", Digest{1, 2}}, {"sj-2", Digest{3, 4}}}};
    const ObjectBytes whole = encodeVersionManifest(manifest);
    cr_assert(decodeVersionManifest(whole, digestOf(whole)).value() == manifest);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const std::span<const std::byte> cut(whole.data(), size);
        cr_assert(!decodeVersionManifest(cut, digestOf(cut)), "%zu bytes", size);
    }
    ObjectBytes longer = whole;
    longer.push_back(std::byte{0});
    cr_assert(!decodeVersionManifest(longer, digestOf(longer)));
}

Test(encoding, provesTheDigestBeforeReading)
{
    const ObjectBytes bytes = encodeSection(sampleSection("booking"));
    cr_assert(decodeSection(bytes, digestOf(bytes)).has_value());
    cr_assert(decodeSection(bytes, Digest{1, 2}).error().kind == ErrorKind::InvalidInput);
}

Test(encoding, digestsTravelAsText)
{
    const Digest digest{0x0123456789abcdefULL, 0xfULL};
    cr_assert(toHex(digest) == "0123456789abcdef000000000000000f");
    cr_assert(digestFromHex(toHex(digest)).value() == digest);
    cr_assert(!digestFromHex("0123"));
    cr_assert(!digestFromHex("0123456789abcdef00000000000000zz"));
}

// An operator changes nothing but what callers may send. If the site kept its digest, no node would take the
// change over.
Test(assemble, limitsOfCallersArePartOfTheSite)
{
    SiteConfiguration before = sampleSite(1, {sampleSection("booking")});
    SiteConfiguration after = before;
    after.manifest.version = 2;
    after.manifest.limits.bodyBytes = 3'000'000;
    cr_assert(siteDigest(before.manifest) != siteDigest(after.manifest));
    for (const SiteManifest &site : {before.manifest, after.manifest}) {
        const Result<SiteManifest> read = decodeSite(encodeSite(site), siteDigest(site));
        cr_assert(read && read.value().limits == site.limits && read.value().sections == site.sections);
    }
    const Result<SiteConfiguration> applied = applyDelta(before, makeDelta(before, after));
    cr_assert(applied && applied.value().manifest == after.manifest);
}

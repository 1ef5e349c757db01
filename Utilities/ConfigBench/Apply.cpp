// Bytes of what is stored and spread, and the time to take in a version.
#include "Bench.h"

#include <LibConfig/ConfigurationHolder.h>
#include <LibConfig/Delta.h>

#include <iostream>

namespace Sagecrank {

namespace {

SiteConfiguration firstSite(const BenchSettings &settings, std::uint64_t version, std::uint32_t change)
{
    RenderedSite site = makeSites(settings, change).front();
    return makeSiteConfiguration(version, site.site, std::move(site.sections));
}

template <typename Work>
void report(const char *what, std::size_t rounds, Work work)
{
    std::vector<double> samples;
    for (std::size_t i = 0; i < rounds; ++i) {
        const Instant start = SteadyClock::now();
        work(i);
        samples.push_back(std::chrono::duration<double, std::micro>(SteadyClock::now() - start).count());
    }
    const double median = quantile(samples, 0.5);
    std::cout << what << ": median " << median << " us, p99 " << quantile(samples, 0.99) << " us\n";
}

} // namespace

std::vector<RenderedSite> makeSites(const BenchSettings &settings, std::uint32_t change)
{
    std::vector<RenderedSite> sites;
    for (std::size_t site = 0; site < settings.sites; ++site) {
        RenderedSite rendered{"region-zone-" + std::to_string(site), {}};
        for (std::size_t service = 0; service < settings.services; ++service) {
            Section section{"service-" + std::to_string(service), 64, {}};
            for (std::size_t i = 0; i < settings.routes; ++i) {
                Route route;
                route.name = section.cluster + "-route-" + std::to_string(i);
                route.prefix = "/" + section.cluster + "/resource-" + std::to_string(i);
                route.methods = {"GET"};
                route.timeout = Milliseconds(1000 + (service == 0 && i == 0 ? change : 0));
                section.routes.push_back(std::move(route));
            }
            rendered.sections.push_back(std::move(section));
        }
        rendered.sections.back().maximumQueue = static_cast<std::uint32_t>(64 + site);
        sites.push_back(std::move(rendered));
    }
    return sites;
}

void measureSizes(const BenchSettings &settings)
{
    const SiteConfiguration before = firstSite(settings, 1, 0);
    const SiteConfiguration after = firstSite(settings, 2, 1);
    std::size_t whole = 0;
    for (const Section &section : before.sections)
        whole += encodeSection(section).size();
    VersionManifest manifest{1, std::string(32, 'a'), {}};
    for (const RenderedSite &site : makeSites(settings, 0))
        manifest.sites.push_back({site.site, Digest{1, 2}});
    const std::size_t listBytes = encodeSite(before.manifest).size();
    std::cout << "services " << settings.services << ", routes of each " << settings.routes << ", sites "
              << settings.sites << "\n"
              << "section: " << encodeSection(before.sections[0]).size() << " bytes\n"
              << "section list of a site: " << listBytes << " bytes\n"
              << "version manifest: " << encodeVersionManifest(manifest).size() << " bytes\n"
              << "whole site (list and sections): " << listBytes + whole << " bytes\n"
              << "delta, one route changed: " << encodeDelta(makeDelta(before, after)).size() << " bytes\n";
}

void measureApply(const BenchSettings &settings)
{
    const RcuThread thread;
    const SiteConfiguration first = firstSite(settings, 1, 0);
    const SectionBytes bytes = sectionBytes(first);
    report("assemble, every digest checked", settings.rounds,
           [&](std::size_t) { return assemble(first.manifest, bytes).has_value(); });
    report("make delta, one route changed", settings.rounds,
           [&, next = firstSite(settings, 2, 1)](std::size_t) { return makeDelta(first, next).version; });
    const SiteDelta delta = makeDelta(first, firstSite(settings, 2, 1));
    report("apply delta, result checked", settings.rounds,
           [&](std::size_t) { return applyDelta(first, delta).has_value(); });

    ConfigurationHolder holder("region-zone-0", {});
    std::vector<SiteConfiguration> versions;
    for (std::size_t i = 0; i < settings.rounds; ++i)
        versions.push_back(firstSite(settings, i + 1, static_cast<std::uint32_t>(i)));
    report("offer: check, build snapshot, swap", settings.rounds,
           [&](std::size_t i) { return holder.offer(std::move(versions[i])).has_value(); });

    constexpr std::size_t lookups = 100000;
    const std::string path = "/service-" + std::to_string(settings.services / 2) + "/resource-1/7/items";
    std::size_t found = 0;
    report("100,000 route lookups, path of 4 segments", 10, [&](std::size_t) {
        for (std::size_t i = 0; i < lookups; ++i)
            found += holder.read()->match("GET", path) != nullptr ? 1 : 0;
    });
    std::cout << found << " found\n";
}

} // namespace Sagecrank

// Reads a version from the table and the object store: the head, its manifest, the site's section list, and
// the sections and accounts that the node does not have yet.
#include <LibSource/VersionSource.h>

#include <LibConfig/Assemble.h>

namespace Sagecrank {

namespace {

// Hides the store's latency, while a single node uses only a small part of the store's capacity.
constexpr std::size_t maximumConcurrentSectionReads = 8;

class TableVersionSource : public std::enable_shared_from_this<TableVersionSource>
{
public:
    TableVersionSource(TablePort table, ObjectPort objects, std::string site)
        : heads(std::move(table))
        , versions(std::move(objects))
        , site(std::move(site))
    {
    }

    void readHead(HeadCallback callback)
    {
        ++this->counts.headReads;
        this->heads.read(std::move(callback));
    }

    void readSite(std::shared_ptr<const SiteConfiguration> held, SiteCallback callback)
    {
        auto pull = std::make_shared<Pull>();
        pull->held = std::move(held);
        pull->callback = std::move(callback);
        this->readHead([self = this->shared_from_this(), pull](Result<Head> head) {
            if (!head)
                return fail(*pull, head.assume_error());
            self->fetchManifest(pull, head.assume_value());
        });
    }

    const VersionSourceCounters &counters() const { return this->counts; }

private:
    struct Pull
    {
        std::shared_ptr<const SiteConfiguration> held;
        SiteCallback callback; // Empty after it has been invoked; later responses are dropped.
        SiteManifest manifest;
        SectionBytes bytes;
        std::vector<Digest> missing; // Still to be read.
        std::size_t inFlightReads = 0;
    };

    static void fail(Pull &pull, const Error &error)
    {
        const SiteCallback callback = std::move(pull.callback);
        pull.callback = nullptr;
        if (callback)
            callback(error);
    }

    void fetchManifest(const std::shared_ptr<Pull> &pull, const Head &head)
    {
        ++this->counts.objectReads;
        this->versions.manifest(head,
                                [self = this->shared_from_this(), pull](Result<VersionManifest> manifest) {
                                    if (!manifest)
                                        return fail(*pull, manifest.assume_error());
                                    ++self->counts.objectReads;
                                    self->versions.site(manifest.assume_value(), self->site,
                                                        [self, pull](Result<SiteManifest> found) {
                                                            if (!found)
                                                                return fail(*pull, found.assume_error());
                                                            pull->manifest = std::move(found).assume_value();
                                                            self->findMissingSections(pull);
                                                        });
                                });
    }

    // Sections are content-addressed, so those already held are not read again.
    void findMissingSections(const std::shared_ptr<Pull> &pull)
    {
        if (pull->held)
            pull->bytes = sectionBytes(*pull->held);
        for (const SectionReference &reference : pull->manifest.sections) {
            if (!pull->bytes.contains(reference.digest))
                pull->missing.push_back(reference.digest);
        }
        const Digest &accounts = pull->manifest.accounts;
        if (accounts == Digest{} || pull->bytes.contains(accounts))
            return this->fetchSections(pull);
        ++this->counts.objectReads;
        this->versions.accounts(accounts, [self = this->shared_from_this(), pull, accounts](auto bytes) {
            if (!bytes)
                return fail(*pull, bytes.assume_error());
            self->counts.readBytes += bytes.assume_value().size();
            pull->bytes[accounts] = std::move(bytes).assume_value();
            self->fetchSections(pull);
        });
    }

    void fetchSections(const std::shared_ptr<Pull> &pull)
    {
        if (!pull->callback)
            return;
        if (pull->missing.empty() && pull->inFlightReads == 0)
            return finish(*pull);
        while (!pull->missing.empty() && pull->inFlightReads < maximumConcurrentSectionReads) {
            const Digest digest = pull->missing.back();
            pull->missing.pop_back();
            ++pull->inFlightReads;
            ++this->counts.objectReads;
            this->versions.section(digest, [self = this->shared_from_this(), pull, digest](auto bytes) {
                --pull->inFlightReads;
                if (!bytes)
                    return fail(*pull, bytes.assume_error());
                self->counts.readBytes += bytes.assume_value().size();
                pull->bytes[digest] = std::move(bytes).assume_value();
                self->fetchSections(pull);
            });
        }
    }

    static void finish(Pull &pull)
    {
        const SiteCallback callback = std::move(pull.callback);
        pull.callback = nullptr;
        callback(assemble(std::move(pull.manifest), pull.bytes));
    }

    HeadReader heads;
    VersionReader versions;
    std::string site;
    VersionSourceCounters counts;
};

} // namespace

VersionSource makeTableVersionSource(TablePort table, ObjectPort objects, std::string site)
{
    const auto source =
        std::make_shared<TableVersionSource>(std::move(table), std::move(objects), std::move(site));
    VersionSource hooks;
    hooks.readHead = [source](const HeadQuery &, HeadCallback callback) {
        source->readHead(std::move(callback));
    };
    hooks.readSite = [source](std::shared_ptr<const SiteConfiguration> held, SiteCallback callback) {
        source->readSite(std::move(held), std::move(callback));
    };
    hooks.counters = [source] { return source->counters(); };
    return hooks;
}

} // namespace Sagecrank

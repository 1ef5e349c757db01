// Implements publish and rollback; see Publisher.h.
#include <LibConfig/Assemble.h>
#include <LibConfig/Check.h>
#include <LibSource/ObjectWriter.h>
#include <LibSource/Publisher.h>

#include <algorithm>
#include <memory>
#include <set>

namespace Sagecrank {

namespace {

class PublishOperation : public std::enable_shared_from_this<PublishOperation>
{
public:
    PublishOperation(TablePort table, ObjectPort objects, Scheduler scheduler, RetryPolicy policy,
                     PublishRequest request, PublishCallback callback)
        : tablePort(std::move(table))
        , objectPort(std::move(objects))
        , schedulerHook(std::move(scheduler))
        , retryPolicy(policy)
        , publishRequest(std::move(request))
        , done(std::move(callback))
    {
    }

    void publish(std::vector<RenderedSite> rendered)
    {
        for (RenderedSite &site : rendered) {
            this->sites.push_back(makeSiteConfiguration(0, std::move(site.site), std::move(site.sections)));
            this->sites.back().manifest.limits = site.limits;
            if (!site.accounts.empty())
                setAccounts(this->sites.back(), std::move(site.accounts));
            const Result<void> checked = checkSite(this->sites.back());
            if (!checked)
                return this->fail(checked.assume_error());
        }
        std::sort(this->sites.begin(), this->sites.end(),
                  [](const SiteConfiguration &first, const SiteConfiguration &second) {
                      return first.manifest.site < second.manifest.site;
                  });
        this->readHead([self = this->shared_from_this()] { self->readPrevious(); });
    }

    void rollback(std::uint64_t to)
    {
        this->rolledBackTo = to;
        this->readHead([self = this->shared_from_this()] { self->readTargetEntry(); });
    }

private:
    void fail(const Error &error)
    {
        this->done({PublishOutcome::Failed, 0, this->publishRequest.publishId, {}, error});
    }

    // Runs `read` with retries and passes its value to `proceed`. An error ends the publish, since nothing
    // has taken effect yet.
    template <typename T>
    void readThen(std::function<void(std::function<void(Result<T>)>)> read,
                  std::function<void(const T &)> proceed)
    {
        withRetries<T>(
            this->retryPolicy, this->schedulerHook, read,
            [self = this->shared_from_this(), proceed = std::move(proceed)](const Result<T> &result) {
                if (!result)
                    return self->fail(result.assume_error());
                proceed(result.assume_value());
            });
    }

    void readHead(std::function<void()> proceed)
    {
        this->readThen<Head>(
            [reader = HeadReader(this->tablePort)](auto callback) { reader.read(std::move(callback)); },
            [self = this->shared_from_this(), proceed = std::move(proceed)](const Head &head) {
                self->from = head;
                if (self->publishRequest.expectedVersion
                    && *self->publishRequest.expectedVersion != head.version)
                    return self->reportConflict(head.version);
                proceed();
            });
    }

    // The operator's files are based on another version than the one in force.
    void reportConflict(std::uint64_t version)
    {
        HistoryEntry unknown;
        unknown.version = version;
        const auto report = [self = this->shared_from_this()](const HistoryEntry &winner) {
            self->done({PublishOutcome::Conflict, 0, self->publishRequest.publishId, winner, {}});
        };
        if (version == 0)
            return report(unknown);
        this->readEntry(version, [report, unknown](const Result<HistoryEntry> &entry) {
            report(entry ? entry.assume_value() : unknown);
        });
    }

    void readEntry(std::uint64_t version, std::function<void(Result<HistoryEntry>)> callback)
    {
        const auto read = [table = this->tablePort, version](std::function<void(Result<HistoryEntry>)> give) {
            table.get(historyKey(version), [version, give](Result<std::optional<Row>> row) {
                if (!row)
                    return give(std::move(row).assume_error());
                if (!row.assume_value())
                    return give(makeError(ErrorKind::NotFound, "read history row", "table",
                                          "there is no version " + std::to_string(version)));
                give(parseHistory(*row.assume_value()));
            });
        };
        withRetries<HistoryEntry>(this->retryPolicy, this->schedulerHook, read, std::move(callback));
    }

    // Objects of the version in force are not written again. If it cannot be read, all objects are written.
    void readPrevious()
    {
        if (this->from.version == 0)
            return this->writeSites();
        const auto read = [reader = VersionReader(this->objectPort), head = this->from](auto callback) {
            reader.manifest(head, std::move(callback));
        };
        withRetries<VersionManifest>(
            this->retryPolicy, this->schedulerHook, read,
            [self = this->shared_from_this()](const Result<VersionManifest> &manifest) {
                if (!manifest)
                    return self->writeSites();
                self->readPreviousSites(manifest.assume_value());
            });
    }

    void readPreviousSites(const VersionManifest &previous)
    {
        std::set<std::pair<std::string, Digest>> next;
        for (const SiteConfiguration &site : this->sites)
            next.insert({site.manifest.site, siteDigest(site.manifest)});
        std::vector<std::string> changed;
        for (const VersionManifest::SiteReference &site : previous.sites) {
            this->stored.insert(siteObjectName(site.digest));
            if (next.count({site.site, site.digest}) == 0)
                changed.push_back(site.site);
        }
        this->pendingReads = changed.size();
        if (changed.empty())
            return this->writeSites();
        for (const std::string &site : changed) {
            VersionReader(this->objectPort)
                .site(previous, site,
                      [self = this->shared_from_this()](const Result<SiteManifest> &manifest) {
                          self->previousSiteRead(manifest);
                      });
        }
    }

    void previousSiteRead(const Result<SiteManifest> &manifest)
    {
        if (manifest) {
            for (const SectionReference &section : manifest.assume_value().sections)
                this->stored.insert(sectionObjectName(section.digest));
        }
        if (--this->pendingReads == 0)
            this->writeSites();
    }

    void writeSites()
    {
        NamedObjects all;
        for (const SiteConfiguration &site : this->sites) {
            const auto &references = site.manifest.sections;
            const Digest digest = siteDigest(site.manifest);
            this->manifest.sites.push_back({site.manifest.site, digest});
            // If a site list is stored, so are its sections.
            if (this->stored.count(siteObjectName(digest)) != 0)
                continue;
            all.emplace(siteObjectName(digest), encodeSite(site.manifest));
            if (!site.accounts.empty())
                all.emplace(accountsObjectName(site.manifest.accounts), encodeAccounts(site.accounts));
            for (std::size_t i = 0; i < references.size(); ++i) {
                const std::string name = sectionObjectName(references[i].digest);
                if (this->stored.count(name) == 0)
                    all.emplace(name, encodeSection(site.sections[i]));
            }
        }
        this->writeVersion(std::move(all));
    }

    void readTargetEntry()
    {
        if (*this->rolledBackTo >= this->from.version)
            return this->fail(makeError(ErrorKind::InvalidInput, "roll back", "",
                                        "version " + std::to_string(*this->rolledBackTo)
                                            + " is not older than the one in force"));
        this->readEntry(*this->rolledBackTo,
                        [self = this->shared_from_this()](const Result<HistoryEntry> &entry) {
                            if (!entry)
                                return self->fail(entry.assume_error());
                            self->readTargetManifest(entry.assume_value());
                        });
    }

    void readTargetManifest(const HistoryEntry &entry)
    {
        const Head old{entry.version, entry.digest, entry.publishId};
        this->readThen<VersionManifest>([reader = VersionReader(this->objectPort),
                                         old](auto callback) { reader.manifest(old, std::move(callback)); },
                                        [self = this->shared_from_this()](const VersionManifest &manifest) {
                                            self->manifest.sites = manifest.sites;
                                            self->writeVersion({});
                                        });
    }

    void writeVersion(NamedObjects all)
    {
        this->manifest.version = this->from.version + 1;
        this->manifest.publishId = this->publishRequest.publishId;
        ObjectBytes bytes = encodeVersionManifest(this->manifest);
        const Digest digest = digestOf(bytes);
        all.emplace(manifestObjectName(this->manifest.version, this->manifest.publishId), std::move(bytes));
        writeObjects(this->objectPort, this->schedulerHook, this->retryPolicy, std::move(all),
                     [self = this->shared_from_this(), digest](const Result<void> &written) {
                         if (!written)
                             return self->fail(written.assume_error());
                         self->advance(digest);
                     });
    }

    void advance(const Digest &digest)
    {
        const HistoryEntry next{this->manifest.version,          digest,
                                this->publishRequest.publishId,  this->publishRequest.operatorName,
                                this->publishRequest.acceptedAt, this->rolledBackTo.value_or(0)};
        advanceHead(this->tablePort, this->schedulerHook, this->retryPolicy, this->from, next, this->done);
    }

    const TablePort tablePort;
    const ObjectPort objectPort;
    const Scheduler schedulerHook;
    const RetryPolicy retryPolicy;
    const PublishRequest publishRequest;
    const PublishCallback done;
    std::vector<SiteConfiguration> sites; // Empty for a rollback.
    std::optional<std::uint64_t> rolledBackTo;
    Head from;                    // The head that the new version replaces.
    std::set<std::string> stored; // Names of the objects of the version in force.
    std::size_t pendingReads = 0;
    VersionManifest manifest; // Of the new version.
};

} // namespace

Publisher::Publisher(TablePort tablePort, ObjectPort objectPort, Scheduler schedulerHook,
                     RetryPolicy retryPolicy)
    : table(std::move(tablePort))
    , objects(std::move(objectPort))
    , scheduler(std::move(schedulerHook))
    , policy(retryPolicy)
{
}

void Publisher::publish(std::vector<RenderedSite> sites, const PublishRequest &request,
                        PublishCallback callback) const
{
    std::make_shared<PublishOperation>(this->table, this->objects, this->scheduler, this->policy, request,
                                       std::move(callback))
        ->publish(std::move(sites));
}

void Publisher::rollback(std::uint64_t to, const PublishRequest &request, PublishCallback callback) const
{
    std::make_shared<PublishOperation>(this->table, this->objects, this->scheduler, this->policy, request,
                                       std::move(callback))
        ->rollback(to);
}

} // namespace Sagecrank

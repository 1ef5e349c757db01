// Pulling a version from the platform: the head, its manifest, the site's section list, and the sections
// that are not held already.
#include "ControlFollower.h"

#include <LibConfig/Assemble.h>

namespace Sagecrank {

namespace {

// Reads of sections under way at once: the store's latency is hidden, and a node alone cannot take more than
// a small part of what the store gives.
constexpr std::size_t sectionReadsAtOnce = 8;

} // namespace

struct ControlFollower::PlatformPull
{
    SiteManifest manifest;
    SectionBytes bytes;
    std::vector<Digest> missing; // Still to be read.
    std::size_t reading = 0;
    bool ended = false; // Failed or finished; answers that come later are dropped.
};

void ControlFollower::pullFromPlatform()
{
    ++this->counts.platformPulls;
    ++this->counts.headReads;
    auto pull = std::make_shared<PlatformPull>();
    this->heads.read([this, pull](Result<Head> head) {
        if (this->stopped)
            return;
        if (!head)
            return this->platformPullFailed(pull, head.assume_error());
        const Head &found = head.assume_value();
        const ConfigurationMark mark{found.version, found.digest.high, found.digest.low};
        this->plan.want(mark, SteadyClock::now());
        ++this->counts.objectReads;
        this->versions.manifest(found, [this, pull](Result<VersionManifest> manifest) {
            if (this->stopped)
                return;
            if (!manifest)
                return this->platformPullFailed(pull, manifest.assume_error());
            ++this->counts.objectReads;
            this->versions.site(manifest.assume_value(), this->site,
                                [this, pull](Result<SiteManifest> found) {
                                    if (this->stopped)
                                        return;
                                    if (!found)
                                        return this->platformPullFailed(pull, found.assume_error());
                                    pull->manifest = std::move(found).assume_value();
                                    this->fetchManifest(pull);
                                });
        });
    });
}

// Sections are named by their content, so those that are held are not read again.
void ControlFollower::fetchManifest(const std::shared_ptr<PlatformPull> &pull)
{
    if (!this->recent.empty())
        pull->bytes = sectionBytes(*this->recent.back());
    for (const SectionReference &reference : pull->manifest.sections) {
        if (!pull->bytes.contains(reference.digest))
            pull->missing.push_back(reference.digest);
    }
    this->fetchSections(pull);
}

void ControlFollower::fetchSections(const std::shared_ptr<PlatformPull> &pull)
{
    if (pull->ended)
        return;
    if (pull->missing.empty() && pull->reading == 0)
        return this->finishPlatformPull(pull);
    while (!pull->missing.empty() && pull->reading < sectionReadsAtOnce) {
        const Digest digest = pull->missing.back();
        pull->missing.pop_back();
        ++pull->reading;
        ++this->counts.objectReads;
        this->versions.section(digest, [this, pull, digest](auto bytes) {
            --pull->reading;
            if (this->stopped || pull->ended)
                return;
            if (!bytes)
                return this->platformPullFailed(pull, bytes.assume_error());
            this->counts.pulledBytes += bytes.assume_value().size();
            pull->bytes[digest] = std::move(bytes).assume_value();
            this->fetchSections(pull);
        });
    }
}

void ControlFollower::finishPlatformPull(const std::shared_ptr<PlatformPull> &pull)
{
    pull->ended = true;
    Result<SiteConfiguration> built = assemble(std::move(pull->manifest), pull->bytes);
    if (!built)
        return this->platformPullFailed(pull, built.assume_error());
    const Result<void> taken = this->take(std::move(built).assume_value());
    if (!taken)
        return this->platformPullFailed(pull, taken.error());
    this->plan.succeeded();
}

// A version that does not check will not check tomorrow: it is refused whole and for good. A store that does
// not answer is asked again later.
void ControlFollower::platformPullFailed(const std::shared_ptr<PlatformPull> &pull, const Error &error)
{
    pull->ended = true;
    const bool invalid = error.kind == ErrorKind::InvalidInput || error.kind == ErrorKind::TooLarge;
    this->fail(error, invalid ? PullFailure::Invalid : PullFailure::Unreachable, {});
}

} // namespace Sagecrank

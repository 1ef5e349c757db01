// Implements head and history rows and reading versions; see Head.h.
#include <LibSource/Head.h>

#include <cstdio>

namespace Sagecrank {

namespace {

constexpr std::size_t sortDigits = 20; // Decimal digits of the largest 64-bit number.

std::string sortKey(std::uint64_t version)
{
    std::string digits = std::to_string(version);
    return std::string(sortDigits - digits.size(), '0') + digits;
}

Error malformed(const char *step, const std::string &attribute)
{
    return makeError(ErrorKind::InvalidInput, step, "table", "attribute " + attribute + " is missing or bad");
}

Result<std::uint64_t> requireNumber(const Row &row, const char *step, const std::string &name)
{
    const std::uint64_t *value = row.number(name);
    if (value == nullptr)
        return malformed(step, name);
    return *value;
}

Result<std::string> requireText(const Row &row, const char *step, const std::string &name)
{
    const std::string *value = row.text(name);
    if (value == nullptr)
        return malformed(step, name);
    return *value;
}

BytesCallback checkingDigest(const Digest &digest, const char *step, BytesCallback callback)
{
    return [digest, step, callback = std::move(callback)](Result<ObjectBytes> bytes) {
        if (bytes && digestOf(bytes.assume_value()) != digest)
            return callback(makeError(ErrorKind::InvalidInput, step, "object store",
                                      "the bytes do not match digest " + toHex(digest)));
        callback(std::move(bytes));
    };
}

} // namespace

RowKey headKey()
{
    return {"head", "head"};
}

RowKey historyKey(std::uint64_t version)
{
    return {historyPartition, sortKey(version)};
}

Row headRow(const Head &head)
{
    return {headKey(),
            {{"version", head.version}, {"digest", toHex(head.digest)}, {"publish_id", head.publishId}}};
}

Row historyRow(const HistoryEntry &entry)
{
    return {historyKey(entry.version),
            {{"version", entry.version},
             {"digest", toHex(entry.digest)},
             {"publish_id", entry.publishId},
             {"operator", entry.operatorName},
             {"accepted_at", entry.acceptedAt},
             {"rolled_back_to", entry.rolledBackTo}}};
}

Result<Head> parseHead(const std::optional<Row> &row)
{
    constexpr auto step = "read head row";
    if (!row)
        return Head{};
    Head head;
    head.version = TRY(requireNumber(*row, step, "version"));
    head.digest = TRY(digestFromHex(TRY(requireText(*row, step, "digest"))));
    head.publishId = TRY(requireText(*row, step, "publish_id"));
    return head;
}

Result<HistoryEntry> parseHistory(const Row &row)
{
    constexpr auto step = "read history row";
    HistoryEntry entry;
    entry.version = TRY(requireNumber(row, step, "version"));
    entry.digest = TRY(digestFromHex(TRY(requireText(row, step, "digest"))));
    entry.publishId = TRY(requireText(row, step, "publish_id"));
    entry.operatorName = TRY(requireText(row, step, "operator"));
    entry.acceptedAt = TRY(requireNumber(row, step, "accepted_at"));
    entry.rolledBackTo = TRY(requireNumber(row, step, "rolled_back_to"));
    return entry;
}

HeadReader::HeadReader(TablePort port)
    : table(std::move(port))
{
}

void HeadReader::read(std::function<void(Result<Head>)> callback) const
{
    this->table.get(headKey(), [callback = std::move(callback)](Result<std::optional<Row>> row) {
        if (!row)
            return callback(std::move(row).assume_error());
        callback(parseHead(row.assume_value()));
    });
}

void HeadReader::history(std::uint32_t limit,
                         std::function<void(Result<std::vector<HistoryEntry>>)> callback) const
{
    const QueryRequest request{historyPartition, true, limit};
    this->table.query(request, [callback = std::move(callback)](Result<std::vector<Row>> rows) {
        if (!rows)
            return callback(std::move(rows).assume_error());
        std::vector<HistoryEntry> entries;
        for (const Row &row : rows.assume_value()) {
            Result<HistoryEntry> entry = parseHistory(row);
            if (!entry)
                return callback(std::move(entry).assume_error());
            entries.push_back(std::move(entry).assume_value());
        }
        callback(std::move(entries));
    });
}

VersionReader::VersionReader(ObjectPort port)
    : objects(std::move(port))
{
}

void VersionReader::manifest(const Head &head, std::function<void(Result<VersionManifest>)> callback) const
{
    const auto finish = [head, callback = std::move(callback)](Result<ObjectBytes> bytes) {
        if (!bytes)
            return callback(std::move(bytes).assume_error());
        Result<VersionManifest> manifest = decodeVersionManifest(bytes.assume_value(), head.digest);
        if (manifest && manifest.assume_value().version != head.version)
            return callback(makeError(ErrorKind::InvalidInput, "read version manifest", "object store",
                                      "the manifest's version differs from the head's"));
        callback(std::move(manifest));
    };
    this->objects.get(manifestObjectName(head.version, head.publishId), finish);
}

void VersionReader::site(const VersionManifest &manifest, const std::string &site,
                         std::function<void(Result<SiteManifest>)> callback) const
{
    for (const VersionManifest::SiteReference &reference : manifest.sites) {
        if (reference.site != site)
            continue;
        const auto finish = [reference, version = manifest.version,
                             callback = std::move(callback)](Result<ObjectBytes> bytes) {
            if (!bytes)
                return callback(std::move(bytes).assume_error());
            Result<SiteManifest> manifest = decodeSite(bytes.assume_value(), reference.digest);
            if (manifest) {
                manifest.assume_value().version = version;
                manifest.assume_value().site = reference.site;
            }
            callback(std::move(manifest));
        };
        return this->objects.get(siteObjectName(reference.digest), finish);
    }
    callback(makeError(ErrorKind::NotFound, "read site", site, "the version does not contain this site"));
}

void VersionReader::section(const Digest &digest, BytesCallback callback) const
{
    this->objects.get(sectionObjectName(digest), checkingDigest(digest, "read section", std::move(callback)));
}

void VersionReader::accounts(const Digest &digest, BytesCallback callback) const
{
    this->objects.get(accountsObjectName(digest),
                      checkingDigest(digest, "read accounts", std::move(callback)));
}

} // namespace Sagecrank

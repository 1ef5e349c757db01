// The head row, which says what version is accepted, and the history rows beside it.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Error.h>
#include <LibSource/Ports.h>

#include <optional>
#include <string>

namespace Sagecrank {

struct Head
{
    std::uint64_t version = 0; // Zero before the first publish.
    Digest digest;             // Of the encoded VersionManifest.
    std::string publishId;

    bool operator==(const Head &) const = default;
};

struct HistoryEntry
{
    std::uint64_t version = 0;
    Digest digest;
    std::string publishId;
    std::string operatorName;
    std::uint64_t acceptedAt = 0;   // Seconds since 1970 by the operator's clock; for people only.
    std::uint64_t rolledBackTo = 0; // The version whose content this repeats; zero when it is new content.

    bool operator==(const HistoryEntry &) const = default;
};

RowKey headKey();
RowKey historyKey(std::uint64_t version);
inline constexpr auto historyPartition = "history";

Row headRow(const Head &head);
Row historyRow(const HistoryEntry &entry);

// No row means that nothing was published yet: a head of version zero.
Result<Head> parseHead(const std::optional<Row> &row);
Result<HistoryEntry> parseHistory(const Row &row);

// Reads the accepted version. One read of the table.
class HeadReader
{
public:
    explicit HeadReader(TablePort table);

    void read(std::function<void(Result<Head>)> callback) const;
    void history(std::uint32_t limit, std::function<void(Result<std::vector<HistoryEntry>>)> callback) const;

private:
    TablePort table;
};

// Reads the content of a version that a head names, checking every digest on the way.
class VersionReader
{
public:
    explicit VersionReader(ObjectPort objects);

    void manifest(const Head &head, std::function<void(Result<VersionManifest>)> callback) const;

    // The site's section list under the version's number. NotFound when the version has no such site.
    void site(const VersionManifest &manifest, const std::string &site,
              std::function<void(Result<SiteManifest>)> callback) const;

    // One section's bytes, proved by its digest.
    void section(const Digest &digest, BytesCallback callback) const;

private:
    ObjectPort objects;
};

} // namespace Sagecrank

// The head row, which names the accepted version, and one history row for each version.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Error.h>
#include <LibSource/Ports.h>

#include <chrono>
#include <optional>
#include <string>

namespace Sagecrank {

struct Head
{
    std::uint64_t version = 0; // Zero before the first publish.
    Digest digest;             // Of the encoded VersionManifest.
    std::string publishId;
    // The store's steady clock when this was the newest version; only of stores that state it.
    std::optional<std::chrono::nanoseconds> storeTime = std::nullopt;

    bool operator==(const Head &) const = default;
};

struct HistoryEntry
{
    std::uint64_t version = 0;
    Digest digest;
    std::string publishId;
    std::string operatorName;
    std::uint64_t acceptedAt = 0;   // Unix seconds by the operator's clock; for display only.
    std::uint64_t rolledBackTo = 0; // The version whose content a rollback restored; otherwise zero.

    bool operator==(const HistoryEntry &) const = default;
};

RowKey headKey();
RowKey historyKey(std::uint64_t version);
inline constexpr auto historyPartition = "history";

Row headRow(const Head &head);
Row historyRow(const HistoryEntry &entry);

// Without a row nothing has been published yet, and the head has version zero.
Result<Head> parseHead(const std::optional<Row> &row);
Result<HistoryEntry> parseHistory(const Row &row);

// Reads the accepted version and its history. Each call is one read of the table.
class HeadReader
{
public:
    explicit HeadReader(TablePort table);

    void read(std::function<void(Result<Head>)> callback) const;
    void history(std::uint32_t limit, std::function<void(Result<std::vector<HistoryEntry>>)> callback) const;

private:
    TablePort table;
};

// Reads the content of the version that a head names and verifies every digest.
class VersionReader
{
public:
    explicit VersionReader(ObjectPort objects);

    void manifest(const Head &head, std::function<void(Result<VersionManifest>)> callback) const;

    // Reads the site's section list. NotFound if the version does not contain the site.
    void site(const VersionManifest &manifest, const std::string &site,
              std::function<void(Result<SiteManifest>)> callback) const;

    // Reads one section and verifies its digest.
    void section(const Digest &digest, BytesCallback callback) const;
    void accounts(const Digest &digest, BytesCallback callback) const;

private:
    ObjectPort objects;
};

} // namespace Sagecrank

// The row store's HTTP service: calls, watches that wait for changes, and injected faults. The caller owns
// the sockets.
#pragma once

#include <PlatformEmulator/Faults.h>
#include <RowsEmulator/RowStore.h>

#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Sagecrank {

struct RowsServiceSettings
{
    double writeRate = 400; // Calls per second, as in the users' deployments.
    double readRate = 2000;
    Milliseconds answerTime{4};
};

// Restores the store from its last snapshot after an outage. Revisions issued since the snapshot are reused.
struct RestoreSettings
{
    Milliseconds outage{0};
    // From the restore until the rows that the operator and the servers wrote since the snapshot are
    // rewritten.
    Milliseconds rewriteDelay{0};
    // A watch from a revision that the store no longer has waits for changes instead of being told so.
    bool hidesRevisionLoss = false;
    bool abandonsWatches = false; // Open watches keep their connections but get no response.
};

Result<RestoreSettings> parseRestoreSettings(const std::string &json);

class RowsService
{
public:
    using FaultsSet = std::function<void(std::string_view json)>;

    RowsService(boost::asio::io_context &context, RowsServiceSettings settings, FaultsSet faultsSet);

    // Faults set through listener 0 replace those of every listener; others set only their own.
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                std::size_t listener = 0);
    // Replaces the configuration row, as an operator does.
    void putConfiguration(const std::string &document);
    void dropHistory() { this->store.dropHistory(); }
    void takeSnapshot() { this->snapshot = this->store; }
    // Returns false without a snapshot. Restores and rewrites immediately where the delays are zero.
    bool restoreSnapshot(const RestoreSettings &settings);
    bool isUnavailable() const { return this->unavailable; } // Calls are dropped.
    // Sets the era that responses state; empty omits the header, nullopt restores the store's own counter.
    void overrideEra(std::optional<std::string> text) { this->eraOverride = std::move(text); }

private:
    struct Watch
    {
        Watch(boost::asio::io_context &context, std::shared_ptr<HttpExchange> exchange)
            : exchange(std::move(exchange))
            , timer(context)
        {
        }

        std::string table;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
        boost::asio::steady_timer timer;
    };

    void handleControlRequest(const HttpRequest &request, HttpExchange &exchange, std::size_t listener);
    HttpResponse executeCommand(const HttpRequest &request, std::size_t listener);
    HttpResponse handleRestoreCommand(const std::string &json);
    HttpResponse handleEraCommand(const std::string &text);
    void finishRestore(const RestoreSettings &settings);
    void rewriteLostRows();
    std::vector<Platform::QualifiedRow> lostRowsToRewrite() const;
    std::vector<Platform::QualifiedRow> rowsOfOtherWriters() const;
    void respond(HttpExchange &exchange, HttpResponse response) const;
    std::optional<std::vector<Platform::QualifiedRow>> changesAfter(const std::string &table,
                                                                    std::uint64_t revision) const;
    FaultInjector &faultsOfListener(std::size_t listener);
    void execute(const Platform::RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                 std::size_t listener);
    void write(const Platform::RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
               std::size_t listener);
    void watch(const Platform::RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void notifyWatches();
    void runAfter(Milliseconds delay, std::function<void()> step);

    boost::asio::io_context &context;
    const RowsServiceSettings settings;
    const FaultsSet faultsSet;
    RowStore store;
    std::optional<RowStore> snapshot;
    std::vector<Platform::QualifiedRow>
        lostRows; // Written by the operator and the servers since the snapshot, not yet rewritten.
    std::uint64_t restoredRevision = 0; // The newest revision at the last restore.
    std::uint64_t era = 1;
    std::optional<std::string> eraOverride;
    bool unavailable = false;
    bool hidesRevisionLoss = false;
    std::list<std::shared_ptr<Watch>> abandonedWatches; // Held to keep their connections open.
    std::map<std::size_t, FaultInjector> faults;        // By listener.
    RateLimiter writes;
    RateLimiter reads;
    std::list<std::shared_ptr<Watch>> watches;
};

} // namespace Sagecrank

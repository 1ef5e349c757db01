// The store as a service: calls, watches that wait for news, and faults by command. Without sockets of its
// own.
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
    double writeRate = 400; // Calls a second; as the users' deployments have it.
    double readRate = 2000;
    Milliseconds answerTime{4};
};

// A drill: the store is away for a moment and comes back as of the last copy. Revisions are given out again.
struct RestoreSettings
{
    Milliseconds outage{0};
    // From the return until what the operator and the servers wrote since the copy is written again.
    Milliseconds rewriteDelay{0};
    // A watch from a revision that the store does not have is held like any other, instead of being told.
    bool hidesRevisionLoss = false;
    bool abandonsWatches = false; // Their connections stay open, and nothing comes on them.
};

Result<RestoreSettings> parseRestoreSettings(const std::string &json);

class RowsService
{
public:
    using FaultsSet = std::function<void(std::string_view json)>;

    RowsService(boost::asio::io_context &context, RowsServiceSettings settings, FaultsSet faultsSet);

    // Faults that are set at door 0 hold at every door, those set at another at that one.
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                std::size_t listener = 0);
    // What an operator does: the configuration's row is written whole.
    void putConfiguration(const std::string &document);
    void dropHistory() { this->store.dropHistory(); }
    void takeSnapshot() { this->snapshot = this->store; }
    // False when no copy was taken. At once where nothing is to be waited for.
    bool restoreSnapshot(const RestoreSettings &settings);
    bool isUnavailable() const { return this->unavailable; } // Answers nothing.
    // In place of its own number; empty: its answers do not say. Nothing: its own number again.
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
        lostRows;                       // Of the operator and the servers; until it is written again.
    std::uint64_t restoredRevision = 0; // The newest revision then.
    std::uint64_t era = 1;
    std::optional<std::string> eraOverride;
    bool unavailable = false;
    bool hidesRevisionLoss = false;
    std::list<std::shared_ptr<Watch>> abandonedWatches; // Kept only for their connections.
    std::map<std::size_t, FaultInjector> faults;        // By door.
    RateLimiter writes;
    RateLimiter reads;
    std::list<std::shared_ptr<Watch>> watches;
};

} // namespace Sagecrank

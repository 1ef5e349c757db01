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
#include <string>

namespace Sagecrank {

struct RowsServiceSettings
{
    double writeRate = 400; // Calls a second; as the users' deployments have it.
    double readRate = 2000;
    Milliseconds answerTime{4};
};

class RowsService
{
public:
    using FaultsSet = std::function<void(std::string_view json)>;

    RowsService(boost::asio::io_context &context, RowsServiceSettings settings, FaultsSet faultsSet);

    // Faults that are set at door 0 hold at every door, those set at another at that one.
    void handle(const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange,
                std::size_t door = 0);
    // What an operator does: the configuration's row is written whole.
    void putConfiguration(const std::string &document);
    void dropHistory() { this->store.dropHistory(); }

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

    void control(const HttpRequest &request, HttpExchange &exchange, std::size_t door);
    Faults &faultsAt(std::size_t door);
    void run(const Platform::RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
             std::size_t door);
    void write(const Platform::RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange,
               std::size_t door);
    void watch(const Platform::RowsRequest &request, const std::shared_ptr<HttpExchange> &exchange);
    void tellWatches();
    void later(Milliseconds delay, std::function<void()> step);

    boost::asio::io_context &context;
    const RowsServiceSettings settings;
    const FaultsSet faultsSet;
    RowStore store;
    std::map<std::size_t, Faults> faults; // By door.
    RateLimit writes;
    RateLimit reads;
    std::list<std::shared_ptr<Watch>> watches;
};

} // namespace Sagecrank

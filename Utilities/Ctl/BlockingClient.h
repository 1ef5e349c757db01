// Blocking access to the platform and to the admin interface of nodes, on top of the asynchronous clients.
#pragma once

#include <LibNet/HttpClient.h>
#include <LibPlatform/PlatformClient.h>
#include <LibSource/Retry.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

namespace Sagecrank {

class BlockingClient
{
public:
    explicit BlockingClient(const PlatformClientSettings &settings);

    TablePort table() { return this->platformClient.tablePort(); }
    ObjectPort objects() { return this->platformClient.objectPort(); }
    Scheduler scheduler();

    // Starts an asynchronous operation and runs the event loop until its callback has been called.
    template <typename T>
    T wait(const std::function<void(std::function<void(T)>)> &start)
    {
        std::optional<T> result;
        start([&](T value) { result.emplace(std::move(value)); });
        this->context.restart();
        while (!result && this->context.run_one() > 0) {
        }
        return std::move(*result);
    }

    // Like wait(), for a read, which is retried while the platform does not respond.
    template <typename T>
    Result<T> readWithRetries(const std::function<void(std::function<void(Result<T>)>)> &start)
    {
        return this->wait<Result<T>>([&](std::function<void(Result<T>)> callback) {
            withRetries<T>(RetryPolicy{}, this->scheduler(), start, std::move(callback));
        });
    }

    // Returns the response body. Fails with Refused if the status is not 2xx.
    Result<std::string> sendNodeRequest(const std::string &address, const std::string &method,
                                        const std::string &target);

private:
    const PlatformClientSettings settings;
    boost::asio::io_context context{1};
    PlatformClient platformClient;
    HttpClient nodeClient;
};

} // namespace Sagecrank

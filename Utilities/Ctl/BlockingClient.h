// One run's connection to the platform and to nodes. Turns the asynchronous ports into steps that wait, which
// is all that a command line needs.
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

    TablePort table() { return this->platform.tablePort(); }
    ObjectPort objects() { return this->platform.objectPort(); }
    Scheduler scheduler();

    // Starts the step and runs until it has called back.
    template <typename T>
    T wait(const std::function<void(std::function<void(T)>)> &start)
    {
        std::optional<T> answer;
        start([&](T given) { answer.emplace(std::move(given)); });
        this->context.restart();
        while (!answer && this->context.run_one() > 0) {
        }
        return std::move(*answer);
    }

    // The same for a read, repeated when the platform does not answer.
    template <typename T>
    Result<T> readWithRetries(const std::function<void(std::function<void(Result<T>)>)> &start)
    {
        return this->wait<Result<T>>([&](std::function<void(Result<T>)> callback) {
            withRetries<T>(RetryPolicy{}, this->scheduler(), start, std::move(callback));
        });
    }

    // Refused: the node answered with another status than 2xx.
    Result<std::string> sendNodeRequest(const std::string &address, const std::string &method,
                                        const std::string &target);

private:
    const PlatformClientSettings settings;
    boost::asio::io_context context{1};
    PlatformClient platform;
    HttpClient nodes;
};

} // namespace Sagecrank

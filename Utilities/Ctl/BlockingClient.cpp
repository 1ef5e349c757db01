// Implements BlockingClient.h.
#include <Ctl/BlockingClient.h>

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Sagecrank {

BlockingClient::BlockingClient(const PlatformClientSettings &platformSettings)
    : settings(platformSettings)
    , platformClient(this->context, platformSettings)
    , nodeClient(this->context, {})
{
}

Scheduler BlockingClient::scheduler()
{
    return [this](Duration delay, std::function<void()> event) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
        timer->async_wait([timer, event = std::move(event)](const boost::system::error_code &) { event(); });
    };
}

Result<std::string> BlockingClient::sendNodeRequest(const std::string &address, const std::string &method,
                                                    const std::string &target)
{
    return this->wait<Result<std::string>>([&](const std::function<void(Result<std::string>)> &callback) {
        const auto done = [callback, address](const HttpFailure *failure, HttpResponse response) {
            if (failure != nullptr)
                return callback(failure->error);
            if (response.status / 100 != 2)
                return callback(makeError(ErrorKind::Refused, "ask node", address,
                                          "answered status " + std::to_string(response.status)));
            callback(std::move(response.body));
        };
        this->nodeClient.send(address, {method, target, {}, ""}, this->settings.requestTimeout, done);
    });
}

} // namespace Sagecrank

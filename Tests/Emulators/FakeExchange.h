// An HttpExchange without a socket that records the response or the drop.
#pragma once

#include <LibNet/HttpServer.h>

#include <functional>
#include <optional>
#include <utility>

namespace Sagecrank {

class FakeExchange : public HttpExchange
{
public:
    void respond(HttpResponse response) override
    {
        if (!this->dropped && !this->response)
            this->response = std::move(response);
        this->disconnectHook =
            nullptr; // As a real connection does: the hook may own the call that owns this exchange.
    }
    void drop() override
    {
        this->dropped = true;
        this->disconnectHook = nullptr;
    }
    void onCallerDisconnected(std::function<void()> disconnectHook) override
    {
        this->disconnectHook = std::move(disconnectHook);
    }

    void disconnectCaller()
    {
        this->dropped = true;
        const std::function<void()> onDisconnect = std::exchange(this->disconnectHook, nullptr);
        if (onDisconnect)
            onDisconnect();
    }

    std::optional<HttpResponse> response;
    bool dropped = false;

private:
    std::function<void()> disconnectHook;
};

} // namespace Sagecrank

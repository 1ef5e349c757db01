// An exchange without a socket: remembers what became of it.
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
        this->hook =
            nullptr; // As a connection does: the hook may keep the call alive that holds the exchange.
    }
    void drop() override
    {
        this->dropped = true;
        this->hook = nullptr;
    }
    void onCallerDisconnected(std::function<void()> hook) override { this->hook = std::move(hook); }

    void abandon()
    {
        this->dropped = true;
        const std::function<void()> gone = std::exchange(this->hook, nullptr);
        if (gone)
            gone();
    }

    std::optional<HttpResponse> response;
    bool dropped = false;

private:
    std::function<void()> hook;
};

} // namespace Sagecrank

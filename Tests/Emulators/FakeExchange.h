// An exchange without a socket: remembers what became of it.
#pragma once

#include <LibNet/HttpServer.h>

#include <functional>
#include <optional>

namespace Sagecrank {

class FakeExchange : public HttpExchange
{
public:
    void respond(HttpResponse response) override
    {
        if (!this->dropped && !this->response)
            this->response = std::move(response);
    }
    void drop() override { this->dropped = true; }
    void onAbandoned(std::function<void()> hook) override { this->hook = std::move(hook); }

    void abandon()
    {
        this->dropped = true;
        if (this->hook)
            this->hook();
    }

    std::optional<HttpResponse> response;
    bool dropped = false;

private:
    std::function<void()> hook;
};

} // namespace Sagecrank

// Test fixture: a gate that uses the platform's protocol, for tests that put a server behind it.
#pragma once

#include <LibDecide/TargetGate.h>
#include <LibNet/HttpClient.h>
#include <Node/Gate/GateCall.h>
#include <Node/Gate/LocalGate.h>
#include <platform/EmulatedServer.h>

#include <criterion/criterion.h>

#include <functional>
#include <memory>
#include <optional>

namespace Sagecrank {

class PlatformGate
{
public:
    void runUntil(const std::function<bool()> &condition)
    {
        const Instant limit = SteadyClock::now() + std::chrono::seconds(15);
        while (!condition() && SteadyClock::now() < limit)
            this->context.run_one_for(Milliseconds(50));
        cr_assert(condition());
    }

    CallResponse call(CallRequest request)
    {
        std::optional<CallResponse> result;
        this->gate.submit({this->context, this->client}, std::move(request),
                          [&result](CallResponse response) { result = std::move(response); });
        this->runUntil([&result] { return result.has_value(); });
        return *result;
    }

    boost::asio::io_context context{1};
    HttpClient client{this->context, HttpClientSettings{}};
    HistoryRecorder history{"gate", false};
    EventLog log{"gate", {}, [](LogLevel, const std::string &) {}};
    Metrics metrics;
    SpanRing spans{16};
    RequestObserver observer{this->log, this->metrics, this->spans};
    LocalGate gate{"gate",
                   makeAdmissionHooks(std::make_shared<TargetGate>(TargetGateSettings{})),
                   Platform::platformHeaders(),
                   {},
                   {},
                   this->history,
                   this->observer};
};

} // namespace Sagecrank

// Sends announcements periodically and on request.
#include <UpstreamEmulator/Announcer.h>

#include <boost/json.hpp>

namespace Sagecrank {

namespace json = boost::json;

namespace {

std::optional<std::uint64_t> parseInFlight(const std::string &body)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object())
        return std::nullopt;
    const json::value *count = value.as_object().if_contains("in_flight");
    if (count == nullptr)
        return std::nullopt;
    const auto number = count->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional<std::uint64_t>(number);
}

} // namespace

bool DrainPolicy::isComplete(Instant now, std::size_t running,
                             std::optional<std::uint64_t> nodeInFlight) const
{
    if (!this->since || now - *this->since < minimumDuration)
        return false;
    if (now - *this->since >= maximumDuration)
        return true;
    return running == 0 && nodeInFlight.value_or(0) == 0;
}

Announcer::Announcer(boost::asio::io_context &context, AnnouncerSettings settings, State state, Answer answer)
    : timer(context)
    , client(context, {})
    , settings(std::move(settings))
    , state(std::move(state))
    , answer(std::move(answer))
{
}

HttpRequest Announcer::defaultRequest(UpstreamState state) const
{
    json::object body;
    body["cluster"] = this->settings.cluster;
    body["address"] = this->settings.address;
    body["slots"] = this->settings.slots;
    if (!this->settings.version.empty())
        body["version"] = this->settings.version;
    body["state"] = std::string(upstreamStateNames.name(state));
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/upstream";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = json::serialize(body);
    return request;
}

void Announcer::announce(UpstreamState state, Answer answer)
{
    if (this->settings.node.empty()) {
        answer(std::nullopt);
        return;
    }
    HttpRequest request =
        this->settings.makeRequest ? this->settings.makeRequest(state) : this->defaultRequest(state);
    this->client.send(this->settings.node, std::move(request), this->settings.interval,
                      [answer = std::move(answer)](const HttpFailure *failure, const HttpResponse &response) {
                          const bool good = failure == nullptr && response.status == 200;
                          answer(good ? parseInFlight(response.body) : std::nullopt);
                      });
}

void Announcer::tick()
{
    if (const std::optional<UpstreamState> now = this->state())
        this->announce(*now, this->answer);
    else
        this->answer(std::nullopt);
    this->timer.expires_after(this->settings.interval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->tick();
    });
}

} // namespace Sagecrank

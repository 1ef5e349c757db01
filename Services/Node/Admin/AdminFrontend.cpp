// Routes requests on the admin port and parses announcements.
#include "AdminFrontend.h"

#include <LibNet/FramedConnection.h>

#include <boost/json.hpp>

namespace Sagecrank {

namespace json = boost::json;

namespace {

constexpr std::string_view jsonType = "application/json";
constexpr std::string_view textType = "text/plain";
constexpr std::int64_t maximumSlots = 100000;
constexpr std::size_t maximumVersionLength = 64; // What a gossip message holds.

struct ParsedAnnouncement
{
    UpstreamAnnouncement announcement;
    UpstreamState state = UpstreamState::None;
};

Error invalidAnnouncement(const std::string &message)
{
    return makeError(ErrorKind::InvalidInput, "read announcement", "upstream", message);
}

Result<std::string> textField(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    if (value == nullptr || !value->is_string() || value->as_string().empty())
        return invalidAnnouncement(std::string(key) + " must be a string that is not empty");
    return std::string(value->as_string());
}

Result<ParsedAnnouncement> parseAnnouncement(const std::string &body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object())
        return invalidAnnouncement("the body is not a JSON object");
    const json::object &object = parsed.as_object();

    ParsedAnnouncement result;
    result.announcement.cluster = TRY(textField(object, "cluster"));
    result.announcement.address = TRY(textField(object, "address"));
    if (!parseTcpEndpoint(result.announcement.address))
        return invalidAnnouncement("address must be an ip:port");
    const std::string stateName = TRY(textField(object, "state"));
    const auto state = upstreamStateNames.value(stateName);
    if (!state || *state == UpstreamState::None)
        return invalidAnnouncement("state must be warming, ready, draining or gone");
    result.state = *state;
    const json::value *slots = object.if_contains("slots");
    if (slots == nullptr || !slots->is_int64() || slots->as_int64() < 1 || slots->as_int64() > maximumSlots)
        return invalidAnnouncement("slots must be a whole number from 1 to 100000");
    result.announcement.slots = static_cast<std::uint32_t>(slots->as_int64());
    if (object.contains("version"))
        result.announcement.version = TRY(textField(object, "version"));
    if (result.announcement.version.size() > maximumVersionLength)
        return invalidAnnouncement("version must have at most 64 characters");
    return result;
}

} // namespace

AdminFrontend::AdminFrontend(AdminHooks hooks)
    : hooks(std::move(hooks))
{
}

HttpResponse AdminFrontend::answer(const HttpRequest &request) const
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (request.method == "POST" && path == "/v1/upstream")
        return this->handleAnnouncement(request);
    if (request.method == "POST" && path == "/v1/drain")
        return this->handleDrain();
    if (request.method != "GET")
        return makeResponse(404, textType, "no such command\n");
    if (path == "/health")
        return makeResponse(200, textType, "alive\n");
    if (path == "/ready")
        return this->hooks.ready() ? makeResponse(200, textType, "ready\n")
                                   : makeResponse(503, textType, "not ready\n");
    if (path == "/status")
        return makeResponse(200, jsonType, this->hooks.status());
    if (path == "/metrics")
        return makeResponse(200, "text/plain; version=0.0.4", this->hooks.metrics());
    if (path == "/spans")
        return makeResponse(200, jsonType, this->hooks.spans());
    return makeResponse(404, textType, "no such page\n");
}

HttpResponse AdminFrontend::handleAnnouncement(const HttpRequest &request) const
{
    const Result<ParsedAnnouncement> parsed = parseAnnouncement(request.body);
    if (!parsed)
        return makeResponse(400, textType, parsed.error().describe() + "\n");
    this->hooks.announced(parsed.value().announcement, parsed.value().state);
    return makeResponse(200, jsonType, json::serialize(json::object{{"in_flight", this->hooks.inFlight()}}));
}

HttpResponse AdminFrontend::handleDrain() const
{
    this->hooks.drain();
    return makeResponse(202, jsonType, json::serialize(json::object{{"in_flight", this->hooks.inFlight()}}));
}

} // namespace Sagecrank

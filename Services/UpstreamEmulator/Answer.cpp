// Builds responses and corrupts the marked ones.
#include <UpstreamEmulator/Answer.h>

#include <UpstreamEmulator/ServiceTime.h>

#include <LibHistory/HistoryRecorder.h>

#include <algorithm>
#include <charconv>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumResponseBytes = 1'000'000;

constexpr std::string_view faultHeader = "Sagecrank-Emulator-Fault";
constexpr std::string_view malformedResponse = "\x16\x03 these bytes are no answer\r\n\r\n";

// Removes the header line and returns its value, or an empty string if there is none.
std::string removeHeader(std::string &answer, std::string_view name)
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t at = answer.find(start);
    if (at == std::string::npos || at > answer.find("\r\n\r\n"))
        return {};
    const std::size_t value = at + start.size();
    const std::size_t end = answer.find("\r\n", value);
    std::string said = answer.substr(value, end - value);
    answer.erase(at, end - at);
    return said;
}

std::size_t requestedResponseBytes(std::string_view target)
{
    const std::string_view text = queryValue(target, "answer_bytes");
    std::size_t bytes = 0;
    std::from_chars(text.data(), text.data() + text.size(), bytes);
    return std::min(bytes, maximumResponseBytes);
}

} // namespace

std::string responseBody(const HttpRequest &request)
{
    const std::string_view call = findHeader(request.headers, "Sagecrank-Call-Id");
    std::string body;
    body.reserve(128);
    body.append("call=").append(call).append("\nmethod=").append(request.method);
    body.append("\ntarget=").append(request.target).append("\nbody=");
    body.append(historyDigest(request.body)).append("\n");
    const std::size_t requested = requestedResponseBytes(request.target);
    const std::string_view padding = call.empty() ? std::string_view(".") : call;
    while (body.size() < requested)
        body.append(padding.substr(0, requested - body.size()));
    return body;
}

HttpResponse servedResponse(const HttpRequest &request, std::string_view upstream)
{
    HttpResponse response = makeResponse(200, "text/plain", responseBody(request));
    response.headers.push_back(
        {"Sagecrank-Call-Id", std::string(findHeader(request.headers, "Sagecrank-Call-Id"))});
    response.headers.push_back({"Sagecrank-Upstream-Emulator", std::string(upstream)});
    return response;
}

HttpResponse shedResponse(std::string_view why)
{
    HttpResponse response = makeResponse(503, "text/plain", std::string(why) + "\n");
    response.headers.push_back({"Sagecrank-Outcome", "not-run"});
    return response;
}

HttpResponse errorResponse(std::uint32_t status, std::string_view why)
{
    return makeResponse(status, "text/plain", std::string(why) + "\n");
}

void addFaultHeader(HttpResponse &response, CallFault callFault)
{
    response.headers.push_back({std::string(faultHeader), std::string(callFaultShareKeys.name(callFault))});
}

RawResponse applyMarkedFault(std::string answer)
{
    const std::optional<CallFault> callFault = callFaultShareKeys.value(removeHeader(answer, faultHeader));
    if (!callFault)
        return {std::move(answer), false, {}};
    switch (*callFault) {
    case CallFault::Truncated:
        return {answer.substr(0, answer.find("\r\n\r\n") + 5), true, {}};
    case CallFault::Malformed:
        return {std::string(malformedResponse), true, {}};
    case CallFault::Unframed:
        removeHeader(answer, "Content-Length");
        return {std::move(answer), true, {}};
    case CallFault::Duplicated:
        return {answer + answer, false, {}};
    case CallFault::DuplicatedLate:
    case CallFault::ShedDuplicatedLate:
        return {answer, false, answer};
    default:
        return {std::move(answer), false, {}};
    }
}

} // namespace Sagecrank

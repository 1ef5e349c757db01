// Builds responses and corrupts the marked ones.
#include <UpstreamEmulator/Answer.h>

#include <UpstreamEmulator/ServiceTime.h>

#include <LibHistory/HistoryRecorder.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumResponseBytes = 1'000'000;

constexpr std::string_view callIdHeader = "Sagecrank-Call-Id";
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

HttpResponse responseTo(const HttpRequest &request, std::uint32_t status, std::string body)
{
    HttpResponse response = makeResponse(status, "text/plain", std::move(body));
    const std::string_view call = findHeader(request.headers, callIdHeader);
    if (!call.empty())
        response.headers.push_back({std::string(callIdHeader), std::string(call)});
    return response;
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
    const std::string_view call = findHeader(request.headers, callIdHeader);
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
    HttpResponse response = responseTo(request, 200, responseBody(request));
    response.headers.push_back({"Sagecrank-Upstream-Emulator", std::string(upstream)});
    return response;
}

HttpResponse shedResponse(const HttpRequest &request, std::string_view why)
{
    HttpResponse response = responseTo(request, 503, std::string(why) + "\n");
    response.headers.push_back({"Sagecrank-Outcome", "not-run"});
    return response;
}

HttpResponse errorResponse(const HttpRequest &request, std::uint32_t status, std::string_view why)
{
    return responseTo(request, status, std::string(why) + "\n");
}

void addFaultHeader(HttpResponse &response, CallFault callFault)
{
    response.headers.push_back({std::string(faultHeader), std::string(callFaultShareKeys.name(callFault))});
}

// Encodes the body as one chunk, with more bytes in its extension than anybody should hold.
std::string withLongChunkExtension(std::string answer)
{
    constexpr std::size_t extensionBytes = 1'000'000;
    removeHeader(answer, "Content-Length");
    const std::size_t bodyStart = answer.find("\r\n\r\n") + 4;
    std::array<char, 16> length{};
    const auto written =
        std::to_chars(length.data(), length.data() + length.size(), answer.size() - bodyStart, 16);
    std::string chunk(length.data(), written.ptr);
    chunk.append(";x=").append(extensionBytes, 'x').append("\r\n");
    chunk.append(answer, bodyStart).append("\r\n0\r\n\r\n");
    return answer.substr(0, bodyStart - 2) + "Transfer-Encoding: chunked\r\n\r\n" + chunk;
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
    case CallFault::Oversized:
        return {withLongChunkExtension(std::move(answer)), false, {}};
    case CallFault::InvalidStatus:
        return {answer.replace(answer.find(' ') + 1, 3, "000"), false, {}};
    case CallFault::FoldedHeader:
        return {answer.insert(answer.find("Content-Length:"), " "), true, {}};
    default:
        return {std::move(answer), false, {}};
    }
}

} // namespace Sagecrank

// Builds the answers.
#include <UpstreamEmulator/Answer.h>

#include <UpstreamEmulator/ServiceTime.h>

#include <LibHistory/HistoryRecorder.h>

#include <algorithm>
#include <charconv>

namespace Sagecrank {

namespace {

constexpr std::size_t maximumAnswer = 1'000'000;

std::size_t wantedBytes(std::string_view target)
{
    const std::string_view text = queryValue(target, "answer_bytes");
    std::size_t bytes = 0;
    std::from_chars(text.data(), text.data() + text.size(), bytes);
    return std::min(bytes, maximumAnswer);
}

} // namespace

std::string answerBody(const HttpRequest &request)
{
    const std::string_view call = findHeader(request.headers, "Sagecrank-Call-Id");
    std::string body;
    body.reserve(128);
    body.append("call=").append(call).append("\nmethod=").append(request.method);
    body.append("\ntarget=").append(request.target).append("\nbody=");
    body.append(historyDigest(request.body)).append("\n");
    const std::size_t wanted = wantedBytes(request.target);
    const std::string_view filling = call.empty() ? std::string_view(".") : call;
    while (body.size() < wanted)
        body.append(filling.substr(0, wanted - body.size()));
    return body;
}

HttpResponse servedAnswer(const HttpRequest &request, std::string_view upstream)
{
    HttpResponse response = makeResponse(200, "text/plain", answerBody(request));
    response.headers.push_back(
        {"Sagecrank-Call-Id", std::string(findHeader(request.headers, "Sagecrank-Call-Id"))});
    response.headers.push_back({"Sagecrank-Upstream-Emulator", std::string(upstream)});
    return response;
}

HttpResponse shedAnswer(std::string_view why)
{
    HttpResponse response = makeResponse(503, "text/plain", std::string(why) + "\n");
    response.headers.push_back({"Sagecrank-Outcome", "not-run"});
    return response;
}

HttpResponse failedAnswer(std::uint32_t status, std::string_view why)
{
    return makeResponse(status, "text/plain", std::string(why) + "\n");
}

} // namespace Sagecrank

// The responses of the upstream emulator. Each echoes its request, so that a caller can verify that it
// received the complete response to its own request.
#pragma once

#include <UpstreamEmulator/UpstreamFaults.h>

#include <LibNet/HttpServer.h>

#include <string>
#include <string_view>

namespace Sagecrank {

// The body of a served call, which a caller can compute from its own request:
//   call=<id> LF method=<method> LF target=<target> LF body=<digest of the request's body> LF [padding]
// The padding repeats the call id until the body has `?answer_bytes=` bytes.
std::string responseBody(const HttpRequest &request);

// Each response repeats the id of its call.
HttpResponse servedResponse(const HttpRequest &request, std::string_view upstream);
HttpResponse shedResponse(const HttpRequest &request, std::string_view why);
HttpResponse errorResponse(const HttpRequest &request, std::uint32_t status, std::string_view why);

// A header marks a response that is to be corrupted; the HTTP server removes it and corrupts the encoded
// bytes.
void addFaultHeader(HttpResponse &response, CallFault callFault);
RawResponse applyMarkedFault(std::string answer);

} // namespace Sagecrank

// The answers of the upstream emulator. Each one carries what it answers, so that a caller can check that it
// got the whole answer to its own request and to no other.
#pragma once

#include <UpstreamEmulator/UpstreamFaults.h>

#include <LibNet/HttpServer.h>

#include <string>
#include <string_view>

namespace Sagecrank {

// The body of a served call, which a caller can work out for itself from its own request:
//   call=<id> LF method=<method> LF target=<target> LF body=<digest of the request's body> LF [padding]
// The padding is the call's id over and over until the body has `?answer_bytes=` bytes.
std::string responseBody(const HttpRequest &request);

HttpResponse servedResponse(const HttpRequest &request, std::string_view upstream);
HttpResponse shedResponse(std::string_view why);
HttpResponse errorResponse(std::uint32_t status, std::string_view why);

// An answer that is to be broken says so to its own server, which makes the broken bytes of the whole ones.
void addFaultHeader(HttpResponse &response, CallFault callFault);
RawResponse applyMarkedFault(std::string answer);

} // namespace Sagecrank

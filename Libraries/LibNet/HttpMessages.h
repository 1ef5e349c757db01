// HTTP/1.1 requests and responses as plain values, so that only LibNet's own .cpp files include Beast.
#pragma once

#include <LibCore/Error.h>
#include <LibWire/PeerMessages.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// Compares header names without regard to case, as HTTP requires.
bool headerNamesEqual(std::string_view left, std::string_view right);

// Returns the first value with this name, or an empty view.
std::string_view findHeader(const std::vector<Header> &headers, std::string_view name);

struct HttpRequest
{
    std::string method;
    std::string target;
    std::vector<Header> headers;
    std::string body;
};

// The connection on which a client received a response.
struct ConnectionUse
{
    std::uint64_t connection = 0;     // Numbers the connections of a client from 1.
    std::uint32_t requests = 0;       // Sent on it until then, with this one.
    std::uint32_t staleResponses = 0; // To other requests, skipped before this response.
};

struct HttpResponse
{
    std::uint32_t status = 200;
    std::vector<Header> headers;
    std::string body;
    ConnectionUse receivedOn; // Not set by servers.
};

HttpResponse makeResponse(std::uint32_t status, std::string_view contentType, std::string body);

} // namespace Sagecrank

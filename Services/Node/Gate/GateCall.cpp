// Builds the key under which a call is claimed.
#include "GateCall.h"

#include <LibConfig/Encoding.h>

namespace Sagecrank {

// The address is hashed, since it may be longer than a key of the table may be.
std::string claimKeyOf(const CallRequest &request)
{
    if (request.idempotencyKey.empty())
        return {};
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string address = request.method + " " + path;
    return toHex(digestOf(std::as_bytes(std::span(address)))) + "/" + request.idempotencyKey;
}

} // namespace Sagecrank

// What a call in the gate is claimed under.
#include "GateCall.h"

#include <LibConfig/Encoding.h>

namespace Sagecrank {

// The address is digested: it may be longer than the table lets a key be.
std::string claimKeyOf(const CallRequest &request)
{
    if (request.idempotencyKey.empty())
        return {};
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string address = request.method + " " + path;
    return toHex(digestOf(std::as_bytes(std::span(address)))) + "/" + request.idempotencyKey;
}

} // namespace Sagecrank

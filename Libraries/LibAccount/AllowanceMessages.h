// Messages between the nodes about the allowance of an account. They travel as single datagrams on the gossip
// port, with a first byte of their own, and may be lost or repeated.
#pragma once

#include <LibCore/Error.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Sagecrank {

// The first byte of these datagrams; gossip datagrams begin with their protocol version, which is lower.
inline constexpr std::uint8_t allowanceProtocol = 0xA1;

// Names an account without its name: a node learns the name from its own configuration.
using AccountHash = std::uint64_t;
AccountHash hashAccount(std::string_view name);

// Which of the nodes that rank first for an account is asked.
enum class GranterRole : std::uint8_t {
    Primary, // Grants the account's allowance.
    Backup,  // Grants from a small reserve while the primary does not answer.
};

struct AllowanceRequest
{
    std::uint64_t requestId = 0; // Unique for its sender.
    AccountHash account = 0;
    GranterRole role = GranterRole::Primary;
    std::uint16_t wanted = 0; // Tokens; one for each call.

    bool operator==(const AllowanceRequest &) const = default;
};

enum class GrantResult : std::uint8_t {
    Granted,        // All that was wanted, or less.
    Exhausted,      // The allowance is spent for now.
    NotResponsible, // By the view of the asked node, another one grants for this account.
};

struct AllowanceGrant
{
    std::uint64_t requestId = 0;
    GrantResult result = GrantResult::Granted;
    std::uint16_t granted = 0;
    std::uint32_t retryAfterMilliseconds = 0; // For the callers that got no token.

    bool operator==(const AllowanceGrant &) const = default;
};

using AllowanceMessage = std::variant<AllowanceRequest, AllowanceGrant>;

std::string encodeAllowanceMessage(const AllowanceMessage &message);
// Never throws. Error: InvalidInput.
Result<AllowanceMessage> decodeAllowanceMessage(std::string_view bytes, const std::string &peer);

} // namespace Sagecrank

// The priority of a call at the gates: by its account, its route, and whether a call that runs waits for it.
//
// Load: a service that is called by callers and by calls that run at other services, above its slots. A
// nested call that is refused fails the call that waits for it, after up to a second in a slot.
#pragma once

#include <cstdint>
#include <optional>

namespace Sagecrank {

struct CallPriorityInputs
{
    std::uint32_t routePriority = 1; // As for all of these, 0 is the highest.
    std::optional<std::uint32_t> accountPriority = std::nullopt;
    bool hasAccounts = false; // The site has accounts.
    bool isNested = false;    // An upstream makes the call for a call that it runs.
};

// The priority of an account goes before that of the route. Calls without an account are those of public
// routes and of upstreams; no account goes before them as a whole. Where the site has accounts, nested calls
// go before all others, since accounts with a high priority would otherwise hold them up.
std::uint32_t priorityOfCall(const CallPriorityInputs &call);

} // namespace Sagecrank

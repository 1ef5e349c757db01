// Combines the priorities of a call into one number.
#include <LibDecide/CallPriority.h>

#include <algorithm>

namespace Sagecrank {

std::uint32_t priorityOfCall(const CallPriorityInputs &call)
{
    constexpr std::uint32_t routePriorities = 1 << 16;
    if (!call.hasAccounts)
        return call.routePriority;
    if (call.isNested)
        return 0;
    const std::uint32_t ofAccount = std::min(call.accountPriority.value_or(0), routePriorities - 2);
    return 1 + ofAccount * routePriorities + std::min(call.routePriority, routePriorities - 1);
}

} // namespace Sagecrank

// The timeout of a call, from its caller, its route and the node's maximum.
#include <Node/Callers/CallerFrontend.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct TimeoutRow
{
    const char *what;
    int requested; // Milliseconds; zero when the caller states none.
    int routeTimeout;
    int maximum;
    int expected;
};

const TimeoutRow timeoutRows[] = {
    {"the route's own", 0, 800, 30000, 800},
    {"the caller asks for less", 300, 800, 30000, 300},
    {"the caller asks for more", 5000, 800, 30000, 5000},
    {"the caller asks for more than the node's maximum", 90000, 800, 30000, 30000},
    // The node's maximum limits callers and must not shorten a route's own timeout, such as a minute for a
    // nightly pull.
    {"the route has more than the node's maximum", 0, 60000, 30000, 60000},
    {"and its caller asks for even more", 90000, 60000, 30000, 60000},
};

} // namespace

TABLE_TEST(callTimeout, isTheRequestedOneWithinLimits, timeoutRows)
{
    std::optional<Milliseconds> requested;
    if (row.requested > 0)
        requested = Milliseconds(row.requested);
    const Milliseconds got =
        callTimeout(requested, Milliseconds(row.routeTimeout), Milliseconds(row.maximum));
    cr_assert(got == Milliseconds(row.expected), "%s", row.what);
}

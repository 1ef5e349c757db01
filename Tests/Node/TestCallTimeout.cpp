// How long a call may take, by its caller, its route and the node's maximum.
#include <Node/Callers/CallerFrontend.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct TimeoutRow
{
    const char *what;
    int asked; // Milliseconds; zero when the caller named none.
    int routes;
    int maximum;
    int expected;
};

const TimeoutRow timeoutRows[] = {
    {"the route's own", 0, 800, 30000, 800},
    {"the caller asks for less", 300, 800, 30000, 300},
    {"the caller asks for more", 5000, 800, 30000, 5000},
    {"the caller asks for more than the node's maximum", 90000, 800, 30000, 30000},
    // An operator lets a nightly pull take a minute. The node's maximum is for callers and must not cut it.
    {"the route has more than the node's maximum", 0, 60000, 30000, 60000},
    {"and its caller asks for even more", 90000, 60000, 30000, 60000},
};

} // namespace

TABLE_TEST(callTimeout, isTheCallersWithinBounds, timeoutRows)
{
    std::optional<Milliseconds> asked;
    if (row.asked > 0)
        asked = Milliseconds(row.asked);
    const Milliseconds got = callTimeout(asked, Milliseconds(row.routes), Milliseconds(row.maximum));
    cr_assert(got == Milliseconds(row.expected), "%s", row.what);
}

// The trace header: good ones pass through unchanged, and whatever else a caller sends starts a new trace
// instead of being passed on.
#include <LibObserve/TraceContext.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct HeaderRow
{
    const char *text;
    bool accepted;
    const char *passedOn; // What formatting the parsed context gives.
};

#define TRACE "4bf92f3577b34da6a3ce929d0e0e4736"
#define SPAN "00f067aa0ba902b7"
const HeaderRow headerRows[] = {
    {"00-" TRACE "-" SPAN "-01", true, "00-" TRACE "-" SPAN "-01"},
    {"00-" TRACE "-" SPAN "-00", true, "00-" TRACE "-" SPAN "-00"},
    {"00-" TRACE "-" SPAN "-03", true, "00-" TRACE "-" SPAN "-01"},
    {"cc-" TRACE "-" SPAN "-01-what-the-future-holds", true, "00-" TRACE "-" SPAN "-01"},
    {"cc-" TRACE "-" SPAN "-01.x", false, ""},
    {"00-" TRACE "-" SPAN "-01-more", false, ""},
    {"ff-" TRACE "-" SPAN "-01", false, ""},
    {"00-00000000000000000000000000000000-" SPAN "-01", false, ""},
    {"00-" TRACE "-0000000000000000-01", false, ""},
    {"00-4BF92F3577B34DA6A3CE929D0E0E4736-" SPAN "-01", false, ""},
    {"00-4bf92f3577b34da6a3ce929d0e0e473g-" SPAN "-01", false, ""},
    {"00-" TRACE "-" SPAN "-0", false, ""},
    {"00-" TRACE "-" SPAN, false, ""},
    {"00_" TRACE "-" SPAN "-01", false, ""},
    {"00-" TRACE "--" SPAN "-1", false, ""},
    {"", false, ""},
    {"-----------------------------------------------------------", false, ""},
    {"00-" TRACE "-" SPAN "-\xff\xff", false, ""},
    {"\r\n-" TRACE "-" SPAN "-01", false, ""},
};
#undef TRACE
#undef SPAN

} // namespace

TABLE_TEST(traceContext, headers, headerRows)
{
    const auto context = parseTraceParent(row.text);
    cr_assert(context.has_value() == row.accepted, "%s", row.text);
    if (context)
        cr_assert(formatTraceParent(*context) == row.passedOn, "%s", row.text);
}

Test(traceContext, everyPrefixAndEveryChangedByteIsReadWithoutHarm)
{
    const std::string good = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    for (std::size_t length = 0; length < good.size(); ++length)
        cr_assert(!parseTraceParent(std::string_view(good).substr(0, length)));
    for (std::size_t at = 0; at < good.size(); ++at) {
        for (int byte = 0; byte < 256; ++byte) {
            std::string changed = good;
            changed[at] = static_cast<char>(byte);
            const auto context = parseTraceParent(changed);
            if (context)
                cr_assert(parseTraceParent(formatTraceParent(*context)).has_value());
        }
    }
}

// Names are compared without regard to the case of ASCII letters, and of nothing else.
#include <LibCore/AsciiText.h>
#include <Support/TableTest.h>

#include <unordered_map>

using namespace Sagecrank;

namespace {

struct PairRow
{
    std::string_view left;
    std::string_view right;
    bool same;
};

const PairRow pairRows[] = {
    {"Host", "hOST", true}, {"Host", "Hosts", false}, {"", "", true},
    {"[", "{", false},      {"@", "`", false},        {"\xc4", "\xe4", false},
};

} // namespace

TABLE_TEST(asciiText, comparesLettersWithoutCase, pairRows)
{
    cr_assert(sameWithoutCase(row.left, row.right) == row.same);
    cr_assert((lowerText(row.left) == lowerText(row.right)) == row.same);
    std::unordered_map<std::string_view, int, CaselessHash, CaselessEqual> table{{row.left, 1}};
    cr_assert(table.contains(row.right) == row.same);
}

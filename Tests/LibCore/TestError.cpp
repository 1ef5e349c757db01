// Errors carry the step and the peer, and TRY hands them on unchanged.
#include <LibCore/Error.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct NameRow
{
    ErrorKind kind;
    const char *name;
};

Result<int> halve(int value)
{
    if (value % 2 != 0)
        return makeError(ErrorKind::InvalidInput, "halve", "caller", "the value is odd");
    return value / 2;
}

Result<int> quarter(int value)
{
    const int half = TRY(halve(value));
    return halve(half);
}

const NameRow nameRows[] = {
    {ErrorKind::InvalidInput, "invalid_input"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::Internal, "internal"},
};

} // namespace

TABLE_TEST(error, kindsHaveNames, nameRows)
{
    cr_assert(errorKindNames.name(row.kind) == row.name);
    cr_assert(errorKindNames.value(row.name) == row.kind);
}

Test(error, tryReturnsTheValue)
{
    cr_assert_eq(quarter(8).value(), 2);
}

Test(error, tryKeepsStepAndPeer)
{
    const Result<int> result = quarter(6);
    cr_assert(!result);
    cr_assert(result.error().describe() == "halve (caller): invalid_input: the value is odd");
}

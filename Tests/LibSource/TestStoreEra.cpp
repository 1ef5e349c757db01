// Tests which eras a process accepts from the store and from its peers.
#include <LibSource/StoreEra.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct StatedEra
{
    bool fromPeer;
    const char *text; // A number if it comes from a peer.
};

struct EraRow
{
    const char *what;
    std::vector<StatedEra> stated;
    std::vector<std::uint64_t> notified; // Eras passed to the listener, in order.
    std::optional<std::uint64_t> highest;
    int suspects;
};

const EraRow eraRows[] = {
    {"nothing is stated", {{false, ""}}, {}, std::nullopt, 0},
    {"the first", {{false, "0"}}, {0}, 0, 0},
    {"from the very first on", {{false, "0"}, {false, "1"}}, {0, 1}, 1, 0},
    {"the same again", {{false, "4"}, {false, "4"}}, {4}, 4, 0},
    {"two returns, one of them unseen", {{false, "4"}, {false, "6"}}, {4, 6}, 6, 0},
    {"a late answer of before", {{false, "4"}, {false, "5"}, {false, "4"}, {false, "5"}}, {4, 5}, 5, 1},
    {"one that goes up and down", {{false, "5"}, {false, "4"}, {false, "5"}, {false, "4"}}, {5}, 5, 1},
    {"no number before the first", {{false, "x"}, {false, "x"}}, {}, std::nullopt, 1},
    {"a peer knows first", {{false, "4"}, {true, "5"}, {true, "5"}, {false, "5"}}, {4, 5}, 5, 0},
    {"a peer knows later", {{false, "4"}, {false, "5"}, {true, "5"}, {true, "4"}}, {4, 5}, 5, 0},
    {"a peer before any answer", {{true, "5"}, {false, "5"}}, {5}, 5, 0},
    {"a peer that is wrong hides no return",
     {{false, "4"}, {true, "18446744073709551615"}, {false, "4"}, {false, "5"}, {false, "6"}},
     {4, UINT64_MAX, 5, 6},
     6,
     0},
};

} // namespace

// Accepting a wrong era hides the next restore of the store; rejecting a correct one loses the writes made
// since the copy that was restored.
TABLE_TEST(storeEra, acceptsOnlyHigherEras, eraRows)
{
    StoreEra era;
    std::vector<std::uint64_t> notified;
    int suspects = 0;
    era.addChangeListener([&notified](const EraChange &rise) { notified.push_back(rise.current); });
    era.setSuspectListener([&suspects](const Error &) { ++suspects; });
    for (const StatedEra &one : row.stated) {
        if (one.fromPeer)
            era.observePeerEra(std::stoull(one.text));
        else
            era.observeResponse(one.text, "store");
    }
    cr_assert(notified == row.notified && era.highest() == row.highest && suspects == row.suspects, "%s",
              row.what);
}

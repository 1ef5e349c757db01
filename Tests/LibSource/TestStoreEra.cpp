// What a process makes of the eras that the store and its peers state.
#include <LibSource/StoreEra.h>

#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

struct Word
{
    bool fromPeer;
    const char *text; // Of a peer, a number.
};

struct EraRow
{
    const char *what;
    std::vector<Word> words;
    std::vector<std::uint64_t> told; // Rises, in order.
    std::optional<std::uint64_t> highest;
    int doubts;
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

// An era that is believed wrongly hides the next return; one that is not believed loses what was written
// since the copy.
TABLE_TEST(storeEra, onlyAHigherOneCounts, eraRows)
{
    StoreEra era;
    std::vector<std::uint64_t> told;
    int doubts = 0;
    era.addChangeListener([&told](const EraChange &rise) { told.push_back(rise.current); });
    era.setSuspectListener([&doubts](const Error &) { ++doubts; });
    for (const Word &word : row.words) {
        if (word.fromPeer)
            era.observePeerEra(std::stoull(word.text));
        else
            era.observeResponse(word.text, "store");
    }
    cr_assert(told == row.told && era.highest() == row.highest && doubts == row.doubts, "%s", row.what);
}

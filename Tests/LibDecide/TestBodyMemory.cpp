// Tests which bodies may be held, and that what is reserved is given back.
#include <LibDecide/BodyMemory.h>
#include <Support/TableTest.h>

#include <thread>
#include <vector>

using namespace Sagecrank;

namespace {

constexpr std::uint64_t kilobyte = 1024;
constexpr std::uint64_t limit = 8192 * kilobyte;

struct MemoryRow
{
    const char *name;
    std::uint64_t held; // By other bodies, in small ones.
    std::uint64_t bytes;
    std::uint64_t bodyBytes;
    bool isAdmitted;
};

const MemoryRow memoryRows[] = {
    {"a large body", 0, 4096 * kilobyte, 4096 * kilobyte, true},
    {"a large body that fits exactly", 0, 7168 * kilobyte, 7168 * kilobyte, true},
    {"a large body in the part of small ones", 0, 7169 * kilobyte, 7169 * kilobyte, false},
    {"a small body in that part", 7168 * kilobyte, 64 * kilobyte, 64 * kilobyte, true},
    {"a small piece of a large body in that part", 7168 * kilobyte, 1, 65 * kilobyte, false},
    {"a small body when everything is held", limit, 1, 1, false},
    {"more than a number can hold", kilobyte, UINT64_MAX, UINT64_MAX, false},
};

} // namespace

TABLE_TEST(bodyMemory, admitsBodies, memoryRows)
{
    BodyMemory memory(limit);
    std::vector<BodyMemory::Reservation> others;
    for (std::uint64_t held = 0; held < row.held; held += kilobyte)
        others.push_back(memory.tryReserve(kilobyte, kilobyte));
    const BodyMemory::Reservation reservation = memory.tryReserve(row.bytes, row.bodyBytes);
    cr_expect((reservation != nullptr) == row.isAdmitted);
    cr_expect(memory.heldBytes() == row.held + (row.isAdmitted ? row.bytes : 0));
}

Test(bodyMemory, reservationsOfManyThreadsAreGivenBack)
{
    BodyMemory memory(limit);
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; ++number) {
        threads.emplace_back([&memory] {
            for (int round = 0; round < 10'000; ++round) {
                const BodyMemory::Reservation large = memory.tryReserve(limit / 3, limit / 3);
                const BodyMemory::Reservation small = memory.tryReserve(kilobyte, kilobyte);
                cr_assert(memory.heldBytes() <= limit);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    cr_expect(memory.heldBytes() == 0);
}

// Nodes that know nobody meet over rows of the platform's table, with few calls.
#include <Node/Control/ControlIntroducers.h>

#include <Support/TableTest.h>

#include <map>
#include <memory>
#include <set>

using namespace Sagecrank;

namespace {

// Rows that all nodes of a test share; counts the calls.
class SharedTable
{
public:
    TablePort port()
    {
        TablePort port;
        port.putIf = [this](const ConditionalPut &put, const WriteCallback &callback) {
            ++this->writes;
            if (this->away)
                return callback(makeError(ErrorKind::Unavailable, "write row", "table", "away"));
            this->rows[put.row.key] = put.row;
            callback(success());
        };
        port.query = [this](const QueryRequest &request, const RowsCallback &callback) {
            ++this->reads;
            std::vector<Row> found;
            for (const auto &[key, row] : this->rows) {
                if (key.partition == request.partition)
                    found.push_back(row);
            }
            callback(std::move(found));
        };
        return port;
    }

    std::map<RowKey, Row> rows;
    bool away = false;
    int writes = 0;
    int reads = 0;
};

// A node of the test: knows whom it found, and those know it back, as gossip would have it.
struct MetNode
{
    std::string address;
    std::string zone;
    std::set<std::string> known;
    std::unique_ptr<ControlIntroducers> introducers;
};

class Fleet
{
public:
    void add(const std::string &zone)
    {
        auto node = std::make_unique<MetNode>();
        MetNode *self = node.get();
        node->address = "10.0.0." + std::to_string(this->nodes.size()) + ":1";
        node->zone = zone;
        IntroducerHooks hooks;
        hooks.rank = [this, self] { return this->rankOf(*self); };
        hooks.knowsOthers = [self] { return !self->known.empty(); };
        hooks.found = [this, self](const std::vector<std::string> &addresses, bool) {
            for (const std::string &address : addresses)
                this->meet(*self, address);
        };
        node->introducers = std::make_unique<ControlIntroducers>(
            this->context, zone, node->address, this->table.port(),
            IntroducerTiming{Milliseconds(10), Milliseconds(50), Milliseconds(1000)}, hooks,
            this->nodes.size() + 1);
        this->nodes.push_back(std::move(node));
    }

    void run(Duration length)
    {
        for (const auto &node : this->nodes)
            node->introducers->start();
        this->context.run_for(length);
    }

    bool allMet() const
    {
        return std::ranges::all_of(
            this->nodes, [&](const auto &node) { return node->known.size() + 1 == this->nodes.size(); });
    }

    void rewriteRow()
    {
        for (const auto &node : this->nodes)
            node->introducers->rewriteRow();
    }

    void runOn(Duration length) { this->context.run_for(length); }

    SharedTable table;
    std::vector<std::unique_ptr<MetNode>> nodes;

private:
    std::uint32_t rankOf(const MetNode &self) const
    {
        std::uint32_t rank = 0;
        for (const auto &node : this->nodes)
            rank +=
                node->zone == self.zone && self.known.contains(node->address) && node->address < self.address;
        return rank;
    }

    // Gossip: whoever two know between them, both know.
    void meet(MetNode &self, const std::string &address)
    {
        std::set<std::string> all = self.known;
        all.insert({self.address, address});
        for (const auto &node : this->nodes) {
            if (node->address == address)
                all.insert(node->known.begin(), node->known.end());
        }
        for (const auto &node : this->nodes) {
            if (!all.contains(node->address))
                continue;
            node->known = all;
            node->known.erase(node->address);
        }
    }

    boost::asio::io_context context{1};
};

struct FleetRow
{
    int zones;
    int nodesPerZone;
    int mostCalls; // To the table, until all have met.
};

// With a table that answers at once, 20, 125 and 235 calls when each round wrote and read everything, now 11,
// 65 and 171. Where the table takes 4 ms an answer a node made 11 of them.
const FleetRow fleetRows[] = {{1, 1, 15}, {1, 30, 80}, {3, 26, 200}};

const bool refusesRows[] = {false, true};

} // namespace

// A whole fleet starts at once, and the platform gives several hundred writes a second to everything.
// Everybody must meet within a second, across zones too, with few calls.
TABLE_TEST(introducers, aFleetThatStartsAtOnceMeetsWithFewCalls, fleetRows)
{
    Fleet fleet;
    for (int zone = 0; zone < row.zones; ++zone) {
        for (int node = 0; node < row.nodesPerZone; ++node)
            fleet.add("z" + std::to_string(zone));
    }
    fleet.run(std::chrono::seconds(1));
    cr_assert(fleet.allMet());
    const int calls = fleet.table.writes + fleet.table.reads;
    cr_assert(calls <= row.mostCalls, "%d calls", calls);
}

// The table is away while a node starts. Its row is written by the next round that finds it back.
Test(introducers, aRowThatWasNotWrittenIsWrittenLater)
{
    Fleet fleet;
    fleet.add("z0");
    fleet.table.away = true;
    fleet.run(Milliseconds(40));
    cr_assert(fleet.table.rows.empty() && fleet.table.writes > 0);
    fleet.table.away = false;
    fleet.run(Milliseconds(400));
    cr_assert(!fleet.table.rows.empty());
}

// The table comes back from a copy of before the rows of a zone were written. Who starts then would find
// nobody until they are renewed. Only those who have a place write, and a table that refuses is asked again.
TABLE_TEST(introducers, rowsThatTheTableLostAreWrittenAgain, refusesRows)
{
    Fleet fleet;
    for (int node = 0; node < 8; ++node)
        fleet.add("z0");
    fleet.run(std::chrono::seconds(1));
    cr_assert(fleet.allMet());
    fleet.table.rows.clear();
    fleet.table.writes = 0;
    fleet.table.away = row;
    fleet.rewriteRow();
    cr_assert(fleet.table.writes == introducersPerZone);
    fleet.table.away = false;
    fleet.runOn(row ? Milliseconds(2000) : Milliseconds(0));
    cr_assert(fleet.table.rows.size() == introducersPerZone, "%zu rows", fleet.table.rows.size());
}

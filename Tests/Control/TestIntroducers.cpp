// Nodes that know no other node find each other through the platform's table, with few calls.
#include <Node/Control/ControlIntroducers.h>

#include <Support/TableTest.h>

#include <map>
#include <memory>
#include <set>

using namespace Sagecrank;

namespace {

// A table shared by all nodes of a test; counts the calls.
class SharedTable
{
public:
    TablePort port()
    {
        TablePort port;
        port.putIf = [this](const ConditionalPut &put, const WriteCallback &callback) {
            ++this->writes;
            if (this->unavailable)
                return callback(makeError(ErrorKind::Unavailable, "write row", "table", "unavailable"));
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
    bool unavailable = false;
    int writes = 0;
    int reads = 0;
};

// A simulated node and the addresses of the nodes that it knows.
struct SimulatedNode
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
        auto node = std::make_unique<SimulatedNode>();
        SimulatedNode *self = node.get();
        node->address = "10.0.0." + std::to_string(this->nodes.size()) + ":1";
        node->zone = zone;
        IntroducerHooks hooks;
        hooks.rank = [this, self] { return this->rankOf(*self); };
        hooks.knowsOthers = [self] { return !self->known.empty(); };
        hooks.found = [this, self](const std::vector<std::string> &addresses, bool) {
            for (const std::string &address : addresses)
                this->connect(*self, address);
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

    bool allKnown() const
    {
        return std::ranges::all_of(
            this->nodes, [&](const auto &node) { return node->known.size() + 1 == this->nodes.size(); });
    }

    void rewriteRow()
    {
        for (const auto &node : this->nodes)
            node->introducers->rewriteRow();
    }

    void continueFor(Duration length) { this->context.run_for(length); }

    SharedTable table;
    std::vector<std::unique_ptr<SimulatedNode>> nodes;

private:
    std::uint32_t rankOf(const SimulatedNode &self) const
    {
        std::uint32_t rank = 0;
        for (const auto &node : this->nodes)
            rank +=
                node->zone == self.zone && self.known.contains(node->address) && node->address < self.address;
        return rank;
    }

    // Simulates gossip: both nodes, and all that they know, learn of each other.
    void connect(SimulatedNode &self, const std::string &address)
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
    int maximumCalls; // To the table, until all nodes know each other.
};

// With a table that answers immediately, the rows take 11, 65 and 171 calls; when each round wrote and read
// everything they took 20, 125 and 235. With an answer time of 4 ms, one node made 11 calls.
const FleetRow fleetRows[] = {{1, 1, 15}, {1, 30, 80}, {3, 26, 200}};

const bool unavailableRows[] = {false, true};

const std::string unusableAddresses[] = {"", "not an address", "10.0.0.1:99999", "256.0.0.1:1",
                                         std::string(100'000, '1')};

} // namespace

// A whole fleet starts at once, and the platform allows only several hundred writes a second in total. All
// nodes must know each other within a second, across zones too, with few calls.
TABLE_TEST(introducers, nodesThatStartTogetherFindEachOtherWithFewCalls, fleetRows)
{
    Fleet fleet;
    for (int zone = 0; zone < row.zones; ++zone) {
        for (int node = 0; node < row.nodesPerZone; ++node)
            fleet.add("z" + std::to_string(zone));
    }
    fleet.run(std::chrono::seconds(1));
    cr_assert(fleet.allKnown());
    const int calls = fleet.table.writes + fleet.table.reads;
    cr_assert(calls <= row.maximumCalls, "%d calls", calls);
}

// Guards against rows of another writer that take the places of a zone's introducers, so that nodes contact
// nobody until they overwrite one of them.
TABLE_TEST(introducers, unusableAddressesLeaveTheirPlacesFree, unusableAddresses)
{
    Fleet fleet;
    for (int place = 0; place < static_cast<int>(introducersPerZone); ++place) {
        const RowKey key{"introducers", "z0#" + std::to_string(place)};
        fleet.table.rows[key] = {key, {{"gossip", row}}};
    }
    for (int node = 0; node < 8; ++node)
        fleet.add("z0");
    fleet.run(std::chrono::seconds(1));
    cr_assert(fleet.allKnown(), "%.20s", row.c_str());
}

// The table is unavailable while a node starts. A later round must write the row once it is available.
Test(introducers, failedWriteIsRetried)
{
    Fleet fleet;
    fleet.add("z0");
    fleet.table.unavailable = true;
    fleet.run(Milliseconds(40));
    cr_assert(fleet.table.rows.empty() && fleet.table.writes > 0);
    fleet.table.unavailable = false;
    fleet.run(Milliseconds(400));
    cr_assert(!fleet.table.rows.empty());
}

// The table is restored from a copy that lacks the rows of a zone. A node that starts then would find no
// introducer until the rows are renewed. Only the introducers rewrite their rows, and a failed write is
// retried.
TABLE_TEST(introducers, lostRowsAreRewritten, unavailableRows)
{
    Fleet fleet;
    for (int node = 0; node < 8; ++node)
        fleet.add("z0");
    fleet.run(std::chrono::seconds(1));
    cr_assert(fleet.allKnown());
    fleet.table.rows.clear();
    fleet.table.writes = 0;
    fleet.table.unavailable = row;
    fleet.rewriteRow();
    cr_assert(fleet.table.writes == introducersPerZone);
    fleet.table.unavailable = false;
    fleet.continueFor(row ? Milliseconds(2000) : Milliseconds(0));
    cr_assert(fleet.table.rows.size() == introducersPerZone, "%zu rows", fleet.table.rows.size());
}

// The settings file: valid files are read, and each error names the file, line and key.
#include <Node/NodeSettings.h>

#include <Support/TableTest.h>

#include <string>

using namespace Sagecrank;

namespace {

const std::string validSettings = R"(
[node]
id = "b1"
region = "sjaelland"
zone = "sj-1"
site = "sj-1"
threads = 3
[listen]
callers = "127.0.0.1:8001"
peers = "127.0.0.1:8101"
gossip = "127.0.0.1:8201"
control = "127.0.0.1:8301"
admin = "127.0.0.1:8401"
[platform]
table = "127.0.0.1:9000"
objects = "127.0.0.1:9000"
[gossip]
seeds = ["127.0.0.1:8202"]
)";

struct InvalidRow
{
    const char *what;
    std::string added;   // Appended to the valid settings; starts at line 19.
    const char *problem; // Must be part of the error message.
};

const InvalidRow invalidRows[] = {
    {"unknown key", "introducers = 3\n", "node.toml:19: gossip.introducers: unknown key"},
    {"unknown table", "[drian]\nlinger_ms = 1\n", "node.toml:19: drian: unknown table"},
    {"wrong type", "[drain]\nlinger_ms = \"soon\"\n",
     "node.toml:20: drain.linger_ms: must be a whole number"},
    {"out of range", "[requests]\npeer_silence_ms = 1\n",
     "node.toml:20: requests.peer_silence_ms: must be from 100 to 60000"},
    {"no table", "log = 3\n[log]\nlevel = 1\n", "node.toml:21: log.level: must be a string"},
    {"not a share", "[requests]\nretry_share = 2.5\n",
     "node.toml:20: requests.retry_share: must be a number from 0 to 1"},
    {"not a level", "[log]\nlevel = \"loud\"\n", "node.toml:20: log.level: must be one of debug, info"},
    {"bad address to advertise", "[advertise]\npeers = \"here\"\n",
     "node.toml:20: advertise.peers: wanted ip:port"},
    {"revocation without a store that states its clock", "[accounts]\nrevocation_ms = 5000\n",
     "node.toml: accounts.revocation_ms: needs platform.kind \"rows\""},
    {"an overage that is no share", "[accounts]\nallowance_overage = 3\n",
     "node.toml:20: accounts.allowance_overage: must be a number from 0 to 1"},
    {"not TOML", "[requests\n", "node.toml:19: "},
};

struct AdvertiseRow
{
    const char *added;
    const char *peers;
};

const AdvertiseRow advertiseRows[] = {
    {"", "127.0.0.1:8101"},
    {"[advertise]\n", "127.0.0.1:8101"},
    {"[advertise]\npeers = \"10.0.0.7:9101\"\n", "10.0.0.7:9101"},
};

struct PortRangeRow
{
    const char *value;
    std::optional<PortRange> expected; // Empty: refused.
};

const PortRangeRow portRangeRows[] = {
    {"[7380, 7395]", PortRange{7380, 7395}},
    {"[7395, 7380]", PortRange{7380, 7395}},
    {"[7380, 7380]", PortRange{7380, 7380}},
    {"[7380]", std::nullopt},
    {"[0, 7380]", std::nullopt},
    {"[7380, 70000]", std::nullopt},
    {"[7380, \"x\"]", std::nullopt},
    {"7380", std::nullopt},
};

struct InvalidAddressRow
{
    const char *address;
    const char *problem;
};

const InvalidAddressRow invalidAddressRows[] = {
    {"localhost:80", "the host is not an IP number"},
    {"127.0.0.1", "wanted ip:port"},
    {"127.0.0.1:0", "the port is not a number"},
    {"127.0.0.1:99999", "the port is not a number"},
    {"", "must not be empty"},
};

} // namespace

Test(nodeSettings, readsValidFile)
{
    const Result<NodeSettings> settings = parseNodeSettings(validSettings, "node.toml");
    cr_assert(settings.has_value());
    cr_assert(settings.value().id == "b1");
    cr_assert(settings.value().threads == 3);
    cr_assert(settings.value().seeds == std::vector<std::string>{"127.0.0.1:8202"});
    cr_assert(settings.value().requests.peerSilence == Milliseconds(1000));
}

TABLE_TEST(nodeSettings, advertisesListenAddressByDefault, advertiseRows)
{
    const Result<NodeSettings> settings = parseNodeSettings(validSettings + row.added, "node.toml");
    cr_assert(settings.has_value());
    cr_assert(settings.value().advertise.peers == row.peers);
}

TABLE_TEST(nodeSettings, readsPortRange, portRangeRows)
{
    std::string text = validSettings;
    const std::string before = "[platform]";
    text.insert(text.find(before), std::string("proof_ports = ") + row.value + "\n");
    const Result<NodeSettings> settings = parseNodeSettings(text, "node.toml");
    cr_assert(settings.has_value() == row.expected.has_value(), "%s", row.value);
    if (settings) {
        cr_assert(settings.value().listen.proofPorts == row.expected, "%s", row.value);
        return;
    }
    const std::string message = settings.error().message;
    cr_assert(message.find("listen.proof_ports: must be an array of two ports") != std::string::npos, "%s",
              message.c_str());
}

TABLE_TEST(nodeSettings, errorNamesLineAndKey, invalidRows)
{
    const Result<NodeSettings> settings = parseNodeSettings(validSettings + row.added, "node.toml");
    cr_assert(!settings, "%s", row.what);
    const std::string text = settings.error().message;
    cr_assert(text.find(row.problem) != std::string::npos, "%s: %s", row.what, text.c_str());
}

TABLE_TEST(nodeSettings, rejectsInvalidAddresses, invalidAddressRows)
{
    std::string text = validSettings;
    const std::string validAddress = "127.0.0.1:8101";
    text.replace(text.find(validAddress), validAddress.size(), row.address);
    const Result<NodeSettings> settings = parseNodeSettings(text, "node.toml");
    cr_assert(!settings);
    const std::string message = settings.error().message;
    cr_assert(message.find("node.toml:10: listen.peers: ") != std::string::npos, "%s", message.c_str());
    cr_assert(message.find(row.problem) != std::string::npos, "%s", message.c_str());
}

Test(nodeSettings, reportsAllProblems)
{
    const Result<NodeSettings> settings = parseNodeSettings("[node]\nid = 3\n", "node.toml");
    cr_assert(!settings);
    const std::string text = settings.error().message;
    for (const char *key : {"node.id: must be a string", "node.zone: is missing", "listen.admin: is missing",
                            "platform.table: is missing"})
        cr_assert(text.find(key) != std::string::npos, "%s in: %s", key, text.c_str());
}

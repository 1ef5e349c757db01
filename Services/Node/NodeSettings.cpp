// Reads and validates the settings file.
#include "NodeSettings.h"

#include <LibCore/DurationText.h>
#include <LibNet/FramedConnection.h>
#include <LibObserve/Events.h>

#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>

namespace Sagecrank {

namespace {

// The largest body must fit into the memory for bodies; see bodyMemoryBytes().
constexpr std::int64_t minimumMemoryMb = 96;

constexpr std::int64_t oneMebibyte = std::int64_t{1} << 20;

// Reads the keys of one table, tracks which keys are known, and collects problems.
class SettingsTable
{
public:
    SettingsTable(const toml::table &root, std::string name, const std::string &file,
                  std::vector<std::string> &problems)
        : name(std::move(name))
        , file(file)
        , problems(problems)
    {
        const toml::node *node = root.get(this->name);
        if (node == nullptr)
            return;
        this->table = node->as_table();
        if (this->table == nullptr)
            this->problem(*node, this->name, "must be a table");
    }

    void read(const char *key, std::string &target, bool required)
    {
        const toml::node *node = this->find(key, required);
        if (node == nullptr)
            return;
        const auto value = node->value_exact<std::string>();
        if (!value)
            return this->problem(*node, this->path(key), "must be a string");
        if (required && value->empty())
            return this->problem(*node, this->path(key), "must not be empty");
        target = *value;
    }

    // Reads one of the names in an EnumNames table.
    template <typename Names>
    void readName(const char *key, std::string &target, const Names &names)
    {
        this->read(key, target, false);
        const toml::node *node = this->find(key, false);
        if (node == nullptr || names.value(target))
            return;
        std::string allowed;
        for (const auto &row : names.rows)
            allowed += (allowed.empty() ? "" : ", ") + std::string(row.second);
        this->problem(*node, this->path(key), "must be one of " + allowed);
    }

    bool has(const char *key) { return this->find(key, false) != nullptr; }

    void readAddress(const char *key, std::string &target)
    {
        this->read(key, target, true);
        const toml::node *node = this->find(key, false);
        if (node == nullptr || target.empty())
            return;
        const auto endpoint = parseTcpEndpoint(target);
        if (!endpoint)
            this->problem(*node, this->path(key), endpoint.error().message);
    }

    template <typename Integer>
    void readInteger(const char *key, Integer &target, std::int64_t lowest, std::int64_t highest)
    {
        const toml::node *node = this->find(key, false);
        if (node == nullptr)
            return;
        const auto value = node->value_exact<std::int64_t>();
        if (!value)
            return this->problem(*node, this->path(key), "must be a whole number");
        if (*value < lowest || *value > highest)
            return this->problem(*node, this->path(key),
                                 "must be from " + std::to_string(lowest) + " to " + std::to_string(highest));
        target = static_cast<Integer>(*value);
    }

    void readMilliseconds(const char *key, Milliseconds &target, std::int64_t lowest, std::int64_t highest)
    {
        std::int64_t count = target.count();
        const toml::node *node = this->find(key, false);
        const auto text = node == nullptr ? std::nullopt : node->value_exact<std::string>();
        if (!text) {
            this->readInteger(key, count, lowest, highest);
            target = Milliseconds(count);
            return;
        }
        const std::optional<Milliseconds> duration = parseDuration(*text);
        if (!duration || duration->count() < lowest || duration->count() > highest)
            return this->problem(*node, this->path(key),
                                 "must be a whole number or a time such as \"1500ms\", from "
                                     + std::to_string(lowest) + " to " + std::to_string(highest) + " ms");
        target = *duration;
    }

    void readShare(const char *key, double &target) { this->readAmount(key, target, 1); }

    void readAmount(const char *key, double &target, int highest)
    {
        const toml::node *node = this->find(key, false);
        if (node == nullptr)
            return;
        const auto value = node->value<double>();
        if (!value || *value < 0 || *value > highest)
            return this->problem(*node, this->path(key),
                                 "must be a number from 0 to " + std::to_string(highest));
        target = *value;
    }

    // Takes the two ends in either order.
    void readPortRange(const char *key, std::optional<PortRange> &target)
    {
        const toml::node *node = this->find(key, false);
        if (node == nullptr)
            return;
        constexpr std::int64_t highestPort = 65535;
        const toml::array *ends = node->as_array();
        const auto end = [ends](std::size_t index) {
            const auto port = ends == nullptr || ends->size() != 2
                                  ? std::nullopt
                                  : ends->get(index)->value_exact<std::int64_t>();
            return port && *port >= 1 && *port <= highestPort ? port : std::nullopt;
        };
        if (!end(0) || !end(1))
            return this->problem(*node, this->path(key), "must be an array of two ports");
        const auto [first, last] = std::minmax(*end(0), *end(1));
        target = PortRange{static_cast<std::uint16_t>(first), static_cast<std::uint16_t>(last)};
    }

    void readFlag(const char *key, bool &target)
    {
        const toml::node *node = this->find(key, false);
        if (node == nullptr)
            return;
        const auto value = node->value_exact<bool>();
        if (!value)
            return this->problem(*node, this->path(key), "must be true or false");
        target = *value;
    }

    void readAddresses(const char *key, std::vector<std::string> &target)
    {
        const toml::node *node = this->find(key, false);
        if (node == nullptr)
            return;
        const toml::array *array = node->as_array();
        if (array == nullptr)
            return this->problem(*node, this->path(key), "must be an array of addresses");
        for (const toml::node &element : *array) {
            const auto value = element.value_exact<std::string>();
            if (!value || !parseTcpEndpoint(*value))
                this->problem(element, this->path(key), "must be an ip:port");
            else
                target.push_back(*value);
        }
    }

    void rejectUnknownKeys()
    {
        if (this->table == nullptr)
            return;
        for (const auto &[key, node] : *this->table) {
            if (!this->known.contains(std::string(key.str())))
                this->problem(node, this->path(std::string(key.str())), "unknown key");
        }
    }

private:
    std::string path(const std::string &key) const { return this->name + "." + key; }

    const toml::node *find(const char *key, bool required)
    {
        this->known.insert(key);
        const toml::node *node = this->table == nullptr ? nullptr : this->table->get(key);
        if (node == nullptr && required)
            this->problems.push_back(this->file + ": " + this->path(key) + ": is missing");
        return node;
    }

    void problem(const toml::node &node, const std::string &key, const std::string &message)
    {
        this->problems.push_back(this->file + ":" + std::to_string(node.source().begin.line) + ": " + key
                                 + ": " + message);
    }

    std::string name;
    const std::string &file;
    std::vector<std::string> &problems;
    const toml::table *table = nullptr; // Null if the file has no such table.
    std::set<std::string> known;
};

class SettingsFile
{
public:
    SettingsFile(const toml::table &root, std::string file)
        : root(root)
        , file(std::move(file))
    {
    }

    NodeSettings read()
    {
        NodeSettings settings;
        this->readNode(settings);
        this->readListen(settings.listen);
        this->readAdvertise(settings.advertise, settings.listen);
        this->readPlatform(settings.platform);
        this->readRequests(settings.requests);
        this->readDrain(settings.drain);
        this->section("rollout", [&](SettingsTable &table) {
            table.readShare("exposure_share", settings.rollout.exposureShare);
        });
        this->section("accounts", [&](SettingsTable &table) {
            table.readMilliseconds("revocation_ms", settings.accounts.revocation, 0, 3600000);
            table.readMilliseconds("unknown_key_proof_ms", settings.accounts.unknownKeyProofAge, 0, 60000);
            table.readMilliseconds("allowance_window_ms", settings.accounts.allowanceWindow, 1000, 3600000);
            table.readShare("allowance_overage", settings.accounts.allowanceOverage);
            table.readAmount("allowance_slack", settings.accounts.allowanceSlack, 1'000'000);
        });
        this->section("gossip", [&](SettingsTable &table) { table.readAddresses("seeds", settings.seeds); });
        this->section("history", [&](SettingsTable &table) { table.readFlag("enabled", settings.history); });
        this->section(
            "log", [&](SettingsTable &table) { table.readName("level", settings.logLevel, logLevelNames); });
        this->rejectUnknownTables();
        return settings;
    }

    std::vector<std::string> problems;

private:
    template <typename Read>
    void section(const char *name, Read read)
    {
        this->known.insert(name);
        SettingsTable table(this->root, name, this->file, this->problems);
        read(table);
        table.rejectUnknownKeys();
    }

    void readNode(NodeSettings &settings)
    {
        this->section("node", [&](SettingsTable &table) {
            table.read("id", settings.id, true);
            table.read("region", settings.region, true);
            table.read("zone", settings.zone, true);
            table.read("site", settings.site, true);
            table.readInteger("threads", settings.threads, 1, 64);
            table.readAmount("link_mbps", settings.linkMbps, 1'000'000);
            table.readInteger("memory_mb", settings.memoryMb, minimumMemoryMb, 4'000'000);
        });
    }

    void readListen(NodeSettings::Listen &listen)
    {
        this->section("listen", [&](SettingsTable &table) {
            table.readAddress("callers", listen.callers);
            table.readAddress("peers", listen.peers);
            table.readAddress("gossip", listen.gossip);
            table.readAddress("control", listen.control);
            table.readAddress("admin", listen.admin);
            if (table.has("announcements"))
                table.readAddress("announcements", listen.announcements);
            if (table.has("probe"))
                table.readAddress("probe", listen.probe);
            table.readPortRange("proof_ports", listen.proofPorts);
        });
    }

    void readAdvertise(NodeSettings::Advertise &advertise, const NodeSettings::Listen &listen)
    {
        advertise.peers = listen.peers;
        this->section("advertise", [&](SettingsTable &table) {
            if (table.has("peers"))
                table.readAddress("peers", advertise.peers);
        });
    }

    void readPlatform(NodeSettings::Platform &platform)
    {
        this->section("platform", [&](SettingsTable &table) {
            std::string kind(platformKindNames.name(platform.kind));
            table.readName("kind", kind, platformKindNames);
            platform.kind = platformKindNames.value(kind).value_or(platform.kind);
            if (platform.kind == PlatformKind::Rows) {
                table.readAddress("address", platform.address);
                table.readAddress("upstream", platform.upstream);
                table.read("upstream_service", platform.upstreamService, true);
            } else {
                table.readAddress("table", platform.table);
                table.readAddress("objects", platform.objects);
                table.read("bucket", platform.bucket, false);
            }
            table.read("table_name", platform.tableName, false);
            table.readMilliseconds("announcement_life_ms", platform.announcementLifetime, 100, 600000);
        });
    }

    void readRequests(NodeSettings::Requests &requests)
    {
        this->section("requests", [&](SettingsTable &table) {
            table.readMilliseconds("maximum_timeout_ms", requests.maximumTimeout, 1, 3600000);
            table.readMilliseconds("upstream_idle_ms", requests.upstreamIdle, 0, 3600000);
            table.readMilliseconds("peer_silence_ms", requests.peerSilence, 100, 60000);
            table.readMilliseconds("connect_timeout_ms", requests.connectTimeout, 10, 60000);
            table.readInteger("maximum_connections", requests.maximumConnections, 1, 100000);
            table.readInteger("maximum_header_bytes", requests.maximumHeaderBytes, 1024, oneMebibyte);
            table.readInteger("maximum_body_bytes", requests.maximumBodyBytes, 1024, 2 * oneMebibyte);
            std::string admission(admissionRuleNames.name(requests.admission));
            table.readName("admission", admission, admissionRuleNames);
            requests.admission = admissionRuleNames.value(admission).value_or(requests.admission);
            table.readMilliseconds("zone_kilobyte_ms", requests.zoneKilobyte, 0, 60000);
            table.readShare("retry_share", requests.retryShare);
            table.readAmount("shared_retry_reserve", requests.sharedRetryReserve, 100000);
            table.readAmount("retry_reserve", requests.retryReserve, 100000);
        });
    }

    void readDrain(NodeSettings::Drain &drain)
    {
        this->section("drain", [&](SettingsTable &table) {
            table.readMilliseconds("linger_ms", drain.linger, 0, 600000);
            table.readMilliseconds("maximum_ms", drain.maximum, 0, 3600000);
            table.readMilliseconds("kill_after_ms", drain.killAfter, 0, 3600000);
        });
    }

    void rejectUnknownTables()
    {
        for (const auto &[key, node] : this->root) {
            if (!this->known.contains(std::string(key.str())))
                this->problems.push_back(this->file + ":" + std::to_string(node.source().begin.line) + ": "
                                         + std::string(key.str()) + ": unknown table");
        }
    }

    const toml::table &root;
    std::string file;
    std::set<std::string> known;
};

Error invalidSettings(const std::string &path, const std::string &message)
{
    return makeError(ErrorKind::InvalidInput, "read settings", path, message);
}

} // namespace

Result<NodeSettings> parseNodeSettings(const std::string &text, const std::string &path)
{
    toml::table root;
    try {
        root = toml::parse(text, path);
    } catch (const toml::parse_error &error) {
        const std::string line = std::to_string(error.source().begin.line);
        return invalidSettings(path, path + ":" + line + ": " + std::string(error.description()));
    }
    SettingsFile file(root, path);
    NodeSettings settings = file.read();
    // Proofs of freshness need the clock of the store, which only a store of rows states.
    if (settings.accounts.revocation > Milliseconds(0) && settings.platform.kind != PlatformKind::Rows)
        file.problems.push_back(path + ": accounts.revocation_ms: needs platform.kind \"rows\"");
    if (file.problems.empty())
        return settings;
    std::string message;
    for (const std::string &problem : file.problems)
        message += (message.empty() ? "" : "\n") + problem;
    return invalidSettings(path, message);
}

Result<NodeSettings> readNodeSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return invalidSettings(path, "the file cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return parseNodeSettings(text.str(), path);
}

} // namespace Sagecrank

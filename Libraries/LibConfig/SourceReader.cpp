// Reads one base file or overlay: see SourceModel.h for what comes out of it.
#include <LibConfig/Check.h>
#include <LibConfig/SourceModel.h>

#include <toml++/toml.h>

#include <algorithm>
#include <initializer_list>
#include <limits>
#include <set>

namespace Sagecrank {

namespace {

constexpr std::uint32_t lowestPriority = 1000; // Ranks beyond it only hide a misread file.
constexpr std::int64_t highestWeight = 1'000'000;
constexpr std::size_t maximumErrors = 200; // A file of another format would otherwise fill the screen.

bool isMethod(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
        return letter >= 'A' && letter <= 'Z';
    });
}

// Errors do not repeat secrets.
enum class TextUse : std::uint8_t { Plain, Secret };

// One table of the file. Each read reports a wrong type or value at the value's own line.
class TableReader
{
public:
    TableReader(const toml::table &table, std::string path, const std::string &file,
                std::vector<SourceError> &errors)
        : table(table)
        , path(std::move(path))
        , file(file)
        , errors(errors)
    {
    }

    // A misspelt key would otherwise be ignored, and the operator would believe that it holds.
    void allowOnly(std::initializer_list<std::string_view> known)
    {
        for (const auto &[key, node] : this->table) {
            if (std::find(known.begin(), known.end(), key.str()) == known.end())
                this->fault(key.source(), std::string(key.str()), "unknown key");
        }
    }

    Field<std::string> text(const char *key)
    {
        const toml::node *node = this->table.get(key);
        if (node == nullptr)
            return std::nullopt;
        const auto value = node->value_exact<std::string>();
        if (!value)
            return this->typeFault<std::string>(*node, key, "text");
        if (value->empty() || value->size() > maximumTextLength)
            return this->valueFault<std::string>(*node, key, "is empty or longer than 1024 characters");
        return Placed<std::string>{*value, this->placeOf(*node)};
    }

    Field<bool> flag(const char *key)
    {
        const toml::node *node = this->table.get(key);
        if (node == nullptr)
            return std::nullopt;
        const auto value = node->value_exact<bool>();
        if (!value)
            return this->typeFault<bool>(*node, key, "true or false");
        return Placed<bool>{*value, this->placeOf(*node)};
    }

    Field<std::uint32_t> number(const char *key, std::uint32_t lowest, std::uint32_t highest)
    {
        const toml::node *node = this->table.get(key);
        if (node == nullptr)
            return std::nullopt;
        const auto value = node->value_exact<std::int64_t>();
        if (!value)
            return this->typeFault<std::uint32_t>(*node, key, "a whole number");
        if (*value < lowest || *value > highest)
            return this->valueFault<std::uint32_t>(
                *node, key, "is outside " + std::to_string(lowest) + " to " + std::to_string(highest));
        return Placed<std::uint32_t>{static_cast<std::uint32_t>(*value), this->placeOf(*node)};
    }

    Field<double> decimal(const char *key, double lowest, double highest)
    {
        const toml::node *node = this->table.get(key);
        if (node == nullptr)
            return std::nullopt;
        const auto value = node->value<double>();
        if (!value || !node->is_number())
            return this->typeFault<double>(*node, key, "a number");
        if (!(*value >= lowest && *value <= highest))
            return this->valueFault<double>(*node, key, "is outside the allowed range");
        return Placed<double>{*value, this->placeOf(*node)};
    }

    Field<Milliseconds> duration(const char *key)
    {
        const auto value = this->number(key, 1, static_cast<std::uint32_t>(maximumTimeout.count()));
        if (!value)
            return std::nullopt;
        return Placed<Milliseconds>{Milliseconds(value->value), value->place};
    }

    Field<std::vector<std::string>> texts(const char *key, TextUse use = TextUse::Plain)
    {
        const toml::node *node = this->table.get(key);
        if (node == nullptr)
            return std::nullopt;
        const toml::array *array = node->as_array();
        if (array == nullptr)
            return this->typeFault<std::vector<std::string>>(*node, key, "a list of texts");
        Placed<std::vector<std::string>> all{{}, this->placeOf(*node)};
        for (const toml::node &element : *array) {
            const auto value = element.value_exact<std::string>();
            if (!value)
                return this->typeFault<std::vector<std::string>>(element, key, "a list of texts");
            if (std::find(all.value.begin(), all.value.end(), *value) != all.value.end())
                return this->valueFault<std::vector<std::string>>(
                    element, key,
                    use == TextUse::Secret ? "names a value twice" : "names " + *value + " twice");
            all.value.push_back(*value);
        }
        return all;
    }

    const toml::table *child(const char *key)
    {
        const toml::node *node = this->table.get(key);
        if (node != nullptr && !node->is_table())
            this->typeFault<bool>(*node, key, "a table");
        return node == nullptr ? nullptr : node->as_table();
    }

    void fault(const toml::source_region &region, const std::string &key, const std::string &message)
    {
        if (this->errors.size() >= maximumErrors)
            return;
        const std::string whole = this->path.empty() ? key : this->path + (key.empty() ? "" : "." + key);
        this->errors.push_back({this->file, region.begin.line, whole, message});
    }

    Place placeOf(const toml::node &node) const { return {this->file, node.source().begin.line}; }
    const toml::table &content() const { return this->table; }

    template <typename T>
    Field<T> valueFault(const toml::node &node, const char *key, const std::string &message)
    {
        this->fault(node.source(), key, message);
        return std::nullopt;
    }

private:
    template <typename T>
    Field<T> typeFault(const toml::node &node, const char *key, const std::string &wanted)
    {
        return this->valueFault<T>(node, key, "must be " + wanted);
    }

    const toml::table &table;
    const std::string path;
    const std::string &file;
    std::vector<SourceError> &errors;
};

class SourceReader
{
public:
    SourceReader(const SourceFile &file, FileKind kind, std::vector<SourceError> &errors)
        : file(file)
        , kind(kind)
        , errors(errors)
    {
        this->source.file = file.name;
    }

    FileSource read(const toml::table &root)
    {
        TableReader top = this->reader(root, "");
        if (this->kind == FileKind::Base) {
            top.allowOnly({"mesh", "callers", "cluster", "route", "account"});
            this->readMesh(top);
        } else {
            top.allowOnly({"site", "callers", "cluster", "route", "account"});
            this->source.site = top.text("site");
        }
        if (const toml::table *callers = top.child("callers"))
            this->readCallers(*callers);
        if (const toml::table *clusters = top.child("cluster"))
            this->readClusters(*clusters);
        if (const toml::node *routes = root.get("route"))
            this->readEach(top, *routes, "route",
                           [this](TableReader &reader, const Placed<std::string> &name) {
                               this->source.routes.push_back(this->readRoute(reader, name));
                           });
        if (const toml::node *accounts = root.get("account"))
            this->readEach(top, *accounts, "account",
                           [this](TableReader &reader, const Placed<std::string> &name) {
                               this->source.accounts.push_back(this->readAccount(reader, name));
                           });
        return std::move(this->source);
    }

private:
    TableReader reader(const toml::table &table, std::string path)
    {
        return {table, std::move(path), this->file.name, this->errors};
    }

    void readMesh(TableReader &top)
    {
        const toml::table *mesh = top.child("mesh");
        if (mesh == nullptr) {
            if (top.content().get("mesh") == nullptr)
                this->errors.push_back({this->file.name, 1, "mesh", "missing: [mesh] with a name"});
            return;
        }
        TableReader reader = this->reader(*mesh, "mesh");
        reader.allowOnly({"name"});
        this->source.mesh = reader.text("name");
        if (mesh->get("name") == nullptr)
            reader.fault(mesh->source(), "name", "missing");
    }

    void readCallers(const toml::table &callers)
    {
        TableReader reader = this->reader(callers, "callers");
        reader.allowOnly(
            {"maximum_header_bytes", "maximum_body_bytes", "header_timeout_ms", "idle_timeout_ms"});
        CallersSource &into = this->source.callers;
        into.headerBytes = reader.number("maximum_header_bytes", minimumHeaderBytes, maximumHeaderBytes);
        into.bodyBytes = reader.number("maximum_body_bytes", 1, maximumBodyBytes);
        into.headerTimeout = reader.duration("header_timeout_ms");
        into.idleTimeout = reader.duration("idle_timeout_ms");
    }

    void readClusters(const toml::table &clusters)
    {
        for (const auto &[key, node] : clusters) {
            const std::string name(key.str());
            TableReader all = this->reader(clusters, "cluster");
            if (!node.is_table()) {
                all.fault(node.source(), name, "must be a table");
                continue;
            }
            TableReader reader = this->reader(*node.as_table(), "cluster." + name);
            this->allow(reader, {"maximum_queue", "timeout_ms"}, {"maximum_queue", "timeout_ms", "remove"});
            ClusterSource cluster;
            cluster.place = reader.placeOf(node);
            cluster.maximumQueue = reader.number("maximum_queue", 1, maximumQueueLimit);
            cluster.timeout = reader.duration("timeout_ms");
            cluster.remove = this->removal(reader);
            this->source.clusters.emplace(name, std::move(cluster));
        }
    }

    // Reads the tables of an array, each of which has a name that is unique within the file.
    template <typename ReadOne>
    void readEach(TableReader &top, const toml::node &list, const std::string &what, ReadOne readOne)
    {
        const toml::array *array = list.as_array();
        if (array == nullptr || !array->is_array_of_tables()) {
            top.fault(list.source(), what, "must be written as [[" + what + "]]");
            return;
        }
        std::set<std::string> names;
        for (const toml::node &node : *array) {
            TableReader unnamed = this->reader(*node.as_table(), what);
            const Field<std::string> name = unnamed.text("name");
            if (!name) {
                if (node.as_table()->get("name") == nullptr)
                    unnamed.fault(node.source(), "name", "missing");
                continue;
            }
            TableReader reader = this->reader(*node.as_table(), what + "." + name->value);
            if (!names.insert(name->value).second)
                reader.fault(node.source(), "name", "another " + what + " of this file has this name");
            readOne(reader, *name);
        }
    }

    AccountSource readAccount(TableReader &reader, const Placed<std::string> &name)
    {
        this->allow(reader, {"name", "keys", "priority", "rate_per_second", "burst"},
                    {"name", "keys", "priority", "rate_per_second", "burst", "remove"});
        AccountSource account;
        account.name = name;
        account.keys = reader.texts("keys", TextUse::Secret);
        account.priority = reader.number("priority", 0, lowestPriority);
        account.callsPerSecond = reader.decimal("rate_per_second", 0, maximumAccountRate);
        account.burst = reader.decimal("burst", 0, maximumAccountRate);
        account.remove = this->removal(reader);
        return account;
    }

    RouteSource readRoute(TableReader &reader, const Placed<std::string> &name)
    {
        this->allow(reader,
                    {"name", "prefix", "methods", "cluster", "class", "idempotent", "timeout_ms",
                     "maximum_retries", "hedged", "requires", "host", "priority", "target_latency_ms",
                     "split", "public", "large_responses"},
                    {"name", "prefix", "methods", "cluster", "class", "idempotent", "timeout_ms",
                     "maximum_retries", "hedged", "requires", "host", "priority", "target_latency_ms",
                     "split", "public", "large_responses", "remove"});
        RouteSource route;
        route.name = name;
        route.host = reader.text("host");
        route.priority = reader.number("priority", 0, lowestPriority);
        route.targetLatency = reader.duration("target_latency_ms");
        route.split = this->readSplit(reader);
        route.prefix = this->readPrefix(reader);
        route.methods = this->readMethods(reader);
        route.cluster = reader.text("cluster");
        route.callClass = this->readClass(reader);
        route.idempotent = reader.flag("idempotent");
        route.timeout = reader.duration("timeout_ms");
        route.maximumRetries = reader.number("maximum_retries", 0, maximumRetriesLimit);
        route.hedged = reader.flag("hedged");
        route.isPublic = reader.flag("public");
        route.largeResponses = reader.flag("large_responses");
        route.required = reader.texts("requires");
        route.remove = this->removal(reader);
        return route;
    }

    Field<std::string> readPrefix(TableReader &reader)
    {
        Field<std::string> prefix = reader.text("prefix");
        if (!prefix || prefix->value.starts_with('/'))
            return prefix;
        return reader.valueFault<std::string>(*reader.content().get("prefix"), "prefix",
                                              "does not start with '/'");
    }

    Field<std::vector<std::string>> readMethods(TableReader &reader)
    {
        Field<std::vector<std::string>> methods = reader.texts("methods");
        if (!methods || std::all_of(methods->value.begin(), methods->value.end(), isMethod))
            return methods;
        return reader.valueFault<std::vector<std::string>>(*reader.content().get("methods"), "methods",
                                                           "a method is written in capital letters, as GET");
    }

    Field<CallClass> readClass(TableReader &reader)
    {
        const Field<std::string> text = reader.text("class");
        if (!text)
            return std::nullopt;
        const auto value = callClassNames.value(text->value);
        if (!value)
            return reader.valueFault<CallClass>(*reader.content().get("class"), "class",
                                                "is none of interactive, non_idempotent, batch");
        return Placed<CallClass>{*value, text->place};
    }

    Field<std::vector<WeightedCluster>> readSplit(TableReader &reader)
    {
        const toml::table *table = reader.child("split");
        if (table == nullptr)
            return std::nullopt;
        Placed<std::vector<WeightedCluster>> split{{}, reader.placeOf(*table)};
        for (const auto &[key, node] : *table) {
            const auto weight = node.value_exact<std::int64_t>();
            if (!weight || *weight < 0 || *weight > highestWeight)
                return reader.valueFault<std::vector<WeightedCluster>>(
                    node, "split", "a weight is a whole number from 0 to 1000000");
            split.value.push_back({std::string(key.str()), static_cast<std::uint32_t>(*weight)});
        }
        return split;
    }

    // "remove" is known only in overlays; the base file has nothing to remove from.
    void allow(TableReader &reader, std::initializer_list<std::string_view> inBase,
               std::initializer_list<std::string_view> inOverlay)
    {
        reader.allowOnly(this->kind == FileKind::Base ? inBase : inOverlay);
    }

    bool removal(TableReader &reader)
    {
        if (this->kind == FileKind::Base)
            return false;
        const Field<bool> remove = reader.flag("remove");
        return remove && remove->value;
    }

    const SourceFile &file;
    const FileKind kind;
    std::vector<SourceError> &errors;
    FileSource source;
};

} // namespace

FileSource readSource(const SourceFile &file, FileKind kind, std::vector<SourceError> &errors)
{
    try {
        const toml::table root = toml::parse(file.text, file.name);
        return SourceReader(file, kind, errors).read(root);
    } catch (const toml::parse_error &error) {
        errors.push_back({file.name, error.source().begin.line, "", std::string(error.description())});
    }
    FileSource empty;
    empty.file = file.name;
    return empty;
}

} // namespace Sagecrank

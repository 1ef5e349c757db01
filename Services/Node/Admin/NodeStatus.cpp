// Formats the status of a node as JSON and as metrics.
#include "NodeStatus.h"

#include <boost/json.hpp>

#include <array>

namespace Sagecrank {

namespace json = boost::json;

namespace {

json::object membersObject(const std::array<std::uint64_t, 4> &byState)
{
    json::object members;
    for (const auto &row : memberStateNames.rows)
        members[row.second] = byState[static_cast<std::size_t>(row.first)];
    return members;
}

struct MetricRow
{
    const char *name;
    const char *type;
    const char *help;
    std::uint64_t value;
};

void appendMetric(std::string &text, const MetricRow &row)
{
    const std::string name = std::string("sagecrank_") + row.name;
    text += "# HELP " + name + " " + row.help + "\n# TYPE " + name + " " + row.type + "\n";
    text += name + " " + std::to_string(row.value) + "\n";
}

std::uint64_t wholeSeconds(Duration span)
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(span).count());
}

} // namespace

std::string statusJson(const NodeStatus &status)
{
    const ControlStatus &control = status.control;
    const json::object object{
        {"id", status.id},
        {"region", status.region},
        {"zone", status.zone},
        {"site", status.site},
        {"stage", drainStageNames.name(status.stage)},
        {"ready", control.ready},
        {"version", control.heldVersion},
        {"head_version", control.headVersion},
        {"upstream", upstreamStateNames.name(status.upstream)},
        {"running", status.running},
        {"queued", status.queued},
        {"calls_forwarded", status.callsForwarded},
        {"members", membersObject(control.membersByState)},
        {"health_score", control.healthScore},
        {"head_poll_rank", control.headPollRank},
        {"gossip",
         {{"sent_bytes", control.gossip.sentBytes()}, {"received_bytes", control.gossip.receivedBytes()}}},
        {"pulls",
         {{"from_peers", control.peerPulls},
          {"from_platform", control.platformPulls},
          {"failed", control.pullFailures},
          {"bytes", control.pulledBytes},
          {"whole", control.wholePulls},
          {"served", control.pullsServed},
          {"turned_away", control.pullsRefused},
          {"bytes_served", control.pullBytesServed}}},
        {"table_exchanges",
         {{"begun", control.tableExchanges},
          {"failed", control.tableExchangeFailures},
          {"served", control.tablesServed},
          {"turned_away", control.tablesRefused},
          {"bytes_served", control.tableBytesSent}}},
        {"introducers", {{"reads", control.introducerReads}, {"writes", control.introducerWrites}}},
        {"refused_versions", control.refusedVersions},
        {"platform",
         {{"head_reads", control.headReads},
          {"object_reads", status.platform.objectReads},
          {"table_reads", status.platform.tableReads},
          {"table_writes", status.platform.tableWrites}}},
    };
    return json::serialize(object);
}

std::string controlMetrics(const NodeStatus &status)
{
    const ControlStatus &control = status.control;
    const MetricRow rows[] = {
        {"configuration_version", "gauge", "Version that this node holds.", control.heldVersion},
        {"configuration_head_version", "gauge", "Highest accepted version that this node has heard of.",
         control.headVersion},
        {"configuration_source_age_seconds", "gauge",
         "Since the source of configurations last answered this node.", wholeSeconds(control.sourceAge)},
        {"configuration_source_failures_total", "counter",
         "Reads of the source of configurations that were not answered.", control.headReadFailures},
        {"configuration_refused_total", "counter", "Versions that did not check.", control.refusedVersions},
        {"configuration_pull_failures_total", "counter", "Pulls that brought nothing.", control.pullFailures},
        {"configuration_pulled_bytes_total", "counter", "Bytes of configuration taken in.",
         control.pulledBytes},
        {"configuration_served_bytes_total", "counter", "Bytes of configuration given to peers.",
         control.pullBytesServed},
        {"members_alive", "gauge", "Nodes seen alive, this one included.", control.membersByState[0]},
        {"members_suspect", "gauge", "Nodes that do not answer probes.", control.membersByState[1]},
        {"gossip_sent_bytes_total", "counter", "Bytes of gossip sent.", control.gossip.sentBytes()},
        {"gossip_received_bytes_total", "counter", "Bytes of gossip received.",
         control.gossip.receivedBytes()},
        {"table_exchanges_total", "counter", "Exchanges of member tables that this node began.",
         control.tableExchanges},
        {"table_exchange_failures_total", "counter", "Exchanges of member tables that did not complete.",
         control.tableExchangeFailures},
        {"table_exchanges_served_total", "counter", "Exchanges of member tables served to peers.",
         control.tablesServed},
        {"table_exchange_sent_bytes_total", "counter", "Bytes sent while serving member tables.",
         control.tableBytesSent},
        {"introducer_reads_total", "counter", "Reads of the introducers' rows.", control.introducerReads},
        {"introducer_writes_total", "counter", "Writes of introducers' rows.", control.introducerWrites},
        {"head_reads_total", "counter", "Reads of the head of configurations.", control.headReads},
        {"platform_table_reads_total", "counter", "Reads of the platform's table.",
         status.platform.tableReads},
        {"platform_table_writes_total", "counter", "Items written to the platform's table.",
         status.platform.tableWrites},
        {"platform_object_reads_total", "counter", "Reads of the object store.", status.platform.objectReads},
        {"gate_running", "gauge", "Calls that the upstream runs.", status.running},
        {"gate_queued", "gauge", "Calls that wait for a slot.", status.queued},
        {"calls_forwarded", "gauge", "Callers' calls that are not answered yet.", status.callsForwarded},
    };
    std::string text;
    for (const MetricRow &row : rows)
        appendMetric(text, row);
    return text;
}

} // namespace Sagecrank

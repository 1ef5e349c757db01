// Implements Print.h.
#include <Ctl/Print.h>

#include <boost/json.hpp>

#include <ctime>

namespace json = boost::json;

namespace Sagecrank {

namespace {

std::string formatTime(std::uint64_t seconds)
{
    const auto time = static_cast<std::time_t>(seconds);
    std::tm parts{};
    gmtime_r(&time, &parts);
    char text[32];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

json::array stringArray(const std::vector<std::string> &texts)
{
    return json::array(texts.begin(), texts.end());
}

json::object routeJson(const Route &route)
{
    json::object split;
    for (const WeightedCluster &part : route.split)
        split[part.cluster] = part.weight;
    return {{"name", route.name},
            {"prefix", route.prefix},
            {"methods", stringArray(route.methods)},
            {"class", callClassNames.name(route.callClass)},
            {"idempotent", route.idempotent},
            {"timeout_ms", route.timeout.count()},
            {"maximum_retries", route.maximumRetries},
            {"hedged", route.hedged},
            {"priority", route.priority},
            {"target_latency_ms", route.targetLatency.count()},
            {"host", route.host},
            {"public", route.isPublic},
            {"large_responses", route.largeResponses},
            {"split", std::move(split)}};
}

// Zero: the node's own setting applies.
json::object limitsJson(const CallerLimits &limits)
{
    return {{"maximum_header_bytes", limits.headerBytes},
            {"maximum_body_bytes", limits.bodyBytes},
            {"header_timeout_ms", limits.headerTimeout.count()},
            {"idle_timeout_ms", limits.idleTimeout.count()}};
}

// Never the keys themselves.
json::object accountJson(const Account &account)
{
    return {{"name", account.name},
            {"keys", account.keys.size()},
            {"priority", account.priority},
            {"rate_per_second", account.callsPerSecond},
            {"burst", account.burst}};
}

json::array accountsJson(const std::vector<Account> &accounts)
{
    json::array array;
    for (const Account &account : accounts)
        array.emplace_back(accountJson(account));
    return array;
}

json::object siteJson(const RenderedSite &site)
{
    json::array clusters;
    for (const Section &section : site.sections) {
        json::array routes;
        for (const Route &route : section.routes)
            routes.emplace_back(routeJson(route));
        clusters.emplace_back(json::object{{"cluster", section.cluster},
                                           {"maximum_queue", section.maximumQueue},
                                           {"routes", std::move(routes)}});
    }
    return {{"site", site.site},
            {"callers", limitsJson(site.limits)},
            {"accounts", accountsJson(site.accounts)},
            {"clusters", std::move(clusters)}};
}

json::object historyEntryJson(const HistoryEntry &entry)
{
    json::object object{{"version", entry.version},
                        {"digest", toHex(entry.digest)},
                        {"publish_id", entry.publishId},
                        {"operator", entry.operatorName},
                        {"accepted_at", formatTime(entry.acceptedAt)}};
    if (entry.rolledBackTo != 0)
        object["rolled_back_to"] = entry.rolledBackTo;
    return object;
}

// Parses the node's response; returns the raw text if it is not JSON.
json::value nodeJson(const std::string &response)
{
    json::error_code error;
    json::value value = json::parse(response, error);
    return error ? json::value(response) : value;
}

std::string formatMember(const json::value &node, const char *name)
{
    const json::value *value = node.is_object() ? node.as_object().if_contains(name) : nullptr;
    if (value == nullptr)
        return "?";
    return value->is_string() ? std::string(value->as_string().c_str()) : json::serialize(*value);
}

std::string formatWinner(const HistoryEntry &winner)
{
    std::string text = "version " + std::to_string(winner.version);
    if (!winner.operatorName.empty())
        text += " by " + winner.operatorName + " at " + formatTime(winner.acceptedAt) + " (publish id "
                + winner.publishId + ")";
    return text;
}

std::string formatPublishResult(const PublishResult &result)
{
    switch (result.outcome) {
    case PublishOutcome::Accepted:
        return "accepted: version " + std::to_string(result.version) + " (publish id " + result.publishId
               + ")";
    case PublishOutcome::Conflict:
        return "conflict: " + formatWinner(result.winner)
               + " was accepted first. Nothing was published. Run diff, merge, and publish again with "
                 "--expect "
               + std::to_string(result.winner.version);
    case PublishOutcome::Unknown:
        return "unknown: no answer to the write of version " + std::to_string(result.version)
               + ", and it may still take effect. It was accepted if history shows publish id "
               + result.publishId + ". Last error: " + result.error.describe();
    case PublishOutcome::Failed:
        break;
    }
    return "failed: nothing took effect: " + result.error.describe();
}

} // namespace

void Printer::error(const Error &error) const
{
    if (!this->json) {
        this->errors << "sagecrankctl: " << error.describe() << "\n";
        return;
    }
    this->out << json::object{{"error",
                               {{"kind", errorKindNames.name(error.kind)},
                                {"step", error.step},
                                {"peer", error.peer},
                                {"message", error.message}}}}
              << "\n";
}

void Printer::faults(const std::vector<SourceError> &faults) const
{
    if (!this->json) {
        for (const SourceError &fault : faults)
            this->errors << fault.describe() << "\n";
        this->errors << faults.size() << (faults.size() == 1 ? " fault" : " faults")
                     << "; nothing was published\n";
        return;
    }
    json::array all;
    for (const SourceError &fault : faults)
        all.emplace_back(json::object{
            {"file", fault.file}, {"line", fault.line}, {"key", fault.key}, {"message", fault.message}});
    this->out << json::object{{"valid", false}, {"faults", std::move(all)}} << "\n";
}

void Printer::validated(const RenderResult &result) const
{
    std::size_t clusters = 0;
    std::size_t routes = 0;
    for (const RenderedSite &site : result.sites) {
        clusters += site.sections.size();
        for (const Section &section : site.sections)
            routes += section.routes.size();
    }
    if (this->json)
        this->out << json::object{{"valid", true},
                                  {"mesh", result.mesh},
                                  {"sites", result.sites.size()},
                                  {"clusters", clusters},
                                  {"routes", routes}}
                  << "\n";
    else
        this->out << "valid: mesh " << result.mesh << ", " << result.sites.size() << " sites, " << clusters
                  << " clusters, " << routes << " routes\n";
}

void Printer::sites(const std::vector<RenderedSite> &sites) const
{
    if (this->json) {
        json::array all;
        for (const RenderedSite &site : sites)
            all.emplace_back(siteJson(site));
        this->out << json::object{{"sites", std::move(all)}} << "\n";
        return;
    }
    for (const RenderedSite &site : sites) {
        this->out << "site " << site.site << "\n";
        if (const std::string limits = describeLimits(site.limits); !limits.empty())
            this->out << "  callers " << limits << "\n";
        for (const Account &account : site.accounts)
            this->out << "  account " << account.name << " " << describeAccount(account) << "\n";
        for (const Section &section : site.sections) {
            this->out << "  cluster " << section.cluster << " maximum_queue=" << section.maximumQueue << "\n";
            for (const Route &route : section.routes)
                this->out << "    route " << route.name << " " << describeRoute(route, section.cluster)
                          << "\n";
        }
    }
}

void Printer::accounts(const std::vector<RenderedSite> &sites) const
{
    json::array all;
    for (const RenderedSite &site : sites) {
        all.emplace_back(json::object{{"site", site.site}, {"accounts", accountsJson(site.accounts)}});
        for (const Account &account : site.accounts) {
            if (!this->json)
                this->out << site.site << ": account " << account.name << " " << describeAccount(account)
                          << "\n";
        }
    }
    if (this->json)
        this->out << json::object{{"sites", std::move(all)}} << "\n";
}

void Printer::changes(const std::vector<Change> &changes) const
{
    if (this->json) {
        json::array all;
        for (const Change &change : changes)
            all.emplace_back(json::object{{"kind", changeKindNames.name(change.kind)},
                                          {"site", change.site},
                                          {"what", change.item},
                                          {"before", change.before},
                                          {"after", change.after}});
        this->out << json::object{{"changes", std::move(all)}} << "\n";
        return;
    }
    for (const Change &change : changes) {
        this->out << change.site << ": " << change.item << " " << changeKindNames.name(change.kind) << "\n";
        if (!change.before.empty())
            this->out << "  - " << change.before << "\n";
        if (!change.after.empty())
            this->out << "  + " << change.after << "\n";
    }
    this->out << changes.size() << (changes.size() == 1 ? " change\n" : " changes\n");
}

void Printer::status(const Head &head, const std::vector<NodeStatus> &nodes) const
{
    json::array all;
    for (const NodeStatus &node : nodes) {
        json::object entry{{"address", node.address}};
        if (node.status)
            entry["status"] = nodeJson(node.status.value());
        else
            entry["error"] = node.status.error().describe();
        all.emplace_back(std::move(entry));
    }
    if (this->json) {
        this->out << json::object{{"version", head.version},
                                  {"digest", toHex(head.digest)},
                                  {"publish_id", head.publishId},
                                  {"nodes", std::move(all)}}
                  << "\n";
        return;
    }
    this->out << "version in force: " << head.version;
    if (head.version > 0)
        this->out << " (publish id " << head.publishId << ")";
    this->out << "\n";
    for (const json::value &entry : all) {
        const json::object &node = entry.as_object();
        this->out << "  " << node.at("address").as_string().c_str() << ": ";
        if (const json::value *status = node.if_contains("status"))
            this->out << formatMember(*status, "id") << " zone=" << formatMember(*status, "zone")
                      << " version=" << formatMember(*status, "version")
                      << " ready=" << formatMember(*status, "ready")
                      << " upstream=" << formatMember(*status, "upstream") << "\n";
        else
            this->out << node.at("error").as_string().c_str() << "\n";
    }
}

void Printer::history(const std::vector<HistoryEntry> &entries) const
{
    if (this->json) {
        json::array all;
        for (const HistoryEntry &entry : entries)
            all.emplace_back(historyEntryJson(entry));
        this->out << json::object{{"history", std::move(all)}} << "\n";
        return;
    }
    for (const HistoryEntry &entry : entries) {
        this->out << entry.version << "  " << formatTime(entry.acceptedAt) << "  " << entry.operatorName
                  << "  publish id " << entry.publishId;
        if (entry.rolledBackTo != 0)
            this->out << "  back to the content of " << entry.rolledBackTo;
        this->out << "\n";
    }
}

void Printer::publishResult(const PublishResult &result) const
{
    if (!this->json) {
        std::ostream &stream = result.outcome == PublishOutcome::Accepted ? this->out : this->errors;
        stream << formatPublishResult(result) << "\n";
        return;
    }
    json::object object{{"verdict", publishOutcomeNames.name(result.outcome)},
                        {"version", result.version},
                        {"publish_id", result.publishId}};
    if (result.outcome == PublishOutcome::Conflict)
        object["winner"] = historyEntryJson(result.winner);
    if (result.outcome == PublishOutcome::Failed || result.outcome == PublishOutcome::Unknown)
        object["error"] = result.error.describe();
    this->out << object << "\n";
}

void Printer::rollouts(const std::vector<RolloutRow> &rows) const
{
    json::array array;
    for (const RolloutRow &row : rows) {
        const std::string_view state = rolloutOrderStateNames.name(row.state);
        const std::int64_t duration = wholeMilliseconds(row.order.duration);
        array.push_back(json::object{{"service", row.order.cluster},
                                     {"target", row.order.target},
                                     {"order", row.order.sequence},
                                     {"state", state},
                                     {"duration_ms", duration},
                                     {"operator", row.operatorName}});
        if (!this->json)
            this->out << row.order.cluster << " to " << row.order.target << ": " << state << ", order "
                      << row.order.sequence << " for " << duration << " ms by " << row.operatorName << "\n";
    }
    if (this->json)
        this->out << json::object{{"rollouts", array}} << "\n";
}

void Printer::drainStarted(const std::string &node, const std::string &response) const
{
    if (this->json)
        this->out << json::object{{"node", node}, {"draining", true}, {"answer", nodeJson(response)}} << "\n";
    else
        this->out << node << ": draining, " << response << "\n";
}

} // namespace Sagecrank

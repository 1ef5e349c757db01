// The settings of a node, read from a TOML file and validated as a whole. An error names the file, line and
// key. Unknown keys are errors too, since a misspelt key would otherwise be ignored silently.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

enum class PlatformKind : std::uint8_t {
    Table, // A transactional table and an object store, as used by this project's own publisher.
    Rows,  // A store of rows that also holds the configuration; see platform/.
};

inline constexpr EnumNames<PlatformKind, 2> platformKindNames{{
    {PlatformKind::Table, "table"},
    {PlatformKind::Rows, "rows"},
}};

enum class AdmissionRule : std::uint8_t {
    Classes, // By class of call; each class has a share of the slots.
    Targets, // By the target latency and priority of the route.
};

inline constexpr EnumNames<AdmissionRule, 2> admissionRuleNames{{
    {AdmissionRule::Classes, "classes"},
    {AdmissionRule::Targets, "targets"},
}};

// Both ends belong to it.
struct PortRange
{
    std::uint16_t first = 0;
    std::uint16_t last = 0;

    bool operator==(const PortRange &) const = default;
};

struct NodeSettings
{
    std::string id;
    std::string region;
    std::string zone;
    std::string site;
    double linkMbps = 0;          // Of the host's network link; 0 if unknown.
    std::uint32_t memoryMb = 260; // Of the host, in MiB; bodies of requests may take a part of it.
    std::uint32_t threads = 2;    // Worker threads for requests; the control plane has a thread of its own.

    struct Listen
    {
        std::string callers; // HTTP from callers.
        std::string peers;   // TCP, calls between nodes.
        std::string gossip;  // UDP, membership.
        std::string control; // TCP, configuration pulls.
        std::string admin;   // HTTP from the upstream beside the node and from operators.
        // For a platform with its own requests for these; if empty, only the admin port serves them.
        std::string announcements; // HTTP from the upstream beside the node.
        std::string probe;         // HTTP of the platform's readiness probe.
        // One of these ports, drawn at random, is given to an upstream that has to prove that it still runs.
        // Not set: no such proof is asked for.
        std::optional<PortRange> proofPorts;

        bool operator==(const Listen &) const = default;
    } listen;

    // Where other nodes reach this one if it differs from the listen address, as behind NAT.
    struct Advertise
    {
        std::string peers; // Defaults to the listen address.

        bool operator==(const Advertise &) const = default;
    } advertise;

    struct Platform
    {
        PlatformKind kind = PlatformKind::Table;
        std::string address;  // Address of the store of rows.
        std::string upstream; // Address of the upstream beside the node; if empty, from its announcement.
        std::string upstreamService; // The service of the upstream on this host.
        // An upstream that has not announced itself for this long is considered gone.
        Milliseconds announcementLifetime{3000};
        std::string table;
        std::string objects;
        std::string tableName = "sagecrank";
        std::string bucket = "sagecrank";

        bool operator==(const Platform &) const = default;
    } platform;

    std::vector<std::string> seeds; // Gossip addresses of the nodes to contact first.

    struct Requests
    {
        Milliseconds maximumTimeout{30000}; // Longer deadlines of callers are reduced to this.
        // Idle connections to the upstream are not reused after this. Upstreams that do not state their idle
        // timeout were seen to close connections after ten seconds.
        Milliseconds upstreamIdle{4000};
        Milliseconds peerSilence{1000};   // Closes a connection to another node after this without data.
        Milliseconds connectTimeout{500}; // To another node.
        std::uint32_t maximumConnections = 4096; // From callers, for each worker thread.
        std::uint32_t maximumHeaderBytes = 16 * 1024;
        std::uint32_t maximumBodyBytes = 1024 * 1024;
        AdmissionRule admission = AdmissionRule::Classes;
        // Extra latency that is accepted, for each kilobyte of a call, to keep the call in its zone.
        Milliseconds zoneKilobyte{0};
        double retryShare = 0.1; // Retries allowed for each recent first attempt.
        // A retry budget shared by all nodes, of which each node uses an equal part; 0 disables it.
        double sharedRetryReserve = 0;
        double retryReserve = 10; // Retries allowed in ten seconds for a service with few calls.

        bool operator==(const Requests &) const = default;
    } requests;

    struct Drain
    {
        Milliseconds linger{3000};   // Time for callers and peers to move to other nodes.
        Milliseconds maximum{60000}; // After this the node leaves even if calls still run.
        Milliseconds killAfter{0};   // Time from the signal until the platform kills the process; 0 if never.

        bool operator==(const Drain &) const = default;
    } drain;

    struct Rollout
    {
        double exposureShare = 0.1; // Of a service's calls, that a version on trial may get at most.

        bool operator==(const Rollout &) const = default;
    } rollout;

    struct Accounts
    {
        Milliseconds revocation{0}; // After this a revoked key must not be accepted; 0: not bounded.
        // How old the proof that a configuration is the newest may be to reject an unknown key for good.
        Milliseconds unknownKeyProofAge{1250};
        // In any window the calls of an account may exceed its allowance by this share, and by this many.
        Milliseconds allowanceWindow{5000};
        double allowanceOverage = 0.1;
        double allowanceSlack = 20;

        bool operator==(const Accounts &) const = default;
    } accounts;

    bool history = false;
    std::string logLevel = "info";

    bool operator==(const NodeSettings &) const = default;
};

// The error message lists all problems of the file, one on each line.
Result<NodeSettings> readNodeSettings(const std::string &path);
Result<NodeSettings> parseNodeSettings(const std::string &text, const std::string &path);

} // namespace Sagecrank

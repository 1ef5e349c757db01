// The settings of a node, read from one TOML file and checked as a whole: an error names file, line and key,
// and a key that nobody reads is an error too, since a misspelt one would otherwise be ignored in silence.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Sagecrank {

enum class PlatformKind : std::uint8_t {
    Table, // A transactional table beside an object store, as this project's own publisher uses them.
    Rows,  // A store of rows that also holds the configuration; see platform/.
};

inline constexpr EnumNames<PlatformKind, 2> platformKindNames{{
    {PlatformKind::Table, "table"},
    {PlatformKind::Rows, "rows"},
}};

enum class AdmissionRule : std::uint8_t {
    Classes, // By class of call, with a share of the slots for each.
    Targets, // By target latency and priority of the routes.
};

inline constexpr EnumNames<AdmissionRule, 2> admissionRuleNames{{
    {AdmissionRule::Classes, "classes"},
    {AdmissionRule::Targets, "targets"},
}};

struct NodeSettings
{
    std::string id;
    std::string region;
    std::string zone;
    std::string site;
    double linkMegabits = 0;   // A second, of the host's own link; 0: not told.
    std::uint32_t threads = 2; // That carry requests; control has one of its own.

    struct Listen
    {
        std::string callers; // HTTP from callers.
        std::string peers;   // TCP, calls between nodes.
        std::string gossip;  // UDP, membership.
        std::string control; // TCP, configuration pulls.
        std::string admin;   // HTTP from the upstream beside the node and from operators.
        // For a platform that has its own calls for these; empty: the admin port alone serves them.
        std::string announcements; // HTTP from the upstream beside the node.
        std::string probe;         // HTTP of the platform's readiness probe.

        bool operator==(const Listen &) const = default;
    } listen;

    // Where other nodes reach this one when that is not where it listens, as behind address translation.
    struct Advertise
    {
        std::string peers; // The address it listens on unless given.

        bool operator==(const Advertise &) const = default;
    } advertise;

    struct Platform
    {
        PlatformKind kind = PlatformKind::Table;
        std::string address;         // Of a store of rows.
        std::string upstream;        // The address of the upstream beside the node; empty: as it says itself.
        std::string upstreamService; // The service that runs on this host.
        // An upstream that has not announced itself for this long is gone.
        Milliseconds announcementLife{3000};
        std::string table;
        std::string objects;
        std::string tableName = "sagecrank";
        std::string bucket = "sagecrank";

        bool operator==(const Platform &) const = default;
    } platform;

    std::vector<std::string> seeds; // Gossip addresses of nodes to meet first.

    struct Requests
    {
        Milliseconds maximumTimeout{30000}; // A caller's longer deadline is cut to this.
        // A connection to the upstream that rested longer is not used again. Below the ten seconds after
        // which upstreams that do not state their idle time were seen to close.
        Milliseconds upstreamIdle{4000};
        Milliseconds peerSilence{1000};   // A connection between nodes that is silent this long is given up.
        Milliseconds connectTimeout{500}; // To another node.
        std::uint32_t maximumConnections = 4096; // From callers, for each thread.
        std::uint32_t maximumHeaderBytes = 16 * 1024;
        std::uint32_t maximumBodyBytes = 1024 * 1024;
        AdmissionRule admission = AdmissionRule::Classes;
        // How much later an answer may come for each kilobyte of a call that then stays in its zone.
        Milliseconds zoneKilobyte{0};
        double retryShare = 0.1; // Retries for each recent first try.
        // An allowance of retries that all nodes share, of which each takes an even part; zero: none is
        // shared.
        double sharedRetryReserve = 0;
        double retryReserve = 10; // Retries of a service that is hardly called, for each ten seconds.

        bool operator==(const Requests &) const = default;
    } requests;

    struct Drain
    {
        Milliseconds linger{3000};   // How long peers are given to hear of it.
        Milliseconds maximum{60000}; // After this the node leaves whatever still runs.
        Milliseconds killAfter{0};   // The process is killed so long after its signal; 0 when it is not.

        bool operator==(const Drain &) const = default;
    } drain;

    bool history = false;
    std::string logLevel = "info";

    bool operator==(const NodeSettings &) const = default;
};

// All problems of the file are reported at once, one line each.
Result<NodeSettings> readNodeSettings(const std::string &path);
Result<NodeSettings> parseNodeSettings(const std::string &text, const std::string &path);

} // namespace Sagecrank

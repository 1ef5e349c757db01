// The history events that callers, gates, upstreams, nodes, publishers and the driver of a run record, so
// that checkers can verify the run afterwards. Each event is one struct. Its field names stand only in
// visitFields(), which both the recorder and the reader use.
//
// An event is written before the step that it describes takes effect. A process that is killed right after a
// step has therefore recorded it, and a checker may conclude from a missing event that the step did not
// occur.
#pragma once

#include <LibCore/EnumNames.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Sagecrank {

enum class HistoryEventKind : std::uint8_t {
    ProcessStarted,
    CallerSent,
    CallerAnswered,
    CallerLost,
    GateAdmitted,
    GateStarted,
    GateFinished,
    GateRefused,
    UpstreamBegan,
    UpstreamEnded,
    UpstreamDraining,
    UpstreamLimited,
    NodePlaced,
    NodeOffered,
    NodeSwapped,
    NodeMember,
    PublishAccepted,
    PublishRefused,
    ProcessLaunched,
    ProcessExited,
    FaultBegan,
    FaultEnded,
};

inline constexpr EnumNames<HistoryEventKind, 22> historyEventKindNames{{
    {HistoryEventKind::ProcessStarted, "process.started"},
    {HistoryEventKind::CallerSent, "caller.sent"},
    {HistoryEventKind::CallerAnswered, "caller.answered"},
    {HistoryEventKind::CallerLost, "caller.lost"},
    {HistoryEventKind::GateAdmitted, "gate.admitted"},
    {HistoryEventKind::GateStarted, "gate.started"},
    {HistoryEventKind::GateFinished, "gate.finished"},
    {HistoryEventKind::GateRefused, "gate.refused"},
    {HistoryEventKind::UpstreamBegan, "upstream.began"},
    {HistoryEventKind::UpstreamEnded, "upstream.ended"},
    {HistoryEventKind::UpstreamDraining, "upstream.draining"},
    {HistoryEventKind::UpstreamLimited, "upstream.limited"},
    {HistoryEventKind::NodePlaced, "node.placed"},
    {HistoryEventKind::NodeOffered, "node.offered"},
    {HistoryEventKind::NodeSwapped, "node.swapped"},
    {HistoryEventKind::NodeMember, "node.member"},
    {HistoryEventKind::PublishAccepted, "publish.accepted"},
    {HistoryEventKind::PublishRefused, "publish.refused"},
    {HistoryEventKind::ProcessLaunched, "process.launched"},
    {HistoryEventKind::ProcessExited, "process.exited"},
    {HistoryEventKind::FaultBegan, "fault.began"},
    {HistoryEventKind::FaultEnded, "fault.ended"},
}};

// Written by the recorder as the first event of each process, so that a reader can separate the runs of
// processes with the same name.
struct ProcessStarted
{
    static constexpr HistoryEventKind kind = HistoryEventKind::ProcessStarted;
    std::uint64_t pid = 0;

    static void visitFields(auto &self, auto &&visit) { visit("pid", self.pid); }
};

// A call id belongs to one HTTP request; a retry with the same idempotency key uses a new call id.
struct CallerSent
{
    static constexpr HistoryEventKind kind = HistoryEventKind::CallerSent;
    std::string call; // Header Sagecrank-Call-Id.
    std::string key;  // Idempotency key; empty when there is none.
    std::string method;
    std::string target;
    std::string callClass; // A name from callClassNames.
    bool idempotent = false;
    std::uint64_t deadlineMilliseconds = 0; // Zero when the call has none.
    std::string node;                       // "ip:port" that the request is sent to.
    std::string body;                       // historyDigest() of the request's body.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("key", self.key);
        visit("method", self.method);
        visit("target", self.target);
        visit("class", self.callClass);
        visit("idempotent", self.idempotent);
        visit("deadline_ms", self.deadlineMilliseconds);
        visit("node", self.node);
        visit("body", self.body);
    }
};

// The caller received a complete HTTP response.
struct CallerAnswered
{
    static constexpr HistoryEventKind kind = HistoryEventKind::CallerAnswered;
    std::string call;
    std::uint64_t status = 0;
    std::string outcome; // "done", "not-run" or "unknown", as in the header Sagecrank-Outcome.
    std::string reason;
    bool replayed = false;
    std::string echo; // The call id in the response (header Sagecrank-Call-Id); may be empty.
    std::string body; // historyDigest() of the body as received.
    std::uint64_t retryAfterMilliseconds = 0;

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("status", self.status);
        visit("outcome", self.outcome);
        visit("reason", self.reason);
        visit("replayed", self.replayed);
        visit("echo", self.echo);
        visit("body", self.body);
        visit("retry_after_ms", self.retryAfterMilliseconds);
    }
};

// The caller got no response: its connection failed, was refused or timed out.
struct CallerLost
{
    static constexpr HistoryEventKind kind = HistoryEventKind::CallerLost;
    std::string call;
    std::string reason;
    bool sent = true; // False only when no byte of the request was sent, as when a connection is refused.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("reason", self.reason);
        visit("sent", self.sent);
    }
};

// The gate accepted an attempt, which is one try to run a call on one upstream. The header Sagecrank-Attempt
// holds its id.
struct GateAdmitted
{
    static constexpr HistoryEventKind kind = HistoryEventKind::GateAdmitted;
    std::string call;
    std::string attempt;
    std::string key;
    std::string callClass;

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("attempt", self.attempt);
        visit("key", self.key);
        visit("class", self.callClass);
    }
};

// The attempt holds a slot and is about to be written to the upstream.
struct GateStarted
{
    static constexpr HistoryEventKind kind = HistoryEventKind::GateStarted;
    std::string call;
    std::string attempt;

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("attempt", self.attempt);
    }
};

struct GateFinished
{
    static constexpr HistoryEventKind kind = HistoryEventKind::GateFinished;
    std::string call;
    std::string attempt;
    std::string outcome; // "done", "not-run" or "unknown".

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("attempt", self.attempt);
        visit("outcome", self.outcome);
    }
};

// The gate guarantees that this attempt has not run and never will.
struct GateRefused
{
    static constexpr HistoryEventKind kind = HistoryEventKind::GateRefused;
    std::string call;
    std::string attempt;
    std::string reason;

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("attempt", self.attempt);
        visit("reason", self.reason);
    }
};

// The upstream began to process the request; requests that it sheds are not recorded.
struct UpstreamBegan
{
    static constexpr HistoryEventKind kind = HistoryEventKind::UpstreamBegan;
    std::string call;
    std::string attempt;
    std::string key;
    std::string body; // historyDigest() of the request's body as received.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("attempt", self.attempt);
        visit("key", self.key);
        visit("body", self.body);
    }
};

struct UpstreamEnded
{
    static constexpr HistoryEventKind kind = HistoryEventKind::UpstreamEnded;
    std::string call;
    std::string attempt;
    std::uint64_t status = 0; // Zero when it was cancelled.
    std::string body;         // historyDigest() of the response body as sent.
    bool cancelled = false;   // The connection closed before the work was done.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("attempt", self.attempt);
        visit("status", self.status);
        visit("body", self.body);
        visit("cancelled", self.cancelled);
    }
};

// Written by the upstream when it is told to drain.
struct UpstreamDraining
{
    static constexpr HistoryEventKind kind = HistoryEventKind::UpstreamDraining;
    std::string cluster;
    std::string upstream; // "ip:port" at which it accepts requests.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("cluster", self.cluster);
        visit("upstream", self.upstream);
    }
};

// Written by the upstream when it names another limit in its answers from now on.
struct UpstreamLimited
{
    static constexpr HistoryEventKind kind = HistoryEventKind::UpstreamLimited;
    std::uint64_t callsPerSecond = 0; // Zero when it names none any more.

    static void visitFields(auto &self, auto &&visit) { visit("calls_per_s", self.callsPerSecond); }
};

// A node selected the member whose upstream is to run the attempt.
struct NodePlaced
{
    static constexpr HistoryEventKind kind = HistoryEventKind::NodePlaced;
    std::string call;
    std::string attempt;
    std::string cluster;
    std::string member; // Node id.
    std::uint64_t version = 0;

    static void visitFields(auto &self, auto &&visit)
    {
        visit("call", self.call);
        visit("attempt", self.attempt);
        visit("cluster", self.cluster);
        visit("member", self.member);
        visit("version", self.version);
    }
};

// A node received a version and validated it; only a valid one may be applied.
struct NodeOffered
{
    static constexpr HistoryEventKind kind = HistoryEventKind::NodeOffered;
    std::uint64_t version = 0;
    std::string digest; // Of the site's content, in hex.
    bool valid = false;
    std::string reason; // Why it was rejected; empty when valid.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("version", self.version);
        visit("digest", self.digest);
        visit("valid", self.valid);
        visit("reason", self.reason);
    }
};

// A node replaced the configuration that its request path reads.
struct NodeSwapped
{
    static constexpr HistoryEventKind kind = HistoryEventKind::NodeSwapped;
    std::uint64_t version = 0;
    std::uint64_t previous = 0; // Zero when nothing was held.
    std::string site;
    std::string digest;                     // Of the site's content, in hex.
    std::vector<std::string> clusters;      // Every cluster that the node now has.
    std::vector<std::string> routeClusters; // For each route, its target cluster.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("version", self.version);
        visit("previous", self.previous);
        visit("site", self.site);
        visit("digest", self.digest);
        visit("clusters", self.clusters);
        visit("routes", self.routeClusters);
    }
};

// A node's view of a member, written at each change.
struct NodeMember
{
    static constexpr HistoryEventKind kind = HistoryEventKind::NodeMember;
    std::string member;
    std::uint64_t incarnation = 0;
    std::string state;    // A name from memberStateNames.
    std::string upstream; // A name from upstreamStateNames.
    std::string cluster;

    static void visitFields(auto &self, auto &&visit)
    {
        visit("member", self.member);
        visit("incarnation", self.incarnation);
        visit("state", self.state);
        visit("upstream", self.upstream);
        visit("cluster", self.cluster);
    }
};

// Written once the head row is known to be updated.
struct PublishAccepted
{
    static constexpr HistoryEventKind kind = HistoryEventKind::PublishAccepted;
    std::uint64_t version = 0;
    std::string publish; // Publish id.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("version", self.version);
        visit("publish", self.publish);
    }
};

struct PublishRefused
{
    static constexpr HistoryEventKind kind = HistoryEventKind::PublishRefused;
    std::uint64_t version = 0; // The version that was to be published.
    std::string publish;
    std::string winner; // Publish id that took the version; empty when refused for another reason.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("version", self.version);
        visit("publish", self.publish);
        visit("winner", self.winner);
    }
};

// This event and all below are written by the driver of a run, the only process that knows these facts.
struct ProcessLaunched
{
    static constexpr HistoryEventKind kind = HistoryEventKind::ProcessLaunched;
    std::string target;  // Process name.
    std::string role;    // "node", "upstream", "caller", "platform", "relay", or "address", which
                         // only adds another address of a node.
    std::string address; // "ip:port" at which a node accepts callers' requests; may be empty for other roles.
    std::string node;    // The node that an upstream belongs to; empty for other roles.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("target", self.target);
        visit("role", self.role);
        visit("address", self.address);
        visit("node", self.node);
    }
};

struct ProcessExited
{
    static constexpr HistoryEventKind kind = HistoryEventKind::ProcessExited;
    std::string target;
    std::int64_t status = 0; // Exit status, or the negated number of the signal that killed it.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("target", self.target);
        visit("status", self.status);
    }
};

// The fault name for a node's graceful shutdown, from SIGTERM until its successor is up. It explains only the
// loss of calls whose request was never sent.
inline constexpr std::string_view leavingFault = "leaving";

// The driver began to inject a fault into the target.
struct FaultBegan
{
    static constexpr HistoryEventKind kind = HistoryEventKind::FaultBegan;
    std::string fault;
    std::string target; // Process name.

    static void visitFields(auto &self, auto &&visit)
    {
        visit("fault", self.fault);
        visit("target", self.target);
    }
};

struct FaultEnded
{
    static constexpr HistoryEventKind kind = HistoryEventKind::FaultEnded;
    std::string fault;
    std::string target;

    static void visitFields(auto &self, auto &&visit)
    {
        visit("fault", self.fault);
        visit("target", self.target);
    }
};

using HistoryEvent =
    std::variant<ProcessStarted, CallerSent, CallerAnswered, CallerLost, GateAdmitted, GateStarted,
                 GateFinished, GateRefused, UpstreamBegan, UpstreamEnded, UpstreamDraining, UpstreamLimited,
                 NodePlaced, NodeOffered, NodeSwapped, NodeMember, PublishAccepted, PublishRefused,
                 ProcessLaunched, ProcessExited, FaultBegan, FaultEnded>;

} // namespace Sagecrank

// The catalogue of log events. Each event has a number that never changes its meaning, so that an operator
// can look a line up in docs/EVENTS.md and alarms can match on it; a test keeps the two in step.
#pragma once

#include <LibCore/EnumNames.h>

#include <cstdint>
#include <string_view>

namespace Sagecrank {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

inline constexpr EnumNames<LogLevel, 4> logLevelNames{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

// 1000: a process's life. 2000: configuration. 3000: membership. 4000: requests. 5000: the platform.
// 6000: the upstream beside the node. 7000: the operator's commands. 8000: roll-outs. 9000: emulators.
enum class EventId : std::uint16_t {
    ProcessStarted = 1001,
    ProcessReady = 1002,
    ProcessDraining = 1003,
    ProcessStopped = 1004,
    SettingsInvalid = 1005,
    ListenFailed = 1006,
    EventsSuppressed = 1007,
    SettingsReloaded = 1008,
    SettingsRejected = 1009,

    ConfigurationSwapped = 2001,
    ConfigurationRejected = 2002,
    ConfigurationStale = 2003,
    ConfigurationPullFailed = 2004,
    ConfigurationDoubtful = 2005,

    MemberJoined = 3001,
    MemberSuspected = 3002,
    MemberDead = 3003,
    MemberLeft = 3004,
    MemberUnmet = 3005,
    TableExchanged = 3006,
    TableExchangeFailed = 3007,

    PeerLost = 4002,
    PeerSilent = 4003,
    PeerFrameInvalid = 4004,
    CallerRequestInvalid = 4005,
    CallsRefused = 4006,
    OutcomeUnknown = 4007,
    RetryBudgetSpent = 4008,
    CallEnded = 4009,
    CallAbandoned = 4010,
    CallSentAgain = 4011,
    GateRefused = 4012,
    GateAnswered = 4013,
    RequestQuarantined = 4014,
    RequestReleased = 4015,
    KeysInDoubt = 4016,
    KeysAccepted = 4017,
    AllowanceMessageRefused = 4018,

    SourceLost = 5006,
    SourceRegained = 5007,
    SourceStillLost = 5008,
    StoreReturned = 5009,
    StoreEraDoubtful = 5010,

    ClaimRefused = 5005,

    UpstreamAnnounced = 6001,
    UpstreamReady = 6002,
    UpstreamDraining = 6003,
    UpstreamGone = 6004,
    UpstreamSilent = 6005,
    UpstreamShedding = 6006,
    AnnouncementRefused = 6007,
    DepartureKept = 6008,
    UpstreamRecalled = 6009,
    UpstreamUnrecorded = 6010,
    UpstreamCrashed = 6011,
    UpstreamLimitChanged = 6012,
    UpstreamLimitMalformed = 6013,
    UpstreamUnproven = 6014,
    ProofUnavailable = 6015,

    PublishAccepted = 7001,
    PublishRefused = 7002,
    PublishUncertain = 7003,
    ConfigurationInvalid = 7004,

    RolloutOrdered = 8001,
    RolloutOrderRefused = 8002,
    RolloutStageChanged = 8003,
    RolloutDecided = 8004,
    RolloutRecorded = 8005,
    RolloutUnrecorded = 8006,
    RolloutMessageRefused = 8007,

    EmulatorFaultsSet = 9001,
};

struct EventDescription
{
    EventId id;
    std::string_view name;
    LogLevel level;
    std::string_view text;
};

inline constexpr EventDescription eventCatalogue[] = {
    {EventId::ProcessStarted, "process.started", LogLevel::Info,
     "The process has read its settings and starts."},
    {EventId::ProcessReady, "process.ready", LogLevel::Info, "The process serves."},
    {EventId::ProcessDraining, "process.draining", LogLevel::Info,
     "The process takes nothing new and finishes what it has."},
    {EventId::ProcessStopped, "process.stopped", LogLevel::Info,
     "The process ends; nothing was in flight unless the line says so."},
    {EventId::SettingsInvalid, "settings.invalid", LogLevel::Error,
     "A setting does not check; the process ends."},
    {EventId::ListenFailed, "listen.failed", LogLevel::Error,
     "An address cannot be bound; the process ends."},
    {EventId::EventsSuppressed, "events.suppressed", LogLevel::Warning,
     "Lines of one event were left out because they came too fast."},
    {EventId::SettingsReloaded, "settings.reloaded", LogLevel::Info,
     "The process was told that its settings changed, and took over what can change."},
    {EventId::SettingsRejected, "settings.rejected", LogLevel::Warning,
     "The changed settings do not check; the process goes on as it was."},

    {EventId::ConfigurationSwapped, "configuration.swapped", LogLevel::Info,
     "A newer version is in force on this node."},
    {EventId::ConfigurationRejected, "configuration.rejected", LogLevel::Error,
     "A version did not check and was refused whole; the held one stays."},
    {EventId::ConfigurationStale, "configuration.stale", LogLevel::Debug,
     "A version at or below the held one was offered and ignored."},
    {EventId::ConfigurationPullFailed, "configuration.pull_failed", LogLevel::Warning,
     "A pull from a peer or the platform failed; it is tried elsewhere."},
    {EventId::ConfigurationDoubtful, "configuration.doubtful", LogLevel::Warning,
     "One route of a version could not be read as it stands; the line says what holds for it instead."},

    {EventId::MemberJoined, "member.joined", LogLevel::Info,
     "A node was seen for the first time or came back."},
    {EventId::MemberSuspected, "member.suspected", LogLevel::Info,
     "A node does not answer probes; it may still refute it."},
    {EventId::MemberDead, "member.dead", LogLevel::Warning,
     "A suspected node did not refute in time; it gets no calls."},
    {EventId::MemberLeft, "member.left", LogLevel::Info, "A node said goodbye."},
    {EventId::MemberUnmet, "member.unmet", LogLevel::Info,
     "A row in the table names a node that no member is known at; it is greeted until it answers."},
    {EventId::TableExchanged, "member.table_exchanged", LogLevel::Info,
     "This node and a peer gave each other the member records that one of them lacked."},
    {EventId::TableExchangeFailed, "member.table_exchange_failed", LogLevel::Info,
     "An exchange of member tables did not complete; another follows, with another peer."},

    {EventId::PeerLost, "peer.lost", LogLevel::Warning, "A connection to a peer node broke."},
    {EventId::PeerSilent, "peer.silent", LogLevel::Warning,
     "A connection passed no heartbeat in time and is replaced."},
    {EventId::PeerFrameInvalid, "peer.frame_invalid", LogLevel::Warning,
     "A peer sent a malformed or oversized frame; its connection is closed."},
    {EventId::CallerRequestInvalid, "caller.request_invalid", LogLevel::Info,
     "A caller's request was malformed or too large and was answered with an error."},
    {EventId::CallsRefused, "calls.refused", LogLevel::Info, "Calls were refused as not run."},
    {EventId::OutcomeUnknown, "call.outcome_unknown", LogLevel::Warning,
     "A call was answered as unknown: it may have run."},
    {EventId::RetryBudgetSpent, "retry.budget_spent", LogLevel::Warning,
     "Retries exceed their share of first tries and are held back."},
    {EventId::CallEnded, "call.ended", LogLevel::Info,
     "A caller got its answer: route, version, upstream, tries, outcome and what was left of its time."},
    {EventId::CallAbandoned, "call.abandoned", LogLevel::Info,
     "A caller closed its connection before its answer came."},
    {EventId::CallSentAgain, "call.sent_again", LogLevel::Info, "A call was sent to a further upstream."},
    {EventId::GateRefused, "gate.refused", LogLevel::Info,
     "The gate refused a call before its upstream ran it."},
    {EventId::GateAnswered, "gate.answered", LogLevel::Info,
     "The gate answered a call that it had let through: how long it waited and ran."},

    {EventId::RequestQuarantined, "request.quarantined", LogLevel::Warning,
     "Upstreams crashed again and again while they ran this request; all nodes refuse it for a while."},
    {EventId::RequestReleased, "request.released", LogLevel::Info,
     "A request that was refused since it crashes upstreams may run again."},
    {EventId::KeysInDoubt, "keys.in_doubt", LogLevel::Warning,
     "The configuration is not proven to be recent, so calls with keys are refused for now."},
    {EventId::KeysAccepted, "keys.accepted", LogLevel::Info,
     "The configuration is proven to be recent again; keys are accepted."},
    {EventId::AllowanceMessageRefused, "allowance.message_refused", LogLevel::Warning,
     "A datagram about the allowance of an account could not be read."},

    {EventId::ClaimRefused, "claim.refused", LogLevel::Debug,
     "An idempotency key is claimed by another attempt."},

    {EventId::SourceLost, "source.lost", LogLevel::Warning,
     "The source of configurations does not answer; the held version stays in force."},
    {EventId::SourceRegained, "source.regained", LogLevel::Info,
     "The source of configurations answers again: for how long it did not, and the version that it has."},
    {EventId::SourceStillLost, "source.still_lost", LogLevel::Info,
     "A further read of the source of configurations was not answered."},
    {EventId::StoreReturned, "store.returned", LogLevel::Warning,
     "The platform's store came back from an older copy: it is read anew, and what it lost is written "
     "again."},
    {EventId::StoreEraDoubtful, "store.era_doubtful", LogLevel::Warning,
     "An answer of the store states an era that has fallen, is missing or is no number; the highest stays."},

    {EventId::UpstreamAnnounced, "upstream.announced", LogLevel::Info,
     "An upstream announced itself to this node."},
    {EventId::UpstreamReady, "upstream.ready", LogLevel::Info, "The upstream beside this node takes calls."},
    {EventId::UpstreamDraining, "upstream.draining", LogLevel::Info,
     "The upstream beside this node takes nothing new."},
    {EventId::UpstreamGone, "upstream.gone", LogLevel::Info, "The upstream beside this node said goodbye."},
    {EventId::UpstreamSilent, "upstream.silent", LogLevel::Warning,
     "The upstream beside this node stopped announcing itself and counts as gone."},
    {EventId::UpstreamShedding, "upstream.shedding", LogLevel::Warning,
     "The upstream refused a call as not run although the gate saw a free slot."},
    {EventId::AnnouncementRefused, "announcement.refused", LogLevel::Warning,
     "An announcement could not be read or named no known state; nothing changes."},
    {EventId::DepartureKept, "departure.kept", LogLevel::Info,
     "The platform keeps that the upstream beside this node leaves; its word is confirmed."},
    {EventId::UpstreamRecalled, "upstream.recalled", LogLevel::Info,
     "What an earlier process of this node kept about its upstream was read."},
    {EventId::UpstreamUnrecorded, "upstream.unrecorded", LogLevel::Warning,
     "What is kept about the upstream could not be read or written; its leaving is confirmed only later."},

    {EventId::UpstreamCrashed, "upstream.crashed", LogLevel::Warning,
     "The upstream beside this node ended while it ran calls; all nodes are told which."},
    {EventId::UpstreamLimitChanged, "upstream.limit_changed", LogLevel::Info,
     "The upstream beside this node named another limit on its calls per second, or names none any more."},
    {EventId::UpstreamLimitMalformed, "upstream.limit_malformed", LogLevel::Warning,
     "An answer of the upstream names a limit that is no number of calls; the limit stays as it was."},
    {EventId::UpstreamUnproven, "upstream.unproven", LogLevel::Info,
     "An announcement may be a delayed one of an upstream that left; it must be repeated at another "
     "address."},
    {EventId::ProofUnavailable, "upstream.proof_unavailable", LogLevel::Warning,
     "The port at which an upstream proves that it runs could not be opened."},

    {EventId::PublishAccepted, "publish.accepted", LogLevel::Info,
     "A version was accepted: the head row names it."},
    {EventId::PublishRefused, "publish.refused", LogLevel::Warning,
     "A version lost against another that was published first."},
    {EventId::PublishUncertain, "publish.uncertain", LogLevel::Error,
     "It could not be read back whether the head row moved."},
    {EventId::ConfigurationInvalid, "configuration.invalid", LogLevel::Error,
     "A base file or overlay does not check; nothing was published."},

    {EventId::RolloutOrdered, "rollout.ordered", LogLevel::Info,
     "This node read an order to roll out a version of a service."},
    {EventId::RolloutOrderRefused, "rollout.order_refused", LogLevel::Warning,
     "An order could not be read; the service stays with its established version."},
    {EventId::RolloutStageChanged, "rollout.stage_changed", LogLevel::Info,
     "A roll-out is at this stage for this node, by its own decision or by that of another."},
    {EventId::RolloutDecided, "rollout.decided", LogLevel::Info,
     "This node decided how a roll-out goes on: the reason, and the figures that it was based on."},
    {EventId::RolloutRecorded, "rollout.recorded", LogLevel::Info,
     "The platform keeps the state of a roll-out."},
    {EventId::RolloutUnrecorded, "rollout.unrecorded", LogLevel::Warning,
     "The state of a roll-out could not be written; it is tried again."},
    {EventId::RolloutMessageRefused, "rollout.message_refused", LogLevel::Warning,
     "A peer's message about a roll-out could not be read."},

    {EventId::EmulatorFaultsSet, "emulator.faults_set", LogLevel::Info,
     "An emulator's faults were changed by command."},
};

// The row of an event; every id has one.
constexpr const EventDescription &describeEvent(EventId id)
{
    for (const EventDescription &description : eventCatalogue) {
        if (description.id == id)
            return description;
    }
    return eventCatalogue[0];
}

} // namespace Sagecrank

// Writes the log events of a node.
#include "NodeLog.h"

#include <array>

namespace Sagecrank {

namespace {

EventId eventOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return EventId::MemberJoined;
    case MemberState::Suspect:
        return EventId::MemberSuspected;
    case MemberState::Dead:
        return EventId::MemberDead;
    case MemberState::Left:
        break;
    }
    return EventId::MemberLeft;
}

EventId eventOf(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Ready:
        return EventId::UpstreamReady;
    case UpstreamState::Draining:
        return EventId::UpstreamDraining;
    case UpstreamState::Gone:
        return EventId::UpstreamGone;
    case UpstreamState::None:
    case UpstreamState::Warming:
        break;
    }
    return EventId::UpstreamAnnounced;
}

} // namespace

NodeLog::NodeLog(EventLog &log, std::string ownId)
    : log(log)
    , ownId(std::move(ownId))
{
}

void NodeLog::configurationSwapped(std::uint64_t version, std::uint64_t previous)
{
    this->log.write(EventId::ConfigurationSwapped, {{"version", version}, {"previous", previous}});
}

// Old versions are refused all the time, since updates overtake each other; only an invalid one needs
// attention.
void NodeLog::configurationRefused(std::uint64_t version, const Error &error)
{
    const bool stale = error.kind == ErrorKind::Refused;
    this->log.write(
        stale ? EventId::ConfigurationStale : EventId::ConfigurationRejected,
        {{"version", version}, {"step", error.step}, {"peer", error.peer}, {"message", error.message}});
}

void NodeLog::configurationDoubtful(std::uint64_t version, const Error &doubt)
{
    this->log.write(
        EventId::ConfigurationDoubtful,
        {{"version", version}, {"step", doubt.step}, {"route", doubt.peer}, {"message", doubt.message}});
}

// A version that cannot be decoded is invalid whoever sends it; other errors are transient.
void NodeLog::controlFailed(const Error &error)
{
    const bool unreadable = error.kind == ErrorKind::InvalidInput;
    this->log.write(unreadable ? EventId::ConfigurationRejected : EventId::ConfigurationPullFailed,
                    {{"step", error.step}, {"peer", error.peer}, {"message", error.message}});
}

void NodeLog::sourceFailed(const SourceFailure &failure)
{
    this->log.write(failure.failures == 1 ? EventId::SourceLost : EventId::SourceStillLost,
                    {{"step", failure.error.step},
                     {"peer", failure.error.peer},
                     {"message", failure.error.message},
                     {"waited_ms", wholeMilliseconds(failure.waited)},
                     {"failures", failure.failures},
                     {"retry_in_ms", wholeMilliseconds(failure.retryIn)}});
}

void NodeLog::sourceRecovered(const SourceRecovery &recovery)
{
    this->log.write(EventId::SourceRegained, {{"away_ms", wholeMilliseconds(recovery.outage)},
                                              {"failures", recovery.failures},
                                              {"version", recovery.version}});
}

void NodeLog::storeRestored(const EraChange &rise)
{
    this->log.write(EventId::StoreReturned, {{"era", rise.current}, {"before", rise.previous.value_or(0)}});
}

void NodeLog::storeEraDoubted(const Error &error)
{
    this->log.write(EventId::StoreEraDoubtful,
                    {{"step", error.step}, {"peer", error.peer}, {"message", error.message}});
}

void NodeLog::memberChanged(const Member &member)
{
    if (member.id == this->ownId)
        return;
    const auto [entry, added] = this->loggedStates.try_emplace(member.id, member.state);
    if (!added && entry->second == member.state)
        return;
    entry->second = member.state;
    this->log.write(eventOf(member.state), {{"member", member.id}, {"incarnation", member.incarnation}});
    if (member.state == MemberState::Left || member.state == MemberState::Dead)
        this->loggedStates.erase(entry);
}

// Exchanges that found nothing to give are not logged.
void NodeLog::tableExchanged(const Member &partner, const Result<std::size_t> &records)
{
    if (!records)
        this->log.write(
            EventId::TableExchangeFailed,
            {{"peer", partner.id}, {"step", records.error().step}, {"message", records.error().message}});
    else if (records.value() > 0)
        this->log.write(EventId::TableExchanged,
                        {{"peer", partner.id}, {"zone", partner.zone}, {"records", records.value()}});
}

void NodeLog::introducerUnknown(const std::string &gossipAddress)
{
    this->log.write(EventId::MemberUnmet, {{"peer", gossipAddress}});
}

void NodeLog::announcementRefused(const Error &error)
{
    this->log.write(EventId::AnnouncementRefused,
                    {{"step", error.step}, {"peer", error.peer}, {"message", error.message}});
}

void NodeLog::upstreamRecalled(const PersistedUpstream &upstream)
{
    const std::string serving = upstream.serving ? upstream.serving->instance : "none";
    const std::string leaving = upstream.departures.empty() ? "none" : upstream.departures.back().instance;
    this->log.write(EventId::UpstreamRecalled,
                    {{"serving", serving}, {"leaving", leaving}, {"departures", upstream.departures.size()}});
}

void NodeLog::departuresPersisted(const std::vector<Departure> &departures)
{
    if (departures.empty())
        return;
    const Departure &newest = departures.back();
    this->log.write(EventId::DepartureKept, {{"instance", newest.instance},
                                             {"started_at", newest.startedAt.value_or(0)},
                                             {"reported_at", newest.reportedAt},
                                             {"departures", departures.size()}});
}

void NodeLog::upstreamRecordFailed(const Error &error)
{
    this->log.write(EventId::UpstreamUnrecorded,
                    {{"step", error.step}, {"peer", error.peer}, {"message", error.message}});
}

void NodeLog::upstreamUnproven(const std::string &proofAddress)
{
    this->log.write(EventId::UpstreamUnproven, {{"proof_address", proofAddress}});
}

void NodeLog::proofUnavailable(const Error &error)
{
    this->log.write(EventId::ProofUnavailable,
                    {{"step", error.step}, {"peer", error.peer}, {"message", error.message}});
}

void NodeLog::upstreamSilent(const std::string &cluster)
{
    this->log.write(EventId::UpstreamSilent, {{"cluster", cluster}});
}

void NodeLog::upstreamChanged(const UpstreamAnnouncement &upstream, UpstreamState state)
{
    this->log.write(
        eventOf(state),
        {{"cluster", upstream.cluster}, {"slots", upstream.slots}, {"version", upstream.version}});
}

void NodeLog::requestQuarantined(RequestFingerprint request)
{
    this->log.write(EventId::RequestQuarantined,
                    {{"request", request}, {"crashes", std::uint64_t{crashesToQuarantine}}});
}

void NodeLog::requestReleased(RequestFingerprint request)
{
    this->log.write(EventId::RequestReleased, {{"request", request}});
}

} // namespace Sagecrank

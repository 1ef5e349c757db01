// Maps state changes of a node to log events.
#pragma once

#include <Node/Control/ControlFollower.h>
#include <Node/Upstream/UpstreamPresence.h>

#include <LibCore/Error.h>
#include <LibDecide/CrashQuarantine.h>
#include <LibMembership/Member.h>
#include <LibObserve/EventLog.h>
#include <LibSource/StoreEra.h>

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Sagecrank {

// Used on the control thread.
class NodeLog
{
public:
    NodeLog(EventLog &log, std::string ownId);

    void configurationSwapped(std::uint64_t version, std::uint64_t previous);
    void configurationRefused(std::uint64_t version, const Error &error);
    void configurationDoubtful(std::uint64_t version, const Error &doubt);
    void controlFailed(const Error &error);
    void sourceFailed(const SourceFailure &failure);
    void sourceRecovered(const SourceRecovery &recovery);
    void storeRestored(const EraChange &rise);
    void storeEraDoubted(const Error &error);
    void memberChanged(const Member &member);
    void tableExchanged(const Member &partner, const Result<std::size_t> &records);
    void introducerUnknown(const std::string &gossipAddress);
    void announcementRefused(const Error &error);
    void upstreamRecalled(const PersistedUpstream &upstream);
    void departuresPersisted(const std::vector<Departure> &departures);
    void upstreamRecordFailed(const Error &error);
    void upstreamUnproven(const std::string &proofAddress);
    void proofUnavailable(const Error &error);
    void upstreamSilent(const std::string &cluster);
    void upstreamChanged(const UpstreamAnnouncement &upstream, UpstreamState state);
    void requestQuarantined(RequestFingerprint request);
    void requestReleased(RequestFingerprint request);

private:
    EventLog &log;
    const std::string ownId;
    std::unordered_map<std::string, MemberState> loggedStates; // By member id.
};

} // namespace Sagecrank

// This node's part of the request quarantine: publishes the crashes of its upstream to the other nodes, and
// lets its request threads read the quarantine that follows from the notices of all nodes.
#pragma once

#include "QuarantineHooks.h"
#include <Node/Upstream/CrashHistory.h>

#include <LibCore/RcuPointer.h>
#include <LibMembership/Datagram.h>

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace Sagecrank {

struct RequestQuarantineHooks
{
    // Sends a notice to all nodes including this one; called from any thread.
    std::function<void(const Notice &)> publish;
    // The upstream next to this node crashed while these were running; called from any thread, after they
    // were published.
    std::function<void(const std::vector<Notice> &)> crashesReported;
    std::function<void(RequestFingerprint)>
        quarantined; // A request is refused from now on. Called on the control thread, like `released`.
    std::function<void(RequestFingerprint)> released;
    std::function<std::uint64_t()> random; // Generates crash ids; called from any thread.
};

class RequestQuarantine
{
public:
    explicit RequestQuarantine(RequestQuarantineHooks hooks);

    // Hooks for the request threads.
    QuarantineHooks requestHooks();

    // Takes all notices that this node holds. Control thread only.
    void update(Instant now, const std::vector<Notice> &notices);

private:
    std::optional<Duration> remainingQuarantine(const CallRequest &request) const;
    void reportCrash(const std::vector<RequestFingerprint> &requests) const;
    void reportAnswer(const CallRequest &request);
    void clearRecentlyAnswered(Instant now, const std::vector<CrashReport> &reports) const;
    void reportChanges(const CrashQuarantine &next);

    // The state that request threads read; null until the first notice.
    struct View
    {
        std::vector<CrashReport> reports;
        CrashQuarantine quarantine;
    };

    const RequestQuarantineHooks hooks;
    RcuPointer<View> view;
    mutable std::mutex mutex;                          // Guards recentAnswers; held only for single accesses.
    RecentAnswers recentAnswers;                       // Answers of this node's upstream.
    std::vector<RequestFingerprint> previouslyRefused; // Control thread only.
};

// Convert notices to stored crashes and back, with the lifetime that is left at `now` (Unix milliseconds).
std::vector<CrashRecord> keptCrashes(const std::vector<Notice> &notices, std::uint64_t now);
std::vector<Notice> noticesOf(const std::vector<CrashRecord> &crashes, std::uint64_t now);

} // namespace Sagecrank

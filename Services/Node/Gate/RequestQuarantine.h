// This node's part in keeping requests away from the upstreams that they crash: it tells the other nodes of
// crashes beside it, and lets its request threads read what all nodes together know.
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
    std::function<void(const Notice &)> publish; // To all nodes, this one included; from any thread.
    // The upstream beside this node crashed under these; from any thread, after they were announced.
    std::function<void(const std::vector<Notice> &)> crashesReported;
    std::function<void(RequestFingerprint)>
        quarantined; // From now on; on the control thread, like the next one.
    std::function<void(RequestFingerprint)> released;
    std::function<std::uint64_t()> random; // Names crashes; from any thread.
};

class RequestQuarantine
{
public:
    explicit RequestQuarantine(RequestQuarantineHooks hooks);

    // For request threads.
    QuarantineHooks requestHooks();

    // All notices that this node holds; on the control thread.
    void update(Instant now, const std::vector<Notice> &notices);

private:
    std::optional<Duration> refusedFor(const CallRequest &request) const;
    void crashed(const std::vector<RequestFingerprint> &requests) const;
    void answered(const CallRequest &request);
    void clearAnswered(Instant now, const std::vector<CrashReport> &reports) const;
    void logChanges(const CrashQuarantine &next);

    // What request threads read. Null until the first notice.
    struct View
    {
        std::vector<CrashReport> reports;
        CrashQuarantine quarantine;
    };

    const RequestQuarantineHooks hooks;
    RcuPointer<View> view;
    mutable std::mutex mutex;                      // Guards what follows; held for no longer than a look-up.
    RecentAnswers recentAnswers;                   // Of this node's upstream.
    std::vector<RequestFingerprint> refusedBefore; // On the control thread.
};

// As crashes are kept, and back: with the life that is left of them at `now` (Unix milliseconds).
std::vector<KeptCrash> keptCrashes(const std::vector<Notice> &notices, std::uint64_t now);
std::vector<Notice> noticesOf(const std::vector<KeptCrash> &crashes, std::uint64_t now);

} // namespace Sagecrank

// Advances the head row to the next version at most once and determines whether it took effect. The head and
// the history row of the new version are written in one transaction.
//
// The transaction may take effect although its response is lost. Reporting a failure then would make the
// operator publish again, and two versions would be in force one after the other; reporting success might be
// wrong because another operator won. The transaction is conditional on the head that was read, so it can be
// repeated and takes effect at most once. The history row contains the publish id, so it tells who published
// a version even after the head has advanced further.
#pragma once

#include <LibSource/Head.h>
#include <LibSource/Retry.h>

#include <functional>

namespace Sagecrank {

enum class PublishOutcome : std::uint8_t {
    Accepted, // The head advanced to this version. It takes effect within seconds and is never undone.
    Conflict, // Another version was accepted first; this one never will be.
    Failed,   // Nothing took effect or ever will.
    Unknown,  // It may have taken effect or still may. The history tells by publish id.
};

inline constexpr EnumNames<PublishOutcome, 4> publishOutcomeNames{{
    {PublishOutcome::Accepted, "accepted"},
    {PublishOutcome::Conflict, "conflict"},
    {PublishOutcome::Failed, "failed"},
    {PublishOutcome::Unknown, "unknown"},
}};

struct PublishResult
{
    PublishOutcome outcome = PublishOutcome::Failed;
    std::uint64_t version = 0; // The version accepted or attempted, or zero.
    std::string publishId;
    HistoryEntry winner; // Conflict: the accepted version. Has no operator if only the version is known.
    Error error;         // Failed and Unknown: the cause.
};

using PublishCallback = std::function<void(const PublishResult &)>;

// The operation keeps itself alive until it has invoked the callback. `next` is the version after `from`.
void advanceHead(TablePort table, Scheduler scheduler, RetryPolicy policy, const Head &from,
                 const HistoryEntry &next, PublishCallback callback);

} // namespace Sagecrank

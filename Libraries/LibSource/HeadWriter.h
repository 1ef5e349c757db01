// Moves the head row from one version to the next, exactly once or not at all, and knows afterwards which.
// The head and the history row of the new version are one transaction.
//
// Failure: the transaction takes effect and its answer is lost. Symptom without care: an operator is told
// "refused", publishes again, and two versions are in force one after the other; or is told "accepted" though
// another operator won. Why this is enough: the transaction is conditional on the head that was seen, so it
// can be sent any number of times and takes effect at most once; and the history row carries the publish id,
// which tells whose version it was even after the head has moved on.
#pragma once

#include <LibSource/Head.h>
#include <LibSource/Retry.h>

#include <functional>

namespace Sagecrank {

enum class PublishOutcome : std::uint8_t {
    Accepted, // The head moved to this version; it is in force within seconds and never reverts.
    Conflict, // Another version was accepted first; this one never will be.
    Failed,   // Nothing took effect and nothing will.
    Unknown,  // Not known, and it may still take effect. History tells by publish id.
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
    std::uint64_t version = 0; // Accepted: the new one. Otherwise the one that was tried, or zero.
    std::string publishId;
    HistoryEntry winner; // Conflict: who won. Its operator is empty when only the version is known.
    Error error;         // Failed and Unknown: why.
};

using PublishCallback = std::function<void(const PublishResult &)>;

// Stays alive until its callback has been called. `next` is the version after `from`.
void advanceHead(TablePort table, Scheduler later, RetryPolicy policy, const Head &from,
                 const HistoryEntry &next, PublishCallback callback);

} // namespace Sagecrank

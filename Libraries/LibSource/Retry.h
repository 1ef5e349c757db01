// Retries idempotent operations of the platform: reads, and writes of content-addressed objects. Writes of
// the head and of claims have their own retry logic; see HeadWriter.h, ClaimManager.h and ClaimFinalizer.h.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <functional>

namespace Sagecrank {

// Runs the function after the delay, never from within the call.
using Scheduler = std::function<void(Duration, std::function<void()>)>;

struct RetryPolicy
{
    std::uint32_t attempts = 5;
    Milliseconds backoff{100}; // Doubles after each attempt.
    Milliseconds maximumBackoff{2000};
};

inline bool isRetryable(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::Timeout || kind == ErrorKind::Refused;
}

template <typename T>
void withRetries(RetryPolicy policy, const Scheduler &scheduler,
                 const std::function<void(std::function<void(Result<T>)>)> &operation,
                 std::function<void(Result<T>)> done)
{
    operation([policy, scheduler, operation, done = std::move(done)](Result<T> result) mutable {
        if (result || policy.attempts <= 1 || !isRetryable(result.assume_error().kind))
            return done(std::move(result));
        const Milliseconds wait = policy.backoff;
        --policy.attempts;
        policy.backoff = std::min(policy.backoff * 2, policy.maximumBackoff);
        scheduler(wait, [policy, scheduler, operation, done] {
            withRetries<T>(policy, scheduler, operation, done);
        });
    });
}

} // namespace Sagecrank

// Repeats an operation of the platform that may be repeated without harm: a read, or a write of an object
// that is named by its content. Writes of the head and of claims do not go through here; see their own
// classes.
#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <functional>

namespace Sagecrank {

// Runs the event after the delay, never at once.
using Scheduler = std::function<void(Duration, std::function<void()>)>;

struct RetryPolicy
{
    std::uint32_t attempts = 5;
    Milliseconds backoff{100}; // Doubles after each try.
    Milliseconds maximumBackoff{2000};
};

inline bool isRetryable(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::Timeout || kind == ErrorKind::Refused;
}

template <typename T>
void withRetries(RetryPolicy policy, const Scheduler &later,
                 const std::function<void(std::function<void(Result<T>)>)> &operation,
                 std::function<void(Result<T>)> done)
{
    operation([policy, later, operation, done = std::move(done)](Result<T> result) mutable {
        if (result || policy.attempts <= 1 || !isRetryable(result.assume_error().kind))
            return done(std::move(result));
        const Milliseconds wait = policy.backoff;
        --policy.attempts;
        policy.backoff = std::min(policy.backoff * 2, policy.maximumBackoff);
        later(wait, [policy, later, operation, done] { withRetries<T>(policy, later, operation, done); });
    });
}

} // namespace Sagecrank

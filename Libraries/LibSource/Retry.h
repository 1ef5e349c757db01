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
using Later = std::function<void(Duration, std::function<void()>)>;

struct RetryPlan
{
    std::uint32_t tries = 5;
    Milliseconds backoff{100}; // Doubles after each try.
    Milliseconds maximumBackoff{2000};
};

inline bool worthRepeating(ErrorKind kind)
{
    return kind == ErrorKind::Unavailable || kind == ErrorKind::Timeout || kind == ErrorKind::Refused;
}

template <typename T>
void withRetries(RetryPlan plan, const Later &later,
                 const std::function<void(std::function<void(Result<T>)>)> &operation,
                 std::function<void(Result<T>)> done)
{
    operation([plan, later, operation, done = std::move(done)](Result<T> result) mutable {
        if (result || plan.tries <= 1 || !worthRepeating(result.assume_error().kind))
            return done(std::move(result));
        const Milliseconds wait = plan.backoff;
        --plan.tries;
        plan.backoff = std::min(plan.backoff * 2, plan.maximumBackoff);
        later(wait, [plan, later, operation, done] { withRetries<T>(plan, later, operation, done); });
    });
}

} // namespace Sagecrank

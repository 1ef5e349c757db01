// Typed errors of every part. An error says what kind it is, at which step it arose and with which peer,
// so that a log line or a command's message can be acted on without a debugger.
#pragma once

#include <LibCore/EnumNames.h>

#include <boost/outcome.hpp>

#include <string>
#include <utility>

namespace Sagecrank {

enum class ErrorKind {
    InvalidInput, // What the operator or the peer sent does not check; sending it again cannot help.
    NotFound,
    Conflict,    // Somebody else changed the same thing first.
    Unavailable, // Not reachable now; nothing took effect.
    Timeout,     // No answer in time; whether it took effect is not known.
    Refused,     // The peer declined the work, and it did not take effect.
    TooLarge,
    Internal,
};

inline constexpr EnumNames<ErrorKind, 8> errorKindNames{{
    {ErrorKind::InvalidInput, "invalid_input"},
    {ErrorKind::NotFound, "not_found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::Timeout, "timeout"},
    {ErrorKind::Refused, "refused"},
    {ErrorKind::TooLarge, "too_large"},
    {ErrorKind::Internal, "internal"},
}};

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string step; // What was being done, such as "read head row".
    std::string peer; // Address, file or name of the other side; empty when there is none.
    std::string message;

    std::string describe() const
    {
        std::string text = this->step;
        if (!this->peer.empty())
            text += " (" + this->peer + ")";
        return text + ": " + std::string(errorKindNames.name(this->kind)) + ": " + this->message;
    }
};

template <typename T>
using Result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

inline Error makeError(ErrorKind kind, std::string step, std::string peer, std::string message)
{
    return Error{kind, std::move(step), std::move(peer), std::move(message)};
}

} // namespace Sagecrank

// Takes the value out of a Result, or returns its error from the function that the macro stands in.
#define TRY(expression)                                                                                      \
    ({                                                                                                       \
        auto tryResult = (expression);                                                                       \
        if (!tryResult)                                                                                      \
            return ::Sagecrank::failure(std::move(tryResult).assume_error());                                \
        std::move(tryResult).assume_value();                                                                 \
    })

// The same for a Result<void>.
#define TRY_VOID(expression)                                                                                 \
    do {                                                                                                     \
        auto tryResult = (expression);                                                                       \
        if (!tryResult)                                                                                      \
            return ::Sagecrank::failure(std::move(tryResult).assume_error());                                \
    } while (false)

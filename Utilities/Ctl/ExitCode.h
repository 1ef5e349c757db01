// Exit codes of sagecrankctl. Scripts depend on the numbers, so their meaning never changes.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <LibSource/HeadWriter.h>

#include <cstdint>
#include <string>

namespace Sagecrank {

enum class ExitCode : std::uint8_t {
    Success = 0,
    Differs = 1,
    Usage = 2,
    InvalidInput = 3,
    Conflict = 4,
    Unavailable = 5,
    Unknown = 6,
    NotFound = 7,
    Internal = 8,
};

inline constexpr EnumNames<ExitCode, 9> exitCodeNames{{
    {ExitCode::Success, "success"},
    {ExitCode::Differs, "differs"},
    {ExitCode::Usage, "usage"},
    {ExitCode::InvalidInput, "invalid_input"},
    {ExitCode::Conflict, "conflict"},
    {ExitCode::Unavailable, "unavailable"},
    {ExitCode::Unknown, "unknown"},
    {ExitCode::NotFound, "not_found"},
    {ExitCode::Internal, "internal"},
}};

inline constexpr EnumNames<ExitCode, 9> exitCodeDescriptions{{
    {ExitCode::Success, "done as asked"},
    {ExitCode::Differs, "diff: the two sides differ"},
    {ExitCode::Usage, "wrong usage; nothing was tried"},
    {ExitCode::InvalidInput, "files or arguments do not check; nothing took effect"},
    {ExitCode::Conflict, "another version was accepted first; it is named, and this one never will be"},
    {ExitCode::Unavailable, "platform or node not reachable; nothing took effect, run it again"},
    {ExitCode::Unknown, "no answer to a write; look at history before running it again"},
    {ExitCode::NotFound, "no such version, site or object"},
    {ExitCode::Internal, "a fault of sagecrankctl or of what the platform holds"},
}};

ExitCode exitCodeOf(const Error &error);
ExitCode exitCodeOf(const PublishResult &result);

// Returns the table of exit codes for --help.
std::string exitCodeHelp();

} // namespace Sagecrank

// Implements ExitCode.h.
#include <Ctl/ExitCode.h>

namespace Sagecrank {

ExitCode exitCodeOf(const Error &error)
{
    switch (error.kind) {
    case ErrorKind::InvalidInput:
    case ErrorKind::TooLarge:
        return ExitCode::InvalidInput;
    case ErrorKind::NotFound:
        return ExitCode::NotFound;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::Unavailable:
    case ErrorKind::Refused:
    case ErrorKind::Timeout: // Of a read or an object; head writes report PublishOutcome::Unknown.
        return ExitCode::Unavailable;
    case ErrorKind::Internal:
        break;
    }
    return ExitCode::Internal;
}

ExitCode exitCodeOf(const PublishResult &result)
{
    switch (result.outcome) {
    case PublishOutcome::Accepted:
        return ExitCode::Success;
    case PublishOutcome::Conflict:
        return ExitCode::Conflict;
    case PublishOutcome::Unknown:
        return ExitCode::Unknown;
    case PublishOutcome::Failed:
        break;
    }
    return exitCodeOf(result.error);
}

std::string exitCodeHelp()
{
    std::string text = "Exit codes:\n";
    for (const auto &row : exitCodeDescriptions.rows)
        text += "  " + std::to_string(static_cast<int>(row.first)) + "  " + std::string(row.second) + "\n";
    return text;
}

} // namespace Sagecrank

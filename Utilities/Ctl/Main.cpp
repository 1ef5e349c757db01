// sagecrankctl: the command line tool of operators.
#include <Ctl/Arguments.h>
#include <Ctl/Commands.h>
#include <Ctl/Print.h>
#include <Ctl/Queries.h>

#include <iostream>

using namespace Sagecrank;

namespace {

ExitCode runAction(const Arguments &arguments, const Printer &printer)
{
    switch (arguments.action) {
    case Action::Validate:
        return validate(arguments, printer);
    case Action::Render:
        return render(arguments, printer);
    case Action::Diff:
        return diff(arguments, printer);
    case Action::Status:
        return status(arguments, printer);
    case Action::History:
        return history(arguments, printer);
    case Action::AccountList:
        return listAccounts(arguments, printer);
    case Action::RolloutStatus:
        return rolloutStatus(arguments, printer);
    case Action::Publish:
        return publish(arguments, printer);
    case Action::Rollback:
        return rollback(arguments, printer);
    case Action::Drain:
        return drain(arguments, printer);
    case Action::RolloutStart:
        return startRollout(arguments, printer);
    case Action::RolloutAbort:
        return abortRollout(arguments, printer);
    }
    return ExitCode::Internal;
}

} // namespace

int main(int count, char **values)
{
    const auto arguments = readArguments(count, values);
    if (const auto *code = std::get_if<ExitCode>(&arguments))
        return static_cast<int>(*code);
    const auto &parsed = std::get<Arguments>(arguments);
    const Printer printer(std::cout, std::cerr, parsed.json);
    return static_cast<int>(runAction(parsed, printer));
}

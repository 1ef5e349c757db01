// The read-only actions of sagecrankctl.
#pragma once

#include <Ctl/Arguments.h>
#include <Ctl/Print.h>

namespace Sagecrank {

ExitCode validate(const Arguments &arguments, const Printer &printer);
ExitCode render(const Arguments &arguments, const Printer &printer);
ExitCode diff(const Arguments &arguments, const Printer &printer);
ExitCode status(const Arguments &arguments, const Printer &printer);
ExitCode rolloutStatus(const Arguments &arguments, const Printer &printer);
ExitCode listAccounts(const Arguments &arguments, const Printer &printer);
ExitCode history(const Arguments &arguments, const Printer &printer);

} // namespace Sagecrank

// The actions of sagecrankctl that change the configuration in force or the state of a node.
#pragma once

#include <Ctl/Arguments.h>
#include <Ctl/Print.h>

namespace Sagecrank {

ExitCode publish(const Arguments &arguments, const Printer &printer);
ExitCode rollback(const Arguments &arguments, const Printer &printer);
ExitCode drain(const Arguments &arguments, const Printer &printer);
ExitCode startRollout(const Arguments &arguments, const Printer &printer);
ExitCode abortRollout(const Arguments &arguments, const Printer &printer);

} // namespace Sagecrank

// What every program's command line shares: --help, and a mistake that is answered with the usage and an exit
// code of its own.
#pragma once

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <optional>
#include <string>

namespace Sagecrank {

inline constexpr int exitSuccess = 0;
inline constexpr int exitUsage = 2;

struct CommandLine
{
    std::string usage; // Printed before the options; may be empty.
    boost::program_options::options_description options;
    boost::program_options::positional_options_description positional;
};

// Adds --help itself. Fills in `values` and returns nothing when the program shall go on; otherwise help or
// the mistake has been printed, and this is the exit code.
std::optional<int> readCommandLine(CommandLine line, int argumentCount, char **arguments,
                                   boost::program_options::variables_map &values);

} // namespace Sagecrank

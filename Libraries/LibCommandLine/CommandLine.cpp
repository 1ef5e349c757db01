// Reads a command line.
#include <LibCommandLine/CommandLine.h>

#include <boost/program_options/parsers.hpp>

#include <iostream>

namespace Sagecrank {

namespace options = boost::program_options;

namespace {

std::ostream &printHelp(std::ostream &stream, const CommandLine &line)
{
    if (!line.usage.empty())
        stream << line.usage << "\n";
    return stream << line.options;
}

} // namespace

std::optional<int> readCommandLine(CommandLine line, int argumentCount, char **arguments,
                                   options::variables_map &values)
{
    line.options.add_options()("help,h", "print this text");
    try {
        options::command_line_parser parser(argumentCount, arguments);
        options::store(parser.options(line.options).positional(line.positional).run(), values);
        if (values.count("help") > 0) {
            printHelp(std::cout, line);
            return exitSuccess;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "\n\n";
        printHelp(std::cerr, line);
        return exitUsage;
    }
    return std::nullopt;
}

} // namespace Sagecrank

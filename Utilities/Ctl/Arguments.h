// The parsed command line of sagecrankctl.
#pragma once

#include <Ctl/ExitCode.h>
#include <LibPlatform/PlatformClient.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Sagecrank {

// Validate to History are read-only; Publish, Rollback and Drain change the configuration in force or a node.
enum class Action : std::uint8_t { Validate, Render, Diff, Status, History, Publish, Rollback, Drain };

inline constexpr EnumNames<Action, 8> actionNames{{
    {Action::Validate, "validate"},
    {Action::Render, "render"},
    {Action::Diff, "diff"},
    {Action::Status, "status"},
    {Action::History, "history"},
    {Action::Publish, "publish"},
    {Action::Rollback, "rollback"},
    {Action::Drain, "drain"},
}};

struct Arguments
{
    Action action = Action::Status;
    bool json = false;
    bool events = false; // Print history events on standard output, for the invariant checker.
    std::string base;
    std::vector<std::string> overlays;     // Files, or folders with *.toml files.
    std::string site;                      // Empty: all sites.
    std::vector<std::string> nodes;        // Admin addresses as ip:port.
    std::optional<std::uint64_t> expected; // None: the version in force.
    std::optional<std::uint64_t> from;     // For diff.
    std::optional<std::uint64_t> to;       // For diff and rollback.
    std::uint32_t limit = 20;              // For history.
    std::string operatorName;
    PlatformClientSettings platform;
};

// Parses the command line. Returns an exit code if it printed the help or a usage error.
std::variant<Arguments, ExitCode> readArguments(int count, char **values);

} // namespace Sagecrank

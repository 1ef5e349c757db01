// What the operator asked for, out of the command line.
#pragma once

#include <Ctl/ExitCode.h>
#include <LibPlatform/PlatformClient.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Sagecrank {

// Queries change nothing. Commands change what is in force, or a node.
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
    bool events = false; // History events on standard output, for proof runs.
    std::string base;
    std::vector<std::string> overlays;     // Files or folders of them.
    std::string site;                      // Empty means every site.
    std::vector<std::string> nodes;        // Admin addresses, "ip:port".
    std::optional<std::uint64_t> expected; // None means the current one.
    std::optional<std::uint64_t> from;     // diff.
    std::optional<std::uint64_t> to;       // diff and rollback.
    std::uint32_t limit = 20;              // history.
    std::string operatorName;
    PlatformClientSettings platform;
};

// The arguments, or the exit code after help or a mistake has been printed.
std::variant<Arguments, ExitCode> readArguments(int count, char **values);

} // namespace Sagecrank

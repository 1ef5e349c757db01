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

// Validate to AccountList are read-only; the others change the configuration in force, a node or a service.
enum class Action : std::uint8_t {
    Validate,
    Render,
    Diff,
    Status,
    History,
    RolloutStatus,
    AccountList,
    Publish,
    Rollback,
    Drain,
    RolloutStart,
    RolloutAbort,
};

inline constexpr EnumNames<Action, 12> actionNames{{
    {Action::Validate, "validate"},
    {Action::Render, "render"},
    {Action::Diff, "diff"},
    {Action::Status, "status"},
    {Action::History, "history"},
    {Action::Publish, "publish"},
    {Action::Rollback, "rollback"},
    {Action::Drain, "drain"},
    {Action::RolloutStatus, "rollout status"},
    {Action::AccountList, "account list"},
    {Action::RolloutStart, "rollout start"},
    {Action::RolloutAbort, "rollout abort"},
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
    std::string service;      // For roll-outs.
    std::string target;       // Version to roll out.
    Milliseconds duration{0}; // Of a roll-out.
    PlatformClientSettings platform;
};

// Parses the command line. Returns an exit code if it printed the help or a usage error.
std::variant<Arguments, ExitCode> readArguments(int count, char **values);

} // namespace Sagecrank

// Parses relay commands and applies them to the state of the link.
#include "LinkFaults.h"

#include <optional>
#include <sstream>
#include <string>

namespace Sagecrank {

namespace {

inline constexpr EnumNames<RelayCommandKind, 7> relayCommandNames{{
    {RelayCommandKind::Pass, "pass"},
    {RelayCommandKind::Silence, "silence"},
    {RelayCommandKind::Hole, "hole"},
    {RelayCommandKind::Cut, "cut"},
    {RelayCommandKind::Refuse, "refuse"},
    {RelayCommandKind::Delay, "delay"},
    {RelayCommandKind::Drop, "drop"},
}};

Error commandError(std::string_view line)
{
    return makeError(ErrorKind::InvalidInput, "read relay command", "",
                     "not a command: " + std::string(line));
}

} // namespace

Result<RelayCommand> parseRelayCommand(std::string_view line)
{
    std::istringstream words{std::string(line)};
    std::string name;
    words >> name;
    const std::optional<RelayCommandKind> kind = relayCommandNames.value(name);
    if (!kind)
        return commandError(line);
    RelayCommand command;
    command.kind = *kind;
    std::string direction;
    const bool takesDirection = *kind == RelayCommandKind::Silence || *kind == RelayCommandKind::Delay;
    if (takesDirection && words >> direction) {
        command.up = direction == "up";
        command.down = direction == "down";
        if (!command.up && !command.down)
            return commandError(line);
    }
    if (*kind == RelayCommandKind::Delay) {
        std::int64_t milliseconds = -1;
        words >> milliseconds;
        if (direction.empty() || milliseconds < 0)
            return commandError(line);
        command.delay = Milliseconds(milliseconds);
    }
    if (*kind == RelayCommandKind::Drop
        && (!(words >> command.share) || command.share < 0 || command.share > 1))
        return commandError(line);
    std::string rest;
    if (words >> rest)
        return commandError(line);
    return command;
}

void LinkFaults::apply(const RelayCommand &command)
{
    switch (command.kind) {
    case RelayCommandKind::Pass:
        this->discardAll = false;
        this->refuseNewConnections = false;
        this->upDelay = Milliseconds(0);
        this->downDelay = Milliseconds(0);
        this->dropShare = 0;
        break;
    case RelayCommandKind::Hole:
        this->discardAll = true;
        break;
    case RelayCommandKind::Refuse:
        this->refuseNewConnections = true;
        break;
    case RelayCommandKind::Delay:
        (command.up ? this->upDelay : this->downDelay) = command.delay;
        break;
    case RelayCommandKind::Drop:
        this->dropShare = command.share;
        break;
    case RelayCommandKind::Silence:
    case RelayCommandKind::Cut:
        break; // The relay applies these to its existing connections.
    }
}

bool LinkFaults::shouldDropDatagram()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < this->dropShare;
}

} // namespace Sagecrank

// Reloading the settings of a running node.
#include <Node/Admin/SettingsReload.h>

#include <Support/TableTest.h>

#include <optional>
#include <string>
#include <vector>

using namespace Sagecrank;

namespace {

class ReloadFixture
{
public:
    NodeSettings file;
    std::optional<Error> fault;
    std::vector<std::string> lines;
    std::optional<LogLevel> level;
    std::optional<NodeDrainSettings> drain;
    EventLog log{"node", {}, [this](LogLevel, const std::string &line) { this->lines.push_back(line); }};
    SettingsReload reload{NodeSettings{}, this->hooks(), this->log};

    bool logged(const std::string &text) const { return this->lines.back().find(text) != std::string::npos; }

private:
    SettingsReloadHooks hooks()
    {
        SettingsReloadHooks made;
        made.read = [this]() -> Result<NodeSettings> {
            if (this->fault)
                return *this->fault;
            return this->file;
        };
        made.setLogLevel = [this](LogLevel wanted) { this->level = wanted; };
        made.setDrain = [this](const NodeDrainSettings &wanted) { this->drain = wanted; };
        return made;
    }
};

} // namespace

// An operator raises the log level of a running node and extends its drain time without a restart.
Test(settingsReload, appliesReloadableSettings)
{
    ReloadFixture fixture;
    fixture.file.logLevel = "debug";
    fixture.file.drain.linger = Milliseconds(700);
    fixture.reload.reload();
    cr_assert(fixture.level == LogLevel::Debug);
    cr_assert(fixture.drain && fixture.drain->linger == Milliseconds(700));
    cr_assert(fixture.logged("applied=\"log drain\"") && fixture.logged("rest_at_next_start=false"));
    fixture.level.reset();
    fixture.reload.reload();
    cr_assert(!fixture.level, "unchanged settings are not applied again");
}

// An address changes only at the next start; the log must say so.
Test(settingsReload, reportsSettingsThatNeedARestart)
{
    ReloadFixture fixture;
    fixture.file.listen.callers = "127.0.0.1:9";
    fixture.reload.reload();
    cr_assert(!fixture.level && !fixture.drain);
    cr_assert(fixture.logged("1008") && fixture.logged("rest_at_next_start=true"));
}

Test(settingsReload, invalidFileChangesNothing)
{
    ReloadFixture fixture;
    fixture.file.logLevel = "debug";
    fixture.fault =
        makeError(ErrorKind::InvalidInput, "read settings", "node.toml", "node.toml:3: node.id: missing");
    fixture.reload.reload();
    cr_assert(!fixture.level && !fixture.drain);
    cr_assert(fixture.logged("1009") && fixture.logged("node.toml:3"));
}

namespace {

struct DrainRow
{
    const char *what;
    Milliseconds maximum;
    Milliseconds killAfter;
    Milliseconds expected;
};

const DrainRow drainRows[] = {
    {"never killed", Milliseconds(60000), Milliseconds(0), Milliseconds(60000)},
    {"killed early", Milliseconds(60000), Milliseconds(6000), Milliseconds(5000)},
    {"killed soon", Milliseconds(60000), Milliseconds(3000), Milliseconds(2000)},
    {"killed late", Milliseconds(60000), Milliseconds(12000), Milliseconds(10000)},
    {"the maximum comes first", Milliseconds(3000), Milliseconds(10000), Milliseconds(3000)},
};

} // namespace

// A drain must end shortly before the platform kills the process. A fixed maximum would either cut off
// running calls too early, or still be draining at the kill.
TABLE_TEST(settingsReload, drainEndsBeforeTheProcessIsKilled, drainRows)
{
    NodeSettings settings;
    settings.drain.maximum = row.maximum;
    settings.drain.killAfter = row.killAfter;
    cr_assert(drainSettings(settings).maximum == row.expected, "%s", row.what);
}

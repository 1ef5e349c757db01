// What a signal that the settings changed does to a running node.
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

    bool said(const std::string &text) const { return this->lines.back().find(text) != std::string::npos; }

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

// At night somebody wants to see more of one node, and gives it more time to drain. It goes on serving
// meanwhile.
Test(settingsReload, takesOverWhatCanChange)
{
    ReloadFixture fixture;
    fixture.file.logLevel = "debug";
    fixture.file.drain.linger = Milliseconds(700);
    fixture.reload.reload();
    cr_assert(fixture.level == LogLevel::Debug);
    cr_assert(fixture.drain && fixture.drain->linger == Milliseconds(700));
    cr_assert(fixture.said("applied=\"log drain\"") && fixture.said("rest_at_next_start=false"));
    fixture.level.reset();
    fixture.reload.reload();
    cr_assert(!fixture.level, "what holds already is not set again");
}

// Somebody changes an address too, and believes that it holds. The log says that it does not yet.
Test(settingsReload, saysWhatHoldsFromTheNextStart)
{
    ReloadFixture fixture;
    fixture.file.listen.callers = "127.0.0.1:9";
    fixture.reload.reload();
    cr_assert(!fixture.level && !fixture.drain);
    cr_assert(fixture.said("1008") && fixture.said("rest_at_next_start=true"));
}

Test(settingsReload, aFileThatDoesNotCheckChangesNothing)
{
    ReloadFixture fixture;
    fixture.file.logLevel = "debug";
    fixture.fault =
        makeError(ErrorKind::InvalidInput, "read settings", "node.toml", "node.toml:3: node.id: missing");
    fixture.reload.reload();
    cr_assert(!fixture.level && !fixture.drain);
    cr_assert(fixture.said("1009") && fixture.said("node.toml:3"));
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

// A fixed maximum ends what runs long before the platform would, or is still at work when it kills the
// process.
TABLE_TEST(settingsReload, aDrainEndsBeforeTheProcessIsKilled, drainRows)
{
    NodeSettings settings;
    settings.drain.maximum = row.maximum;
    settings.drain.killAfter = row.killAfter;
    cr_assert(drainSettings(settings).maximum == row.expected, "%s", row.what);
}

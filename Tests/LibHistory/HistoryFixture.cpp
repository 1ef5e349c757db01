// Generates the events of the seeded histories.
#include "HistoryFixture.h"

#include <LibHistory/HistoryRecorder.h>

#include <array>
#include <utility>

namespace Sagecrank {

namespace {

constexpr std::uint64_t historyMilliseconds = 40'000;
constexpr std::uint64_t killTime = 14'000;
constexpr std::uint64_t restartTime = 15'000;
constexpr std::uint64_t drainTime = 22'000;
const std::array<std::string, 3> nodeNames{"a1", "b1", "c1"};

class ValidRun
{
public:
    explicit ValidRun(std::uint64_t seed)
        : random(seed)
    {
    }

    History make()
    {
        this->launch();
        for (std::uint64_t version = 1; version <= 3; ++version)
            this->publish(version, version * 4'000);
        this->killAndRestart();
        constexpr int calls = 40;
        for (int call = 0; call < calls; ++call)
            this->call(call, 5'000 + this->pick(8'000) + (call % 2 == 0 ? 0 : 11'000));
        this->drain();
        addEvent(this->history, limitTime, "u-b1", UpstreamLimited{namedLimit});
        this->addCompletedCall("late", 30'000, "a1", "b1", true, "");
        addEvent(this->history, historyMilliseconds, "driver", FaultEnded{"none", "none"});
        sortHistory(this->history);
        return std::move(this->history);
    }

private:
    std::uint64_t pick(std::uint64_t limit) { return this->random() % limit; }

    void startProcess(std::uint64_t at, const std::string &process)
    {
        HistoryRecord record{at * millisecond, process, 1, this->history.lifetimes++, ProcessStarted{1}};
        this->history.records.push_back(record);
    }

    void launch()
    {
        this->startProcess(0, "driver");
        addEvent(this->history, 1, "driver", ProcessLaunched{"platform", "platform", "", ""});
        for (const std::string &node : nodeNames) {
            addEvent(this->history, 2, "driver", ProcessLaunched{node, "node", node, ""});
            this->startProcess(3, node);
            this->addMembers(4, node);
        }
        for (const std::string node : {"b1", "c1"}) {
            addEvent(this->history, 3, "driver", ProcessLaunched{"u-" + node, "upstream", "", node});
            this->startProcess(4, "u-" + node);
        }
        this->startProcess(4, "load");
        this->startProcess(4, "operator");
    }

    void addMembers(std::uint64_t at, const std::string &node)
    {
        for (const std::string member : {"b1", "c1"})
            addEvent(this->history, at, node, NodeMember{member, 1, "alive", "ready", "booking"});
    }

    void applyVersion(std::uint64_t at, const std::string &node, std::uint64_t version,
                      std::uint64_t previous)
    {
        const std::string digest = "d" + std::to_string(version);
        addEvent(this->history, at, node, NodeOffered{version, digest, true, ""});
        addEvent(this->history, at + 1, node,
                 NodeSwapped{version, previous, "sj", digest, {"booking", "entry"}, {"booking", "entry"}});
    }

    void publish(std::uint64_t version, std::uint64_t at)
    {
        addEvent(this->history, at, "operator", PublishAccepted{version, "p" + std::to_string(version)});
        for (const std::string &node : nodeNames)
            this->applyVersion(at + 10 + this->pick(900), node, version, version - 1);
        if (version == 2)
            addEvent(this->history, at + 5, "operator", PublishRefused{2, "q2", "p2"});
        if (version == 3)
            addEvent(this->history, at + 5, "a1", NodeOffered{9, "bad", false, "dangling route"});
    }

    void killAndRestart()
    {
        addEvent(this->history, killTime, "driver", FaultBegan{"kill", "b1"});
        addEvent(this->history, killTime + 1, "driver", ProcessExited{"b1", -9});
        addEvent(this->history, restartTime, "driver", ProcessLaunched{"b1", "node", "b1", ""});
        addEvent(this->history, restartTime, "driver", FaultEnded{"kill", "b1"});
        this->startProcess(restartTime + 1, "b1");
        this->addMembers(restartTime + 2, "b1");
        this->applyVersion(restartTime + 500, "b1", 3, 0);
        const std::string call = "lost";
        addEvent(this->history, killTime - 5, "load", this->sent(call, "", "b1", true));
        addEvent(this->history, killTime + 2, "load", CallerLost{call, "reset"});
    }

    static CallerSent sent(const std::string &call, const std::string &key, const std::string &node,
                           bool idempotent)
    {
        return {call,
                key,
                "POST",
                "/book",
                idempotent ? "interactive" : "non_idempotent",
                idempotent,
                2'000,
                node,
                historyDigest(call)};
    }

    std::uint64_t versionAt(std::uint64_t at) const { return at > 13'000 ? 3 : at > 9'000 ? 2 : 1; }

    // Adds one call that completes after 50 ms on the upstream of `member`.
    void addCompletedCall(const std::string &call, std::uint64_t at, const std::string &node,
                          const std::string &member, bool idempotent, const std::string &key)
    {
        const std::string attempt = call + ".1";
        const std::string answer = historyDigest("answer to " + call);
        addEvent(this->history, at, "load", sent(call, key, node, idempotent));
        addEvent(this->history, at + 1, node,
                 NodePlaced{call, attempt, "booking", member, this->versionAt(at)});
        addEvent(this->history, at + 2, member, GateAdmitted{call, attempt, key, "interactive"});
        addEvent(this->history, at + 3, member, GateStarted{call, attempt});
        addEvent(this->history, at + 4, "u-" + member,
                 UpstreamBegan{call, attempt, key, historyDigest(call)});
        addEvent(this->history, at + 50, "u-" + member, UpstreamEnded{call, attempt, 200, answer, false});
        addEvent(this->history, at + 51, member, GateFinished{call, attempt, "done"});
        addEvent(this->history, at + 52, "load",
                 CallerAnswered{call, 200, "done", "", false, call, answer, 0});
    }

    void addRefusedCall(const std::string &call, std::uint64_t at)
    {
        const std::string attempt = call + ".1";
        addEvent(this->history, at, "load", sent(call, "", "a1", true));
        addEvent(this->history, at + 1, "c1", GateRefused{call, attempt, "queue_full"});
        addEvent(this->history, at + 2, "load",
                 CallerAnswered{call, 503, "not-run", "queue_full", false, "", "", 40});
    }

    void call(int number, std::uint64_t at)
    {
        constexpr int kinds = 4;
        const std::string call = "call" + std::to_string(number);
        // Keeps calls out of the periods in which a new version spreads: the versions are settled from 5 s to
        // 8 s and after 13 s.
        at = at < 13'000 ? 5'000 + at % 2'900 : at;
        if (number % kinds == 0) {
            this->addRefusedCall(call, at);
            return;
        }
        const bool idempotent = number % kinds == 1;
        const std::string key = number % kinds == 3 ? "key" + std::to_string(number) : "";
        this->addCompletedCall(call, at, "a1", "c1", idempotent, key);
        if (key.empty())
            return;
        const std::string retry = call + "again";
        addEvent(this->history, at + 100, "load", sent(retry, key, "c1", false));
        addEvent(this->history, at + 105, "load",
                 CallerAnswered{retry, 200, "done", "", true, call, historyDigest("answer to " + call), 0});
    }

    void drain()
    {
        this->addCompletedCall("inflight", drainTime - 20, "a1", "c1", false, "");
        addEvent(this->history, drainTime, "u-c1", UpstreamDraining{"booking", "u-c1"});
        addEvent(this->history, drainTime + 3'500, "driver", ProcessExited{"u-c1", 0});
    }

    std::mt19937_64 random;
    History history;
};

} // namespace

History makeValidHistory(std::uint64_t seed)
{
    return ValidRun(seed).make();
}

void addEvent(History &history, std::uint64_t milliseconds, const std::string &process, HistoryEvent event)
{
    const std::uint64_t time = milliseconds * millisecond;
    HistoryRecord record{time, process, 0, 0, std::move(event)};
    std::uint64_t latest = 0;
    for (const HistoryRecord &other : history.records) {
        const bool starts = std::holds_alternative<ProcessStarted>(other.event);
        if (starts && other.process == process && other.time <= time && other.time >= latest) {
            record.lifetime = other.lifetime;
            latest = other.time;
        }
    }
    history.records.push_back(std::move(record));
}

} // namespace Sagecrank

// Plays orders of ordinary events around one upstream host: no instance whose departure was confirmed takes
// calls, and none is kept out by what an earlier one under its name did.
#include "UpstreamFixture.h"

#include <Support/TableTest.h>

#include <LibCore/EnumNames.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <span>

using namespace Sagecrank;

namespace {

enum class Step : std::uint8_t {
    RestartSameName,  // The instance crashes and starts again.
    RestartOtherName, // The same, under another name.
    Announce,         // "ready" arrives at once, at the address that the node named last.
    AnnounceLate,     // "ready" is sent, and arrives later.
    ArriveLate,       // The oldest message that was sent and has not arrived.
    ArriveAgain,      // The message that came last arrives once more.
    Drain,            // "draining" arrives at once.
    Leave,            // A departure without a start time arrives at once.
    LeaveLate,        // It is sent, and arrives later.
    RestartNode,      // The node is killed and starts again.
    StoreSilent,
    StoreRefuses,
    StoreReturns,     // Writes that were not answered have not been done.
    StoreReturnsDone, // They have been.
};

inline constexpr EnumNames<Step, 14> stepNames{{
    {Step::RestartSameName, "restart under the same name"},
    {Step::RestartOtherName, "restart under another name"},
    {Step::Announce, "ready"},
    {Step::AnnounceLate, "ready, late"},
    {Step::ArriveLate, "late message arrives"},
    {Step::ArriveAgain, "last message arrives again"},
    {Step::Drain, "draining"},
    {Step::Leave, "leaving"},
    {Step::LeaveLate, "leaving, late"},
    {Step::RestartNode, "node restarts"},
    {Step::StoreSilent, "store silent"},
    {Step::StoreRefuses, "store refuses"},
    {Step::StoreReturns, "store returns"},
    {Step::StoreReturnsDone, "store returns, writes done"},
}};

// One run of the upstream.
struct Instance
{
    std::string name;
    std::uint64_t startedAt = 0;
    std::uint64_t sequence = 0;
    bool isLeaving = false; // It has sent a departure, so it announces no "ready" any more.
    bool isDepartureConfirmed = false;
    bool isSuspected = false; // A departure of an earlier run of this name arrived after it had started.
};

struct Message
{
    std::shared_ptr<Instance> sender;
    UpstreamState state = UpstreamState::Ready; // Gone: a departure without a start time.
    std::uint64_t sequence = 0;
    std::uint64_t sentTo = 0; // Number of the node's process that named the address; 0: the fixed address.
};

// An upstream host: one instance after the other, one process of the node after the other, and the messages
// between them. The first instance serves when it begins.
class Host
{
public:
    Host()
    {
        this->startInstance("i-0");
        this->startNode();
        this->play(Step::Announce);
    }

    bool isPossible(Step step) const
    {
        switch (step) {
        case Step::Announce:
        case Step::AnnounceLate:
            return !this->instance->isLeaving;
        case Step::ArriveLate:
            return !this->late.empty();
        case Step::ArriveAgain:
            return this->lastArrived.has_value();
        case Step::StoreSilent:
        case Step::StoreRefuses:
            return !this->table.silent && !this->table.unavailable;
        case Step::StoreReturns:
            return this->table.silent || this->table.unavailable;
        case Step::StoreReturnsDone:
            return this->table.silent;
        default:
            return true;
        }
    }

    void play(Step step)
    {
        this->pass(Milliseconds(200));
        switch (step) {
        case Step::RestartSameName:
            return this->startInstance(this->instance->name);
        case Step::RestartOtherName:
            return this->startInstance("i-" + std::to_string(++this->names));
        case Step::Announce:
            return this->deliver(this->message(UpstreamState::Ready, this->nextAddress));
        case Step::AnnounceLate:
            return this->late.push_back(this->message(UpstreamState::Ready, this->nextAddress));
        case Step::ArriveLate: {
            const Message oldest = this->late.front();
            this->late.erase(this->late.begin());
            return this->deliver(oldest);
        }
        case Step::ArriveAgain:
            return this->deliver(*this->lastArrived);
        case Step::Drain:
            return this->deliver(this->message(UpstreamState::Draining, 0));
        case Step::Leave:
            return this->deliver(this->message(UpstreamState::Gone, 0));
        case Step::LeaveLate:
            return this->late.push_back(this->message(UpstreamState::Gone, 0));
        case Step::RestartNode:
            return this->startNode();
        case Step::StoreSilent:
            this->table.silent = true;
            return;
        case Step::StoreRefuses:
            this->table.unavailable = true;
            return;
        case Step::StoreReturns:
            return this->returnStore(false);
        case Step::StoreReturnsDone:
            return this->returnStore(true);
        }
    }

    // Calls are sent to the running instance if the node uses an upstream of its name.
    bool takesCalls() const
    {
        const UpstreamState state = this->node->presence.state();
        return (state == UpstreamState::Ready || state == UpstreamState::Warming)
               && this->node->gate.instance == this->instance->name;
    }

    bool isPromiseBroken() const { return this->takesCalls() && this->instance->isDepartureConfirmed; }

    // The instance announces itself until it would be used without any trouble: at once, or after the node
    // has named an address. A suspected one waits until no message can be late any more.
    bool isUsedInTheEnd()
    {
        if (this->instance->isLeaving)
            return true;
        if (this->table.silent || this->table.unavailable)
            this->play(Step::StoreReturns);
        if (this->instance->isSuspected)
            this->pass(departedNameTimeout);
        this->play(Step::Announce);
        this->play(Step::Announce);
        return this->takesCalls();
    }

    // With the store away and no departure reported, an instance proves that it runs.
    bool isUsedWithoutStore()
    {
        this->play(Step::Announce);
        this->play(Step::Announce);
        return this->takesCalls();
    }

private:
    void pass(Duration duration)
    {
        this->now += duration;
        this->unixNow +=
            static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(duration).count());
        if (!this->node)
            return;
        this->node->now = this->now;
        this->node->unixNow = this->unixNow;
        this->node->context.restart();
        this->node->context.poll();
    }

    void startInstance(const std::string &name)
    {
        this->instance = std::make_shared<Instance>(Instance{name, this->unixNow});
        this->nextAddress = 0;
    }

    void startNode()
    {
        this->node.reset();
        this->table.unanswered.clear();
        ++this->processes;
        this->node = std::make_unique<Process>(this->table, this->now);
        this->node->unixNow = this->unixNow;
    }

    void returnStore(bool writesAreDone)
    {
        this->table.silent = false;
        this->table.unavailable = false;
        this->table.giveUpUnanswered(writesAreDone);
        this->node->record.load(); // As the retry timer does.
    }

    Message message(UpstreamState state, std::uint64_t sentTo)
    {
        this->instance->isLeaving = this->instance->isLeaving || state != UpstreamState::Ready;
        return {this->instance, state, ++this->instance->sequence, sentTo};
    }

    void deliver(const Message &message)
    {
        this->lastArrived = message;
        const bool isForThisProcess = message.sentTo == this->processes;
        if (message.sentTo != 0 && !isForThisProcess) {
            this->nextAddress = 0; // Nobody listens there, so the upstream returns to the fixed address.
            return;
        }
        Instance &sender = *message.sender;
        if (message.state == UpstreamState::Gone) {
            const bool isOfEarlierRun =
                message.sender != this->instance && sender.name == this->instance->name;
            this->instance->isSuspected = this->instance->isSuspected || isOfEarlierRun;
            this->node->leave(sender.name.c_str());
        } else {
            const AnnouncementResult result = this->node->announce(
                message.state, message.sequence, sender.startedAt, sender.name.c_str(),
                isForThisProcess ? AnnouncementProof::SentToThisProcess : AnnouncementProof::None);
            if (message.sender == this->instance)
                this->nextAddress = result == AnnouncementResult::Unproven ? this->processes : 0;
        }
        if (message.state == UpstreamState::Ready)
            return;
        this->node->record.whenPersisted([sender = message.sender](bool persisted) {
            sender->isDepartureConfirmed = sender->isDepartureConfirmed || persisted;
        });
    }

    Instant now = Instant() + std::chrono::hours(1);
    std::uint64_t unixNow = 1'000'000;
    int names = 0;
    std::uint64_t processes = 0; // Of the node.
    std::uint64_t nextAddress = 0;
    FakeTable table;
    std::shared_ptr<Instance> instance; // The running one.
    std::unique_ptr<Process> node;
    std::vector<Message> late;
    std::optional<Message> lastArrived;
};

std::string describe(std::span<const Step> steps)
{
    std::string text;
    for (const Step step : steps)
        text += (text.empty() ? "" : "; ") + std::string(stepNames.name(step));
    return text;
}

// Null if the order keeps both promises.
const char *failureOf(std::span<const Step> steps)
{
    Host host;
    for (const Step step : steps) {
        host.play(step);
        if (host.isPromiseBroken())
            return "an instance whose departure was confirmed takes calls";
    }
    if (!host.isUsedInTheEnd())
        return "an instance that runs is kept out";
    return nullptr;
}

struct OrderRow
{
    const char *what;
    std::vector<Step> steps;
};

const OrderRow orderRows[] = {
    {"a departure that names an instance of which nothing has arrived yet",
     {Step::RestartOtherName, Step::AnnounceLate, Step::Leave, Step::ArriveLate}},
    {"the same under the name of the earlier instance",
     {Step::RestartSameName, Step::AnnounceLate, Step::Leave, Step::ArriveLate}},
    {"the late announcement arrives at the node's next process",
     {Step::RestartOtherName, Step::AnnounceLate, Step::Leave, Step::RestartNode, Step::ArriveLate}},
    {"the first message of an instance says that it drains, and the node restarts",
     {Step::RestartSameName, Step::Drain, Step::RestartNode}},
    {"the row of the serving instance could not be written and names an earlier one",
     {Step::StoreRefuses, Step::RestartSameName, Step::Announce, Step::StoreReturns, Step::Announce,
      Step::Leave, Step::RestartNode}},
    {"two late announcements arrive while the store is silent",
     {Step::AnnounceLate, Step::AnnounceLate, Step::Leave, Step::StoreSilent, Step::RestartNode,
      Step::ArriveLate, Step::ArriveLate}},
    {"two late announcements arrive while the store refuses",
     {Step::AnnounceLate, Step::AnnounceLate, Step::Leave, Step::RestartNode, Step::StoreRefuses,
      Step::RestartNode, Step::ArriveLate, Step::ArriveLate}},
    {"a departure that is confirmed before the record was read drops none from the record",
     {Step::AnnounceLate, Step::AnnounceLate, Step::Leave, Step::StoreSilent, Step::RestartNode,
      Step::RestartOtherName, Step::StoreReturns, Step::Leave, Step::RestartNode, Step::ArriveLate}},
    {"a departure of an earlier instance arrives again after that of the last one",
     {Step::LeaveLate, Step::RestartOtherName, Step::Announce, Step::AnnounceLate, Step::Drain,
      Step::ArriveLate, Step::RestartNode, Step::ArriveLate}},
    {"a departure is reported while the record is unread, and the node restarts once more",
     {Step::AnnounceLate, Step::StoreSilent, Step::RestartNode, Step::Leave, Step::StoreReturns,
      Step::RestartNode, Step::ArriveLate}},
    {"an announcement to the address of this process arrives after the departure",
     {Step::StoreSilent, Step::RestartNode, Step::Announce, Step::AnnounceLate, Step::Leave,
      Step::StoreReturns, Step::Leave, Step::ArriveLate}},
    {"an instance starts again under the name of one that left",
     {Step::Leave, Step::RestartSameName, Step::RestartNode, Step::Announce}},
    {"a late departure of an earlier run arrives after the instance has started",
     {Step::LeaveLate, Step::RestartSameName, Step::Announce, Step::ArriveLate, Step::RestartNode}},
};

constexpr std::size_t exhaustiveLength = 5; // All orders up to this length are played.
constexpr std::size_t randomLength = 14;
constexpr int randomOrders = 20'000;

// Plays all orders that begin with these steps.
void playAllFrom(std::vector<Step> &steps, std::size_t &played)
{
    for (const auto &[step, name] : stepNames.rows) {
        Host host;
        for (const Step earlier : steps)
            host.play(earlier);
        if (!host.isPossible(step))
            continue;
        steps.push_back(step);
        ++played;
        const char *failure = failureOf(steps);
        cr_assert(failure == nullptr, "%s: %s", failure, describe(steps).c_str());
        if (steps.size() < exhaustiveLength)
            playAllFrom(steps, played);
        steps.pop_back();
    }
}

} // namespace

// Guards against calls that reach an instance after its departure was confirmed, and against an instance that
// runs and gets none, in the orders in which it was seen.
TABLE_TEST(departureOrders, seenOrdersKeepThePromises, orderRows)
{
    const char *failure = failureOf(row.steps);
    cr_assert(failure == nullptr, "%s: %s", row.what, failure);
}

// The same in every short order.
Test(departureOrders, shortOrdersKeepThePromises, .timeout = 240)
{
    std::vector<Step> steps;
    std::size_t played = 0;
    playAllFrom(steps, played);
    cr_log_info("%zu orders", played);
}

// The same in random longer orders.
Test(departureOrders, randomOrdersKeepThePromises, .timeout = 240)
{
    std::mt19937 random(1);
    std::uniform_int_distribution<std::size_t> any(0, std::size(stepNames.rows) - 1);
    for (int order = 0; order < randomOrders; ++order) {
        std::vector<Step> steps;
        Host host;
        while (steps.size() < randomLength) {
            const Step step = stepNames.rows[any(random)].first;
            if (!host.isPossible(step))
                continue;
            steps.push_back(step);
            host.play(step);
            cr_assert(!host.isPromiseBroken(), "%s", describe(steps).c_str());
        }
        cr_assert(host.isUsedInTheEnd(), "kept out: %s", describe(steps).c_str());
    }
}

// A healthy upstream is used within two announcements while its node has restarted and the store is away.
Test(departureOrders, runningInstanceIsUsedWithoutTheStore)
{
    for (const Step away : {Step::StoreSilent, Step::StoreRefuses}) {
        Host host;
        host.play(away);
        host.play(Step::RestartNode);
        cr_assert(!host.takesCalls());
        cr_assert(host.isUsedWithoutStore(), "%s", std::string(stepNames.name(away)).c_str());
    }
}

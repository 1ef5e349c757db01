// Runs the allowance decisions between the request threads and the gossip port.
#include "AllowanceControl.h"

#include <LibMembership/MemberTable.h>

#include <boost/asio/post.hpp>

namespace Sagecrank {

namespace {

// Runs only while requests are unanswered. A third of the time after which another node is asked.
constexpr Duration timeoutCheckInterval = std::chrono::milliseconds(20);

} // namespace

AllowanceControl::AllowanceControl(boost::asio::io_context &control, const std::string &ownId,
                                   AllowanceBounds bounds, AllowanceHooks hooks, EventLog &log,
                                   Metrics &metrics)
    : control(control)
    , hooks(std::move(hooks))
    , log(log)
    , timer(control)
    , placement(ownId, SteadyClock::now())
    , granter(bounds, this->placement)
    , client({[this](const AllowanceRequest &request) { return this->ask(request); }})
    , asked(metrics.counter("sagecrank_allowance_requests_total", "Requests for tokens sent to other nodes."))
    , granted(metrics.counter("sagecrank_allowance_tokens_granted_total",
                              "Tokens that this node granted, its own included."))
    , unanswered(metrics.counter("sagecrank_allowance_requests_unanswered_total",
                                 "Checks that found requests for tokens overdue."))
{
    for (const auto &row : allowanceVerdictNames.rows)
        this->decisions[static_cast<std::size_t>(row.first)] =
            &metrics.counter("sagecrank_allowance_calls_total", "Calls of accounts with an allowance.",
                             {{"decision", std::string(row.second)}});
}

void AllowanceControl::acquire(std::string_view account, AllowanceClient::Callback callback)
{
    AllowanceClient::Completions decided;
    {
        const std::lock_guard guard(this->mutex);
        this->client.acquire(SteadyClock::now(), hashAccount(account), std::move(callback), decided);
    }
    this->run(std::move(decided));
}

void AllowanceControl::release(std::string_view account, Instant acquiredAt)
{
    const std::lock_guard guard(this->mutex);
    this->client.release(SteadyClock::now(), hashAccount(account), acquiredAt);
}

// Called by the client with the mutex held.
std::optional<AllowanceGrant> AllowanceControl::ask(const AllowanceRequest &request)
{
    const GranterNode *node = this->placement.granter(request.account, request.role);
    if (node == nullptr)
        return AllowanceGrant{request.requestId, GrantResult::NotResponsible, 0, 0};
    if (node->isSelf)
        return this->grant(SteadyClock::now(), request);
    this->asked.add();
    boost::asio::post(this->control,
                      [this, address = node->address, bytes = encodeAllowanceMessage(request)] {
                          this->hooks.send(address, bytes);
                          this->startTimer();
                      });
    return std::nullopt;
}

AllowanceGrant AllowanceControl::grant(Instant now, const AllowanceRequest &request)
{
    const AllowanceGrant grant = this->granter.grant(now, request);
    this->granted.add(grant.granted);
    return grant;
}

void AllowanceControl::datagramReceived(const std::string &from, std::string_view bytes)
{
    const Result<AllowanceMessage> message = decodeAllowanceMessage(bytes, from);
    if (!message)
        return this->log.write(EventId::AllowanceMessageRefused,
                               {{"peer", from}, {"error", message.error().message}});
    const Instant now = SteadyClock::now();
    if (const auto *request = std::get_if<AllowanceRequest>(&message.value())) {
        AllowanceGrant answer;
        {
            const std::lock_guard guard(this->mutex);
            answer = this->grant(now, *request);
        }
        return this->hooks.send(from, encodeAllowanceMessage(answer));
    }
    AllowanceClient::Completions decided;
    {
        const std::lock_guard guard(this->mutex);
        this->client.answered(now, std::get<AllowanceGrant>(message.value()), decided);
    }
    this->run(std::move(decided));
}

void AllowanceControl::membersChanged(const std::vector<Member> &members)
{
    std::vector<PlacementMember> known;
    known.reserve(members.size());
    for (const Member &member : members)
        known.push_back(
            {member.id, member.gossipAddress, isPresent(member.state), member.state == MemberState::Left});
    const std::lock_guard guard(this->mutex);
    this->placement.setMembers(SteadyClock::now(), known);
}

void AllowanceControl::accountsChanged(const std::vector<Account> &accounts)
{
    const std::lock_guard guard(this->mutex);
    this->granter.setAccounts(accounts);
}

void AllowanceControl::forgetUnused(Instant before)
{
    const std::lock_guard guard(this->mutex);
    this->client.forgetUnused(before);
}

void AllowanceControl::startTimer()
{
    if (this->timerRunning)
        return;
    this->timerRunning = true;
    this->timer.expires_after(timeoutCheckInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        this->timerRunning = false;
        if (!error)
            this->timerExpired();
    });
}

void AllowanceControl::timerExpired()
{
    AllowanceClient::Completions decided;
    bool waits = false;
    {
        const std::lock_guard guard(this->mutex);
        const Instant now = SteadyClock::now();
        if (this->client.nextTimeout().value_or(now + timeoutCheckInterval) <= now)
            this->unanswered.add();
        this->client.advance(now, decided);
        waits = this->client.nextTimeout().has_value();
    }
    if (waits)
        this->startTimer();
    this->run(std::move(decided));
}

void AllowanceControl::run(AllowanceClient::Completions decided)
{
    for (const AllowanceClient::Completion &completion : decided) {
        this->decisions[static_cast<std::size_t>(completion.decision.verdict)]->add();
        completion.callback(completion.decision);
    }
}

} // namespace Sagecrank

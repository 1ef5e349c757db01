// Connects the parts that keep an account's calls within its allowance: obtains tokens for this node's
// callers and grants those of the accounts for which this node ranks first. See
// docs/design/AccountAllowance.md.
#pragma once

#include <LibAccount/AllowanceClient.h>
#include <LibAccount/AllowanceGranter.h>
#include <LibAccount/AllowancePlacement.h>
#include <LibMembership/Member.h>
#include <LibObserve/EventLog.h>
#include <LibObserve/Metrics.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

namespace Sagecrank {

struct AllowanceHooks
{
    // Sends a datagram to the gossip address of a node. Called on the control thread.
    std::function<void(const std::string &address, const std::string &bytes)> send;
};

class AllowanceControl
{
public:
    // `control` is the context of the control thread.
    AllowanceControl(boost::asio::io_context &control, const std::string &ownId, AllowanceBounds bounds,
                     AllowanceHooks hooks, EventLog &log, Metrics &metrics);

    // Commands, from any thread.

    // Takes a token for one call of the account. The callback may run before this returns, or later on the
    // control thread.
    void acquire(std::string_view account, AllowanceClient::Callback callback);
    // A call for which a token was taken did not run.
    void release(std::string_view account, Instant acquiredAt);

    // Commands, on the control thread.
    void datagramReceived(const std::string &from, std::string_view bytes);
    void membersChanged(const std::vector<Member> &members);
    void accountsChanged(const std::vector<Account> &accounts);
    void forgetUnused(Instant before);

private:
    std::optional<AllowanceGrant> ask(const AllowanceRequest &request);
    AllowanceGrant grant(Instant now, const AllowanceRequest &request);
    void startTimer();
    void timerExpired();
    void run(AllowanceClient::Completions decided);

    boost::asio::io_context &control;
    const AllowanceHooks hooks;
    EventLog &log;
    boost::asio::steady_timer timer; // Used on the control thread.
    bool timerRunning = false;       // Likewise.
    std::mutex mutex;                // Guards the three below.
    AllowancePlacement placement;
    AllowanceGranter granter;
    AllowanceClient client;
    std::array<Counter *, std::size(allowanceVerdictNames.rows)> decisions{}; // By verdict.
    Counter &asked;
    Counter &granted;
    Counter &unanswered;
};

} // namespace Sagecrank

// Obtains tokens for the calls of accounts with an allowance from the nodes that grant them. Decides which
// calls run, wait for an answer, or are refused. Uses no sockets or clocks; not thread-safe.
#pragma once

#include <LibAccount/AllowanceMessages.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Time.h>

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Sagecrank {

enum class AllowanceVerdict : std::uint8_t {
    Granted,
    Exceeded,    // The account's allowance is spent.
    Unreachable, // No granting node answered, so whether it is spent is not known.
};

inline constexpr EnumNames<AllowanceVerdict, 3> allowanceVerdictNames{{
    {AllowanceVerdict::Granted, "granted"},
    {AllowanceVerdict::Exceeded, "allowance_exceeded"},
    {AllowanceVerdict::Unreachable, "allowance_unreachable"},
}};

struct AllowanceDecision
{
    AllowanceVerdict verdict = AllowanceVerdict::Granted;
    Duration retryAfter{}; // Of a refused call.
};

struct AllowanceClientHooks
{
    // Sends the request to the node for its role. Returns the answer if this node itself is asked, and
    // NotResponsible if there is no such node.
    std::function<std::optional<AllowanceGrant>(const AllowanceRequest &)> ask;
};

class AllowanceClient
{
public:
    using Callback = std::function<void(const AllowanceDecision &)>;

    // A waiting call whose decision is made. Run it when no lock is held.
    struct Completion
    {
        Callback callback;
        AllowanceDecision decision;
    };
    using Completions = std::vector<Completion>;

    explicit AllowanceClient(AllowanceClientHooks hooks);

    // Commands. Each appends the calls that it decides.

    // Takes a token for one call, now or once it is granted.
    void acquire(Instant now, AccountHash account, Callback callback, Completions &decided);
    void answered(Instant now, const AllowanceGrant &grant, Completions &decided);
    void advance(Instant now, Completions &decided); // Handles requests that were not answered.
    // The call of a token did not run. The token serves another call while it is valid.
    void release(Instant now, AccountHash account, Instant acquiredAt);
    void forgetUnused(Instant before);

    // Queries.
    std::optional<Instant> nextTimeout() const;
    std::size_t accountCount() const { return this->accounts.size(); }

private:
    struct Batch
    {
        std::uint32_t tokens = 0;
        Instant expiresAt{};
    };

    struct Pending
    {
        AllowanceRequest request;
        Instant sentAt{};
    };

    struct AccountState
    {
        std::deque<Batch> stock; // Expires in order.
        std::deque<Callback> waiting;
        std::optional<Pending> pending;
        Instant exceededUntil{};
        Duration retryAfter{};
        double callsPerSecond = 0; // Decayed.
        Instant lastCall{};
    };

    void countCall(Instant now, AccountState &state);
    bool takeToken(Instant now, AccountState &state);
    void ask(Instant now, AccountHash account, AccountState &state, GranterRole role, Completions &decided);
    void apply(Instant now, AccountHash account, AccountState &state, const AllowanceGrant &grant,
               Completions &decided);
    void askNext(Instant now, AccountHash account, AccountState &state, Completions &decided);
    static void decideAll(AccountState &state, const AllowanceDecision &decision, Completions &decided);

    const AllowanceClientHooks hooks;
    std::uint64_t lastRequestId = 0;
    std::unordered_map<AccountHash, AccountState> accounts;
    std::unordered_map<std::uint64_t, AccountHash> requests; // Pending, by id.
};

} // namespace Sagecrank

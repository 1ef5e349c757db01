// Keeps a stock of tokens for each account, asks for more, and refuses calls while an allowance is spent.
#include <LibAccount/AllowanceClient.h>

#include <algorithm>
#include <cmath>

namespace Sagecrank {

namespace {

// Tokens that are spent later than they were granted add to the calls of a window, so they are short-lived:
// 4% of a window of 5 s.
constexpr Duration tokenLifetime = std::chrono::milliseconds(200);

// Tokens are asked for ahead for this part of their lifetime, so that few expire unused.
constexpr double shareAskedAhead = 0.5;

// Of a granting node; a round trip in a region takes 2 ms, and a busy host with a tenth of a core some tens.
constexpr Duration answerTimeout = std::chrono::milliseconds(60);

// A caller that returns earlier finds the same granting node silent.
constexpr Duration unreachableRetryAfter = std::chrono::milliseconds(250);

// For so long the calls of an account are refused without asking again; each of its nodes may ask the primary
// four times a second at most then.
constexpr Duration longestLocalRefusal = std::chrono::milliseconds(250);

constexpr double rateWindowSeconds = 1;
constexpr std::uint16_t maximumWanted = 1000;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

AllowanceClient::AllowanceClient(AllowanceClientHooks hooks)
    : hooks(std::move(hooks))
{
}

void AllowanceClient::acquire(Instant now, AccountHash account, Callback callback, Completions &decided)
{
    AccountState &state = this->accounts[account];
    this->countCall(now, state);
    if (state.waiting.empty() && this->takeToken(now, state))
        return decided.push_back({std::move(callback), {}});
    if (now < state.exceededUntil)
        return decided.push_back(
            {std::move(callback),
             {AllowanceVerdict::Exceeded, std::max(state.retryAfter, state.exceededUntil - now)}});
    state.waiting.push_back(std::move(callback));
    if (!state.pending)
        this->ask(now, account, state, GranterRole::Primary, decided);
}

void AllowanceClient::countCall(Instant now, AccountState &state)
{
    const double passed = std::max(0.0, seconds(now - state.lastCall));
    state.callsPerSecond =
        state.callsPerSecond * std::exp(-std::min(passed, 100.0) / rateWindowSeconds) + 1 / rateWindowSeconds;
    state.lastCall = now;
}

bool AllowanceClient::takeToken(Instant now, AccountState &state)
{
    while (!state.stock.empty() && (state.stock.front().expiresAt <= now || state.stock.front().tokens == 0))
        state.stock.pop_front();
    if (state.stock.empty())
        return false;
    --state.stock.front().tokens;
    return true;
}

void AllowanceClient::ask(Instant now, AccountHash account, AccountState &state, GranterRole role,
                          Completions &decided)
{
    const double ahead = std::floor(state.callsPerSecond * seconds(tokenLifetime) * shareAskedAhead);
    const double wanted = std::min<double>(maximumWanted, static_cast<double>(state.waiting.size()) + ahead);
    const AllowanceRequest request{++this->lastRequestId, account, role, static_cast<std::uint16_t>(wanted)};
    state.pending = Pending{request, now};
    this->requests[request.requestId] = account;
    if (const std::optional<AllowanceGrant> answer = this->hooks.ask(request))
        this->answered(now, *answer, decided);
}

void AllowanceClient::answered(Instant now, const AllowanceGrant &grant, Completions &decided)
{
    const auto found = this->requests.find(grant.requestId);
    if (found == this->requests.end())
        return; // Late or repeated; its tokens are lost.
    const AccountHash account = found->second;
    AccountState &state = this->accounts[account];
    if (!state.pending || state.pending->request.requestId != grant.requestId)
        return;
    this->apply(now, account, state, grant, decided);
}

void AllowanceClient::apply(Instant now, AccountHash account, AccountState &state,
                            const AllowanceGrant &grant, Completions &decided)
{
    if (grant.result == GrantResult::NotResponsible)
        return this->askNext(now, account, state, decided);
    this->requests.erase(grant.requestId);
    const Pending answered = *state.pending;
    state.pending.reset();
    // The lifetime begins with the request, since the tokens may have been granted at any time after it.
    state.stock.push_back({grant.granted, answered.sentAt + tokenLifetime});
    while (!state.waiting.empty() && this->takeToken(now, state)) {
        decided.push_back({std::move(state.waiting.front()), {}});
        state.waiting.pop_front();
    }
    if (grant.result == GrantResult::Exhausted) {
        state.retryAfter = Milliseconds(grant.retryAfterMilliseconds);
        // A backup's reserve is not the allowance, so its end does not prove that the allowance is spent.
        const bool isSpent = answered.request.role == GranterRole::Primary;
        state.exceededUntil = isSpent ? now + std::min(state.retryAfter, longestLocalRefusal) : Instant{};
        return decideAll(
            state, {isSpent ? AllowanceVerdict::Exceeded : AllowanceVerdict::Unreachable, state.retryAfter},
            decided);
    }
    if (!state.waiting.empty())
        this->ask(now, account, state, GranterRole::Primary, decided);
}

// Tries the backup after the primary.
void AllowanceClient::askNext(Instant now, AccountHash account, AccountState &state, Completions &decided)
{
    const AllowanceRequest last = state.pending->request;
    this->requests.erase(last.requestId);
    state.pending.reset();
    if (state.waiting.empty())
        return;
    if (last.role == GranterRole::Primary)
        return this->ask(now, account, state, GranterRole::Backup, decided);
    decideAll(state, {AllowanceVerdict::Unreachable, unreachableRetryAfter}, decided);
}

void AllowanceClient::decideAll(AccountState &state, const AllowanceDecision &decision, Completions &decided)
{
    for (Callback &callback : state.waiting)
        decided.push_back({std::move(callback), decision});
    state.waiting.clear();
}

void AllowanceClient::advance(Instant now, Completions &decided)
{
    std::vector<AccountHash> overdue;
    for (const auto &[requestId, account] : this->requests) {
        const AccountState &state = this->accounts[account];
        if (state.pending && now - state.pending->sentAt >= answerTimeout)
            overdue.push_back(account);
    }
    for (const AccountHash account : overdue)
        this->askNext(now, account, this->accounts[account], decided);
}

void AllowanceClient::release(Instant now, AccountHash account, Instant acquiredAt)
{
    const auto found = this->accounts.find(account);
    if (found == this->accounts.end() || now - acquiredAt >= tokenLifetime)
        return;
    found->second.stock.push_front({1, acquiredAt + tokenLifetime});
    std::stable_sort(
        found->second.stock.begin(), found->second.stock.end(),
        [](const Batch &first, const Batch &second) { return first.expiresAt < second.expiresAt; });
}

void AllowanceClient::forgetUnused(Instant before)
{
    std::erase_if(this->accounts, [before](const auto &entry) {
        return entry.second.lastCall < before && !entry.second.pending && entry.second.waiting.empty();
    });
}

std::optional<Instant> AllowanceClient::nextTimeout() const
{
    std::optional<Instant> next;
    for (const auto &[requestId, account] : this->requests) {
        const auto state = this->accounts.find(account);
        if (state == this->accounts.end() || !state->second.pending)
            continue;
        const Instant at = state->second.pending->sentAt + answerTimeout;
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

} // namespace Sagecrank

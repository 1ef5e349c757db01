// Reads the key of a request and looks its account up in the configuration in force.
#include "CallerAccounts.h"

namespace Sagecrank {

namespace {

constexpr std::string_view bearerScheme = "Bearer";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

std::optional<std::string_view> findKey(const std::vector<Header> &headers)
{
    std::optional<std::string_view> value;
    for (const Header &header : headers) {
        if (!headerNamesEqual(header.name, keyHeaderName))
            continue;
        if (value)
            return std::nullopt; // Another hop might pick the other one.
        value = trimmed(header.value);
    }
    // Schemes are compared without case (RFC 9110, 11.1).
    if (!value || value->size() <= bearerScheme.size()
        || !headerNamesEqual(value->substr(0, bearerScheme.size()), bearerScheme)
        || (*value)[bearerScheme.size()] != ' ')
        return std::nullopt;
    const std::string_view key = trimmed(value->substr(bearerScheme.size()));
    if (key.empty() || key.find_first_of(" \t,") != std::string_view::npos)
        return std::nullopt;
    return key;
}

CallerAccounts::CallerAccounts(CallerAccountsSettings settings, const ConfigurationHolder &configuration,
                               const FreshnessGuard &freshness, std::function<bool()> mayBeBehind)
    : settings(settings)
    , configuration(configuration)
    , freshness(freshness)
    , mayBeBehind(std::move(mayBeBehind))
{
}

CallerIdentity CallerAccounts::identify(const std::vector<Header> &headers, bool isPublicRoute) const
{
    CallerIdentity identity;
    const auto snapshot = this->configuration.read();
    if (!snapshot || !snapshot->keysRequired())
        return identity;
    identity.keysRequired = true;
    if (isPublicRoute)
        return identity;
    const std::optional<std::string_view> key = findKey(headers);
    if (!key) {
        identity.verdict = KeyVerdict::Missing;
        return identity;
    }
    const Account *account = snapshot->accountOf(digestOfKey(*key));
    if (account == nullptr) {
        identity.verdict = this->isUnknownForGood() ? KeyVerdict::Unknown : KeyVerdict::InDoubt;
        return identity;
    }
    if (!this->freshness.acceptsKeys()) {
        identity.verdict = KeyVerdict::InDoubt;
        return identity;
    }
    identity.verdict = KeyVerdict::Accepted;
    identity.account = Account{account->name, {}, account->priority, account->callsPerSecond, account->burst};
    return identity;
}

// A version that brings the key may be on its way, and 401 is final for a caller.
bool CallerAccounts::isUnknownForGood() const
{
    if (this->mayBeBehind())
        return false;
    return !this->freshness.isBounded() || this->freshness.isYoungerThan(this->settings.unknownKeyProofAge);
}

} // namespace Sagecrank

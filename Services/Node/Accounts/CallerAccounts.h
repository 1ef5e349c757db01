// Authenticates callers by the keys of the accounts in force. Used at the node that a caller is connected to;
// no later hop sees a key.
#pragma once

#include "FreshnessGuard.h"

#include <LibConfig/ConfigurationHolder.h>
#include <LibCore/EnumNames.h>
#include <LibNet/HttpMessages.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Sagecrank {

enum class KeyVerdict : std::uint8_t {
    NotRequired, // The route is public, or the site has no accounts.
    Accepted,
    Missing, // No key, several, or not in the expected form.
    Unknown, // No account holds the key.
    InDoubt, // This node cannot tell at the moment; the caller may retry.
};

inline constexpr EnumNames<KeyVerdict, 5> keyVerdictNames{{
    {KeyVerdict::NotRequired, "not_required"},
    {KeyVerdict::Accepted, "accepted"},
    {KeyVerdict::Missing, "key_missing"},
    {KeyVerdict::Unknown, "key_unknown"},
    {KeyVerdict::InDoubt, "key_in_doubt"},
}};

struct CallerIdentity
{
    KeyVerdict verdict = KeyVerdict::NotRequired;
    bool keysRequired = false; // In this site; keys are then removed from every request.
    // Of an accepted key; without its keys.
    std::optional<Account> account;
};

struct CallerAccountsSettings
{
    // An unknown key is rejected for good only if the configuration was the newest one at most this long ago.
    Milliseconds unknownKeyProofAge{1250};
};

class CallerAccounts
{
public:
    // `mayBeBehind`: whether a newer version than the held one is known to exist.
    CallerAccounts(CallerAccountsSettings settings, const ConfigurationHolder &configuration,
                   const FreshnessGuard &freshness, std::function<bool()> mayBeBehind);

    // From any request thread.
    CallerIdentity identify(const std::vector<Header> &headers, bool isPublicRoute) const;

private:
    bool isUnknownForGood() const;

    const CallerAccountsSettings settings;
    const ConfigurationHolder &configuration;
    const FreshnessGuard &freshness;
    const std::function<bool()> mayBeBehind;
};

inline constexpr std::string_view keyHeaderName = "Authorization";

// The key in "Bearer KEY". Nothing if there is no such header, more than one, or another scheme.
std::optional<std::string_view> findKey(const std::vector<Header> &headers);

} // namespace Sagecrank

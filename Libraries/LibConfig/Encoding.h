// Canonical bytes of what a configuration is made of. The same value always gives the same bytes, so the
// digest of the bytes names the content: two nodes that hold a digest hold the same section.
// Every length is bounded before anything is allocated, so damaged bytes cannot cost memory.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Error.h>

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

using ObjectBytes = std::vector<std::byte>;

// Largest encoded object that is read. A site of 820 services takes about 22 KB of section list; a section
// is some hundred bytes. The limit leaves room and still bounds what a hostile peer can make a node hold.
inline constexpr std::size_t maximumObjectBytes = std::size_t{4} << 20;

Digest digestOf(std::span<const std::byte> bytes);

// 32 hexadecimal digits, high half first.
std::string toHex(const Digest &digest);
Result<Digest> digestFromHex(std::string_view text);

// A value that a 16-bit length cannot hold is refused before this point by checkSection.
ObjectBytes encodeSection(const Section &section);
// Of a site only what its digest stands for: its sections, limits and accounts, not its version and name.
// Limits and accounts that are not stated take no bytes.
ObjectBytes encodeSite(const SiteManifest &site);
ObjectBytes encodeAccounts(const std::vector<Account> &accounts);
ObjectBytes encodeVersionManifest(const VersionManifest &manifest);

// Each checks the digest first and refuses trailing bytes: InvalidInput says which check failed.
Result<Section> decodeSection(std::span<const std::byte> bytes, const Digest &expected);
// Without version and name.
Result<SiteManifest> decodeSite(std::span<const std::byte> bytes, const Digest &expected);
Result<std::vector<Account>> decodeAccounts(std::span<const std::byte> bytes, const Digest &expected);
Result<VersionManifest> decodeVersionManifest(std::span<const std::byte> bytes, const Digest &expected);

Digest sectionDigest(const Section &section);
Digest accountsDigest(const std::vector<Account> &accounts); // Zero for an empty list.
Digest siteDigest(const SiteManifest &site);

// Object names in the store, as agreed with the platform's operators.
std::string sectionObjectName(const Digest &digest);
std::string siteObjectName(const Digest &digest);
std::string accountsObjectName(const Digest &digest);
std::string manifestObjectName(std::uint64_t version, std::string_view publishId);

} // namespace Sagecrank

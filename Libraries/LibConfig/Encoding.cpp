// Encoding and digests: see Encoding.h.
#include <LibConfig/Archive.h>
#include <LibConfig/Encoding.h>

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace Sagecrank {

namespace {

constexpr std::size_t digestHexDigits = 32;

Result<void> checkDigest(std::span<const std::byte> bytes, const Digest &expected, const char *step)
{
    const Digest actual = digestOf(bytes);
    if (actual != expected)
        return makeError(ErrorKind::InvalidInput, step, "",
                         "the digest is " + toHex(actual) + ", expected " + toHex(expected));
    return success();
}

std::string hexadecimal(std::uint64_t value)
{
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

} // namespace

Digest digestOf(std::span<const std::byte> bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return Digest{hash.high64, hash.low64};
}

std::string toHex(const Digest &digest)
{
    return hexadecimal(digest.high) + hexadecimal(digest.low);
}

Result<Digest> digestFromHex(std::string_view text)
{
    const auto parse = [](std::string_view half, std::uint64_t &value) {
        const auto parsed = std::from_chars(half.data(), half.data() + half.size(), value, 16);
        return parsed.ec == std::errc() && parsed.ptr == half.data() + half.size();
    };
    Digest digest;
    if (text.size() != digestHexDigits || !parse(text.substr(0, 16), digest.high)
        || !parse(text.substr(16), digest.low))
        return makeError(ErrorKind::InvalidInput, "read digest", "", "expected 32 hexadecimal digits");
    return digest;
}

ObjectBytes encodeSection(const Section &value)
{
    Section copy = value;
    return writeBytes([&](auto &archive) { section(archive, copy); });
}

ObjectBytes encodeSite(const SiteManifest &site)
{
    SiteManifest copy = site;
    return writeBytes([&](auto &archive) {
        list(archive, copy.sections, [&](SectionReference &each) { reference(archive, each); });
        if (copy.limits != CallerLimits{} || copy.keysRequired)
            limits(archive, copy.limits);
        if (copy.keysRequired)
            digest(archive, copy.accounts);
    });
}

ObjectBytes encodeAccounts(const std::vector<Account> &values)
{
    std::vector<Account> copy = values;
    return writeBytes([&](auto &archive) { accounts(archive, copy); });
}

ObjectBytes encodeVersionManifest(const VersionManifest &manifest)
{
    VersionManifest copy = manifest;
    return writeBytes([&](auto &archive) { versionManifest(archive, copy); });
}

Result<Section> decodeSection(std::span<const std::byte> bytes, const Digest &expected)
{
    TRY_VOID(checkDigest(bytes, expected, "decode section"));
    Section value;
    TRY_VOID(readBytes(bytes, "decode section", [&](auto &archive) { section(archive, value); }));
    return value;
}

Result<SiteManifest> decodeSite(std::span<const std::byte> bytes, const Digest &expected)
{
    TRY_VOID(checkDigest(bytes, expected, "decode site"));
    SiteManifest value;
    TRY_VOID(readBytes(bytes, "decode site", [&](auto &archive, const SpanBuffer &rest) {
        list(archive, value.sections, [&](SectionReference &each) { reference(archive, each); });
        if (!rest.atEnd())
            limits(archive, value.limits);
        value.keysRequired = !rest.atEnd();
        if (value.keysRequired)
            digest(archive, value.accounts);
    }));
    return value;
}

Result<std::vector<Account>> decodeAccounts(std::span<const std::byte> bytes, const Digest &expected)
{
    TRY_VOID(checkDigest(bytes, expected, "decode accounts"));
    std::vector<Account> values;
    TRY_VOID(readBytes(bytes, "decode accounts", [&](auto &archive) { accounts(archive, values); }));
    return values;
}

Result<VersionManifest> decodeVersionManifest(std::span<const std::byte> bytes, const Digest &expected)
{
    TRY_VOID(checkDigest(bytes, expected, "decode version manifest"));
    VersionManifest value;
    TRY_VOID(
        readBytes(bytes, "decode version manifest", [&](auto &archive) { versionManifest(archive, value); }));
    return value;
}

Digest sectionDigest(const Section &value)
{
    return digestOf(encodeSection(value));
}

Digest accountsDigest(const std::vector<Account> &values)
{
    return values.empty() ? Digest{} : digestOf(encodeAccounts(values));
}

Digest siteDigest(const SiteManifest &site)
{
    return digestOf(encodeSite(site));
}

std::string sectionObjectName(const Digest &digest)
{
    return "section/" + toHex(digest);
}

std::string siteObjectName(const Digest &digest)
{
    return "site/" + toHex(digest);
}

std::string accountsObjectName(const Digest &digest)
{
    return "accounts/" + toHex(digest);
}

std::string manifestObjectName(std::uint64_t version, std::string_view publishId)
{
    return "manifest/" + std::to_string(version) + "-" + std::string(publishId);
}

} // namespace Sagecrank

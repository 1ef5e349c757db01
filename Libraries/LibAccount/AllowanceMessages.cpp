// Encodes allowance messages on cereal archives.
#include <LibAccount/AllowanceMessages.h>

#include <LibWire/Archive.h>

#include <xxhash.h>

namespace Sagecrank {

namespace {

constexpr auto decodeStep = "decode allowance message";
constexpr std::uint8_t requestKind = 1;
constexpr std::uint8_t grantKind = 2;

template <typename Archive, typename Request>
void transferRequest(Archive &archive, Request &request)
{
    auto role = static_cast<std::uint8_t>(request.role);
    archive(request.requestId, request.account, role, request.wanted);
    if constexpr (!std::is_const_v<Request>) {
        if (role > static_cast<std::uint8_t>(GranterRole::Backup))
            throw cereal::Exception("the role is out of range");
        request.role = static_cast<GranterRole>(role);
    }
}

template <typename Archive, typename Grant>
void transferGrant(Archive &archive, Grant &grant)
{
    auto result = static_cast<std::uint8_t>(grant.result);
    archive(grant.requestId, result, grant.granted, grant.retryAfterMilliseconds);
    if constexpr (!std::is_const_v<Grant>) {
        if (result > static_cast<std::uint8_t>(GrantResult::NotResponsible))
            throw cereal::Exception("the result is out of range");
        grant.result = static_cast<GrantResult>(result);
    }
}

} // namespace

AccountHash hashAccount(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::string encodeAllowanceMessage(const AllowanceMessage &message)
{
    Bytes bytes;
    MemoryOutputArchive archive(bytes);
    archive(allowanceProtocol);
    if (const auto *request = std::get_if<AllowanceRequest>(&message)) {
        archive(requestKind);
        transferRequest(archive, *request);
    } else {
        archive(grantKind);
        transferGrant(archive, std::get<AllowanceGrant>(message));
    }
    return {bytes.begin(), bytes.end()};
}

Result<AllowanceMessage> decodeAllowanceMessage(std::string_view bytes, const std::string &peer)
{
    try {
        MemoryInputArchive archive({bytes.data(), bytes.size()});
        std::uint8_t protocol = 0;
        std::uint8_t kind = 0;
        archive(protocol, kind);
        AllowanceRequest request;
        AllowanceGrant grant;
        if (protocol != allowanceProtocol || (kind != requestKind && kind != grantKind))
            return makeError(ErrorKind::InvalidInput, decodeStep, peer, "unknown kind of message");
        if (kind == requestKind)
            transferRequest(archive, request);
        else
            transferGrant(archive, grant);
        if (archive.remaining() != 0)
            return makeError(ErrorKind::InvalidInput, decodeStep, peer, "unexpected trailing bytes");
        return kind == requestKind ? AllowanceMessage(request) : AllowanceMessage(grant);
    } catch (const cereal::Exception &exception) {
        return makeError(ErrorKind::InvalidInput, decodeStep, peer, exception.what());
    }
}

} // namespace Sagecrank

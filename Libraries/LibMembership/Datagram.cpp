// Datagram encoding on cereal archives. Texts and lists have one-byte lengths, which are checked before any
// allocation.
#include <LibMembership/Datagram.h>

#include <LibWire/Archive.h>

#include <algorithm>

namespace Sagecrank {

namespace {

constexpr std::uint8_t protocolVersion = 4;

using Writer = MemoryOutputArchive;
using Reader = MemoryInputArchive;

void transferText(Writer &archive, const std::string &text)
{
    const auto length = static_cast<std::uint8_t>(std::min(text.size(), maximumTextBytes));
    archive(length);
    archive(cereal::binary_data(text.data(), length));
}

void transferText(Reader &archive, std::string &text)
{
    std::uint8_t length = 0;
    archive(length);
    if (length > maximumTextBytes)
        throw cereal::Exception("text exceeds the length limit");
    text.resize(length);
    archive(cereal::binary_data(text.data(), length));
}

void transferPayload(Writer &archive, const std::string &payload, std::size_t maximumBytes)
{
    const auto length = static_cast<std::uint16_t>(std::min(payload.size(), maximumBytes));
    archive(length);
    archive(cereal::binary_data(payload.data(), length));
}

void transferPayload(Reader &archive, std::string &payload, std::size_t maximumBytes)
{
    std::uint16_t length = 0;
    archive(length);
    if (length > maximumBytes)
        throw cereal::Exception("payload exceeds the length limit");
    payload.resize(length);
    archive(cereal::binary_data(payload.data(), length));
}

template <typename Archive, typename Update>
void transferUpdate(Archive &archive, Update &update)
{
    archive(update.idHash, update.incarnation, update.staticFieldsHash, update.slots);
    transferEnum(archive, update.state, MemberState::Left);
    transferEnum(archive, update.upstream, UpstreamState::Gone);
}

template <typename Archive, typename Entry>
void transferEntry(Archive &archive, Entry &entry)
{
    archive(entry.idHash, entry.incarnation);
    transferEnum(archive, entry.state, MemberState::Left);
}

template <typename Archive, typename AnyNotice>
void transferNotice(Archive &archive, AnyNotice &notice)
{
    archive(notice.subject, notice.source, notice.state, notice.timeToLiveSeconds);
}

template <typename Archive, typename AnyBulletin>
void transferBulletin(Archive &archive, AnyBulletin &bulletin)
{
    transferText(archive, bulletin.topic);
    archive(bulletin.sequence, bulletin.state, bulletin.timeToLiveSeconds);
    transferPayload(archive, bulletin.payload, maximumBulletinBytes);
}

std::string_view hostOf(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

// A node's listeners usually share one IP address; the later addresses are then encoded as ":port".
std::string shortAddress(const std::string &address, const std::string &reference)
{
    const std::string_view host = hostOf(reference);
    const bool sharesHost = !address.empty() && !host.empty() && hostOf(address) == host;
    return sharesHost ? address.substr(host.size()) : address;
}

void transferAddress(Writer &archive, const std::string &address, const std::string &reference)
{
    transferText(archive, shortAddress(address, reference));
}

void transferAddress(Reader &archive, std::string &address, const std::string &reference)
{
    transferText(archive, address);
    if (!address.empty() && address.front() == ':')
        address.insert(0, hostOf(reference));
    if (address.size() > maximumTextBytes)
        throw cereal::Exception("address exceeds the length limit");
}

// Marks in the byte of the state that a version follows, so that upstreams without one cost nothing.
constexpr std::uint8_t versionFlag = 0x80;

bool transferState(Writer &archive, const Member &member)
{
    const bool hasVersion = !member.version.empty();
    archive(
        static_cast<std::uint8_t>(static_cast<std::uint8_t>(member.state) | (hasVersion ? versionFlag : 0)));
    return hasVersion;
}

bool transferState(Reader &archive, Member &member)
{
    std::uint8_t raw = 0;
    archive(raw);
    const std::uint8_t state = raw & ~versionFlag;
    if (state > static_cast<std::uint8_t>(MemberState::Left))
        throw cereal::Exception("enum value is out of range");
    member.state = static_cast<MemberState>(state);
    return (raw & versionFlag) != 0;
}

template <typename Archive, typename AnyMember>
void transferMember(Archive &archive, AnyMember &member)
{
    transferText(archive, member.id);
    archive(member.incarnation, member.slots);
    const bool hasVersion = transferState(archive, member);
    transferEnum(archive, member.upstream, UpstreamState::Gone);
    transferText(archive, member.region);
    transferText(archive, member.zone);
    transferText(archive, member.site);
    transferText(archive, member.gossipAddress);
    transferAddress(archive, member.peerAddress, member.gossipAddress);
    transferAddress(archive, member.controlAddress, member.gossipAddress);
    archive(member.linkMbps);
    transferText(archive, member.cluster);
    if (hasVersion)
        transferText(archive, member.version);
}

template <typename Item, typename Transfer>
void transferList(Writer &archive, const std::vector<Item> &items, const Transfer &transfer)
{
    archive(static_cast<std::uint8_t>(items.size()));
    for (const Item &item : items)
        transfer(archive, item);
}

// Grows only as items are read, so a false count allocates no more than the datagram holds.
template <typename Item, typename Transfer>
void transferList(Reader &archive, std::vector<Item> &items, const Transfer &transfer)
{
    std::uint8_t count = 0;
    archive(count);
    for (std::uint8_t i = 0; i < count; ++i)
        transfer(archive, items.emplace_back());
}

// Fields that few datagrams have follow at the end, so that the others do not pay for them.
bool hasHeadProof(const Writer &, const Datagram &datagram)
{
    return datagram.headProof.storeMilliseconds != 0;
}

bool hasHeadProof(const Reader &archive, const Datagram &)
{
    return archive.remaining() > 0;
}

bool hasRareFields(const Writer &archive, const Datagram &datagram)
{
    return !datagram.bulletins.empty() || !datagram.report.empty() || hasHeadProof(archive, datagram);
}

bool hasRareFields(const Reader &archive, const Datagram &)
{
    return archive.remaining() > 0;
}

template <typename Archive, typename AnyDatagram>
void transferDatagram(Archive &archive, AnyDatagram &datagram)
{
    const auto transferInteger = [](auto &any, auto &value) { any(value); };
    transferEnum(archive, datagram.kind, DatagramKind::Report);
    archive(datagram.sequence);
    transferText(archive, datagram.sender);
    archive(datagram.senderIncarnation, datagram.heldVersion);
    archive(datagram.head.version, datagram.head.digestHigh, datagram.head.digestLow);
    archive(datagram.storeEra);
    transferText(archive, datagram.target);
    transferText(archive, datagram.targetAddress);
    transferList(archive, datagram.bucketHashes, transferInteger);
    transferList(archive, datagram.buckets, transferInteger);
    transferList(archive, datagram.entries, [](auto &any, auto &entry) { transferEntry(any, entry); });
    transferList(archive, datagram.wanted, transferInteger);
    transferList(archive, datagram.updates, [](auto &any, auto &update) { transferUpdate(any, update); });
    transferList(archive, datagram.members, [](auto &any, auto &member) { transferMember(any, member); });
    transferList(archive, datagram.notices, [](auto &any, auto &notice) { transferNotice(any, notice); });
    if (!hasRareFields(archive, datagram))
        return;
    transferList(archive, datagram.bulletins,
                 [](auto &any, auto &bulletin) { transferBulletin(any, bulletin); });
    transferPayload(archive, datagram.report, maximumReportBytes);
    if (hasHeadProof(archive, datagram))
        archive(datagram.headProof.version, datagram.headProof.storeMilliseconds);
}

} // namespace

std::string encodeDatagram(const Datagram &datagram)
{
    Bytes bytes;
    bytes.reserve(maximumDatagramBytes);
    Writer archive(bytes);
    archive(protocolVersion);
    transferDatagram(archive, datagram);
    return {bytes.begin(), bytes.end()};
}

std::size_t encodedSize(const Member &member)
{
    // Incarnation, slots, link bandwidth and the two states.
    constexpr std::size_t fixedBytes = 8 + 4 + 4 + 2;
    constexpr std::size_t texts = 8;
    return fixedBytes + texts + member.id.size() + member.region.size() + member.zone.size()
           + member.site.size() + member.gossipAddress.size()
           + shortAddress(member.peerAddress, member.gossipAddress).size()
           + shortAddress(member.controlAddress, member.gossipAddress).size() + member.cluster.size()
           + (member.version.empty() ? 0 : 1 + member.version.size());
}

std::size_t encodedSize(const Bulletin &bulletin)
{
    // Sequence, state, time to live and the lengths of both texts.
    constexpr std::size_t fixedBytes = 8 + 1 + 2 + 1 + 2;
    return fixedBytes + bulletin.topic.size() + bulletin.payload.size();
}

Result<Datagram> decodeDatagram(std::string_view bytes, const std::string &peer)
{
    const std::string step = "decode gossip datagram";
    if (bytes.size() > maximumDatagramBytes)
        return makeError(ErrorKind::TooLarge, step, peer, "datagram exceeds the size limit");
    try {
        Reader archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != protocolVersion)
            return makeError(ErrorKind::InvalidInput, step, peer, "unknown protocol version");
        Datagram datagram;
        transferDatagram(archive, datagram);
        if (archive.remaining() != 0)
            return makeError(ErrorKind::InvalidInput, step, peer, "unexpected trailing bytes");
        if (datagram.sender.empty())
            return makeError(ErrorKind::InvalidInput, step, peer, "sender id is empty");
        return datagram;
    } catch (const cereal::Exception &exception) {
        return makeError(ErrorKind::InvalidInput, step, peer, exception.what());
    }
}

} // namespace Sagecrank

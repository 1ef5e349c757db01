// How the model's types travel through a cereal archive: lengths and counts of 16 bits, so that bytes are few
// and a reader never allocates more than the bytes could fill. Used by Encoding.cpp and Delta.cpp only.
#pragma once

#include <LibConfig/Encoding.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>

#include <istream>
#include <limits>
#include <ostream>
#include <stdexcept>
#include <streambuf>
#include <type_traits>

namespace Sagecrank {

inline constexpr std::size_t maximumShortLength = std::numeric_limits<std::uint16_t>::max();

template <typename Archive>
void putLength(Archive &archive, std::size_t length)
{
    if (length > maximumShortLength)
        throw std::length_error("a length above 65535 cannot be encoded");
    archive(static_cast<std::uint16_t>(length));
}

template <typename Archive>
std::size_t getLength(Archive &archive)
{
    std::uint16_t length = 0;
    archive(length);
    return length;
}

// Reads or writes by the archive's direction, so that the two ways cannot drift apart.
template <typename Archive>
void text(Archive &archive, std::string &value)
{
    if constexpr (Archive::is_saving::value) {
        putLength(archive, value.size());
    } else {
        value.resize(getLength(archive));
    }
    archive(cereal::binary_data(value.data(), value.size()));
}

template <typename Archive, typename T, typename Each>
void list(Archive &archive, std::vector<T> &values, Each each)
{
    if constexpr (Archive::is_saving::value) {
        putLength(archive, values.size());
        for (T &value : values)
            each(value);
    } else {
        const std::size_t count = getLength(archive);
        values.clear();
        for (std::size_t i = 0; i < count; ++i)
            each(values.emplace_back()); // Grows as bytes arrive; a false count ends at the last byte.
    }
}

template <typename Archive>
void digest(Archive &archive, Digest &value)
{
    archive(value.high, value.low);
}

inline constexpr std::uint8_t hedgedFlag = 1;
inline constexpr std::uint8_t publicFlag = 2;
inline constexpr std::uint8_t largeResponsesFlag = 4;

template <typename Archive>
void route(Archive &archive, Route &value)
{
    auto callClass = static_cast<std::uint8_t>(value.callClass);
    auto timeout = static_cast<std::uint32_t>(value.timeout.count());
    text(archive, value.name);
    text(archive, value.prefix);
    list(archive, value.methods, [&](std::string &method) { text(archive, method); });
    auto target = static_cast<std::uint32_t>(value.targetLatency.count());
    // One byte, which used to hold only `hedged`.
    auto flags = static_cast<std::uint8_t>((value.hedged ? hedgedFlag : 0) | (value.isPublic ? publicFlag : 0)
                                           | (value.largeResponses ? largeResponsesFlag : 0));
    text(archive, value.host);
    archive(callClass, value.idempotent, timeout, value.maximumRetries, flags, value.priority, target);
    list(archive, value.split, [&](WeightedCluster &part) {
        text(archive, part.cluster);
        archive(part.weight);
    });
    value.callClass = static_cast<CallClass>(callClass);
    value.hedged = (flags & hedgedFlag) != 0;
    value.isPublic = (flags & publicFlag) != 0;
    value.largeResponses = (flags & largeResponsesFlag) != 0;
    value.timeout = Milliseconds(timeout);
    value.targetLatency = Milliseconds(target);
}

template <typename Archive>
void section(Archive &archive, Section &value)
{
    text(archive, value.cluster);
    archive(value.maximumQueue);
    list(archive, value.routes, [&](Route &each) { route(archive, each); });
}

template <typename Archive>
void limits(Archive &archive, CallerLimits &value)
{
    auto headerTimeout = static_cast<std::uint32_t>(value.headerTimeout.count());
    auto idleTimeout = static_cast<std::uint32_t>(value.idleTimeout.count());
    archive(value.headerBytes, value.bodyBytes, headerTimeout, idleTimeout);
    value.headerTimeout = Milliseconds(headerTimeout);
    value.idleTimeout = Milliseconds(idleTimeout);
}

template <typename Archive>
void account(Archive &archive, Account &value)
{
    text(archive, value.name);
    list(archive, value.keys,
         [&](KeyDigest &key) { archive(cereal::binary_data(key.bytes.data(), key.bytes.size())); });
    archive(value.priority, value.callsPerSecond, value.burst);
}

template <typename Archive>
void accounts(Archive &archive, std::vector<Account> &values)
{
    list(archive, values, [&](Account &each) { account(archive, each); });
}

template <typename Archive>
void reference(Archive &archive, SectionReference &value)
{
    text(archive, value.cluster);
    digest(archive, value.digest);
}

template <typename Archive>
void versionManifest(Archive &archive, VersionManifest &value)
{
    archive(value.version);
    text(archive, value.publishId);
    list(archive, value.sites, [&](VersionManifest::SiteReference &site) {
        text(archive, site.site);
        digest(archive, site.digest);
    });
}

// A stream buffer over bytes that somebody else holds, so that reading copies nothing.
class SpanBuffer : public std::streambuf
{
public:
    explicit SpanBuffer(std::span<const std::byte> bytes)
    {
        auto *start = const_cast<char *>(reinterpret_cast<const char *>(bytes.data()));
        this->setg(start, start, start + bytes.size());
    }
    bool atEnd() const { return this->gptr() == this->egptr(); }
};

// A stream buffer that appends to a byte vector.
class BytesBuffer : public std::streambuf
{
public:
    ObjectBytes take() { return std::move(this->bytes); }

protected:
    std::streamsize xsputn(const char *data, std::streamsize size) override
    {
        const auto *first = reinterpret_cast<const std::byte *>(data);
        this->bytes.insert(this->bytes.end(), first, first + size);
        return size;
    }
    int_type overflow(int_type character) override
    {
        this->bytes.push_back(static_cast<std::byte>(character));
        return character;
    }

private:
    ObjectBytes bytes;
};

template <typename Write>
ObjectBytes writeBytes(Write write)
{
    BytesBuffer buffer;
    {
        std::ostream stream(&buffer);
        cereal::PortableBinaryOutputArchive archive(stream);
        write(archive);
    }
    return buffer.take();
}

// Runs `read` over the whole of `bytes`; anything left over, missing or too large is InvalidInput. A reader
// of what may end early takes the buffer as well.
template <typename Read>
Result<void> readBytes(std::span<const std::byte> bytes, const char *step, Read read)
{
    if (bytes.size() > maximumObjectBytes)
        return makeError(ErrorKind::TooLarge, step, "", "the object is larger than 4 MiB");
    SpanBuffer buffer(bytes);
    std::istream stream(&buffer);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        if constexpr (std::is_invocable_v<Read, decltype(archive) &, const SpanBuffer &>)
            read(archive, buffer);
        else
            read(archive);
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::InvalidInput, step, "", exception.what());
    }
    if (!buffer.atEnd())
        return makeError(ErrorKind::InvalidInput, step, "", "bytes are left over after the last field");
    return success();
}

} // namespace Sagecrank

// Cereal archives over memory: the output archive appends to a byte vector, the input archive reads a span
// with bounds checks. Numbers are little-endian. Input from a peer is untrusted, so a length that exceeds the
// remaining bytes is rejected before any allocation.
#pragma once

#include <LibCore/Error.h>

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>
#include <string>
#include <type_traits>
#include <vector>

namespace Sagecrank {

static_assert(std::endian::native == std::endian::little, "messages are written in native byte order");

using Bytes = std::vector<char>;

class MemoryOutputArchive : public cereal::OutputArchive<MemoryOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit MemoryOutputArchive(Bytes &target)
        : cereal::OutputArchive<MemoryOutputArchive, cereal::AllowEmptyClassElision>(this)
        , target(target)
    {
    }

    void saveBinary(const void *data, std::size_t size)
    {
        const char *first = static_cast<const char *>(data);
        this->target.insert(this->target.end(), first, first + size);
    }

private:
    Bytes &target;
};

class MemoryInputArchive : public cereal::InputArchive<MemoryInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit MemoryInputArchive(std::span<const char> source)
        : cereal::InputArchive<MemoryInputArchive, cereal::AllowEmptyClassElision>(this)
        , source(source)
    {
    }

    void loadBinary(void *data, std::size_t size)
    {
        if (size > this->source.size())
            throw cereal::Exception("unexpected end of message");
        if (size > 0)
            std::memcpy(data, this->source.data(), size);
        this->source = this->source.subspan(size);
    }

    std::size_t remaining() const { return this->source.size(); }

private:
    std::span<const char> source;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive &archive,
                               const T &value) // NOLINT(readability-identifier-naming)
{
    archive.saveBinary(std::addressof(value), sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(MemoryInputArchive &archive, T &value) // NOLINT(readability-identifier-naming)
{
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t raw = 0;
        archive.loadBinary(&raw, sizeof(raw));
        if (raw > 1)
            throw cereal::Exception("a flag is neither 0 nor 1");
        value = raw == 1;
    } else {
        archive.loadBinary(std::addressof(value), sizeof(value));
    }
}

// Transfers an enumeration with the values from 0 to `last`. Code that indexes tables by it or switches over
// it relies on no other value being read.
template <typename Enum>
void transferEnum(MemoryOutputArchive &archive, const Enum &value, Enum)
{
    archive(static_cast<std::uint8_t>(value));
}

template <typename Enum>
void transferEnum(MemoryInputArchive &archive, Enum &value, Enum last)
{
    std::uint8_t raw = 0;
    archive(raw);
    if (raw > static_cast<std::uint8_t>(last))
        throw cereal::Exception("enum value is out of range");
    value = static_cast<Enum>(raw);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(MemoryOutputArchive &archive, cereal::NameValuePair<T> &pair) // NOLINT
{
    archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(MemoryInputArchive &archive, cereal::NameValuePair<T> &pair) // NOLINT
{
    archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(MemoryOutputArchive &archive, cereal::SizeTag<T> &tag) // NOLINT
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    archive(size);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(MemoryInputArchive &archive, cereal::SizeTag<T> &tag) // NOLINT
{
    std::uint32_t size = 0;
    archive(size);
    // Each element takes at least one byte, so a larger count cannot be valid.
    if (size > archive.remaining())
        throw cereal::Exception("length exceeds the message");
    tag.size = size;
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive &archive, const cereal::BinaryData<T> &data) // NOLINT
{
    archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(MemoryInputArchive &archive, cereal::BinaryData<T> &data) // NOLINT
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

template <typename Message>
void appendEncoded(Bytes &target, const Message &message)
{
    MemoryOutputArchive archive(target);
    archive(message);
}

template <typename Message>
Bytes encode(const Message &message)
{
    Bytes bytes;
    appendEncoded(bytes, message);
    return bytes;
}

// Fails with InvalidInput unless the bytes are exactly one message.
template <typename Message>
Result<Message> decode(std::span<const char> bytes, const std::string &step, const std::string &peer)
{
    try {
        MemoryInputArchive archive(bytes);
        Message message;
        archive(message);
        if (archive.remaining() > 0)
            return makeError(ErrorKind::InvalidInput, step, peer, "trailing bytes after the message");
        return message;
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::InvalidInput, step, peer, exception.what());
    }
}

} // namespace Sagecrank

CEREAL_REGISTER_ARCHIVE(Sagecrank::MemoryOutputArchive)
CEREAL_REGISTER_ARCHIVE(Sagecrank::MemoryInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(Sagecrank::MemoryInputArchive, Sagecrank::MemoryOutputArchive)

// Splits a byte stream into frames.
#include <LibWire/Frame.h>

namespace Sagecrank {

Result<void> FrameReader::feed(std::span<const char> bytes, const FrameCallback &onFrame)
{
    const bool hasPartial = !this->partial.empty();
    if (hasPartial)
        this->partial.insert(this->partial.end(), bytes.begin(), bytes.end());
    const std::span<const char> all = hasPartial ? std::span<const char>(this->partial) : bytes;
    std::span<const char> rest = all;

    while (rest.size() >= frameHeaderSize) {
        std::uint32_t length = 0;
        std::memcpy(&length, rest.data(), sizeof(length));
        if (length > this->maximumSize)
            return makeError(ErrorKind::TooLarge, "read frame", "",
                             "a frame of " + std::to_string(length) + " bytes");
        if (rest.size() < frameHeaderSize + length)
            break;
        const auto type = static_cast<FrameType>(rest[sizeof(length)]);
        onFrame(type, rest.subspan(frameHeaderSize, length));
        rest = rest.subspan(frameHeaderSize + length);
    }
    // A large body arrives in some hundred pieces. Copying the partial frame at each piece would copy two
    // gigabytes for a 16 MiB frame, so it is left in place until frames have been consumed.
    if (!hasPartial || rest.size() < all.size())
        this->partial = Bytes(rest.begin(), rest.end());
    return success();
}

} // namespace Sagecrank

// Cuts a byte stream into frames.
#include <LibWire/Frame.h>

namespace Sagecrank {

Result<void> FrameReader::feed(std::span<const char> bytes, const FrameCallback &frame)
{
    const bool joined = !this->partial.empty();
    if (joined)
        this->partial.insert(this->partial.end(), bytes.begin(), bytes.end());
    const std::span<const char> all = joined ? std::span<const char>(this->partial) : bytes;
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
        frame(type, rest.subspan(frameHeaderSize, length));
        rest = rest.subspan(frameHeaderSize + length);
    }
    // Load: a body of megabytes comes in some hundred pieces. Harm: copied at each piece, 16 MiB cost two
    // gigabytes of copying. So what waits for its end stays where it is.
    if (!joined || rest.size() < all.size())
        this->partial = Bytes(rest.begin(), rest.end());
    return success();
}

} // namespace Sagecrank

// Frames on a TCP connection between nodes: four bytes of length, one byte of type, then one encoded message.
// The reader takes bytes as they come and hands out whole frames; it knows no sockets.
#pragma once

#include <LibCore/Error.h>
#include <LibWire/Archive.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string>

namespace Sagecrank {

enum class FrameType : std::uint8_t {
    Hello = 1,
    CallRequest,
    CallResponse,
    CallCancel,
    Ping,
    Pong,
    CallWithdraw, // A CallCancel for a call that has not begun; one that runs goes on.
    CallHead,     // A call whose body stays with its sender until it is granted.
    CallGrant,
    CallBody, // Once for each grant; the call is whole then.
    GoAway,   // The last frame of a node that ends.
    // Configuration pulls, on the control port.
    PullRequest = 32,
    PullResponse,
};

// The largest body that a call or its answer may have; a site's own limit is at most this.
inline constexpr std::size_t maximumBodySize = std::size_t{16} << 20;

// A frame carries a body whole, and has room for its headers. A longer frame is taken for a broken or hostile
// peer, whose connection is closed before memory is given to it.
inline constexpr std::size_t maximumFrameSize = maximumBodySize + (std::size_t{1} << 20);

inline constexpr std::size_t frameHeaderSize = 5;

// Room that most frames fit in without growing.
inline constexpr std::size_t initialFrameCapacity = 1024;

template <typename Message>
Bytes encodeFrame(FrameType type, const Message &message)
{
    Bytes bytes;
    bytes.reserve(initialFrameCapacity);
    bytes.resize(frameHeaderSize);
    appendEncoded(bytes, message);
    const auto length = static_cast<std::uint32_t>(bytes.size() - frameHeaderSize);
    std::memcpy(bytes.data(), &length, sizeof(length));
    bytes[sizeof(length)] = static_cast<char>(type);
    return bytes;
}

class FrameReader
{
public:
    // The payload is only valid during the call.
    using FrameCallback = std::function<void(FrameType, std::span<const char> payload)>;

    explicit FrameReader(std::size_t maximumSize = maximumFrameSize)
        : maximumSize(maximumSize)
    {
    }

    // Fails when a frame is too long; the connection is then of no more use.
    Result<void> feed(std::span<const char> bytes, const FrameCallback &frame);

private:
    std::size_t maximumSize; // Of a payload.
    Bytes partial;           // The start of a frame whose end has not come yet.
};

} // namespace Sagecrank

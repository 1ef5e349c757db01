// Framing for TCP connections between nodes: a four-byte length, a one-byte type and one encoded message. The
// reader is independent of sockets: it is fed bytes as they arrive and emits whole frames.
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
    CallWithdraw, // Cancels a call that has not started; a running one continues.
    CallHead,     // A call whose sender keeps the body until it receives a grant.
    CallGrant,
    CallBody, // Sent once per grant; completes the call.
    GoAway,   // The last frame of a node that shuts down.
    // Configuration pulls, on the control port.
    PullRequest = 32,
    PullResponse,
    TableBatch, // Part of an exchange of member tables, on the control port.
};

// The maximum body size of a call or its response. The configured limit of a site cannot exceed it.
inline constexpr std::size_t maximumBodySize = std::size_t{16} << 20;

// Leaves room for a whole body and its headers. A longer frame comes from a faulty or hostile peer, and its
// connection is closed before memory is allocated for the frame.
inline constexpr std::size_t maximumFrameSize = maximumBodySize + (std::size_t{1} << 20);

inline constexpr std::size_t frameHeaderSize = 5;

// Most frames fit without reallocation.
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
    // The payload is valid only during the callback.
    using FrameCallback = std::function<void(FrameType, std::span<const char> payload)>;

    explicit FrameReader(std::size_t maximumSize = maximumFrameSize)
        : maximumSize(maximumSize)
    {
    }

    // Fails when a frame is too long; the stream cannot be resynchronised after that.
    Result<void> feed(std::span<const char> bytes, const FrameCallback &onFrame);

private:
    std::size_t maximumSize; // Of a payload.
    Bytes partial;           // The start of an incomplete frame.
};

} // namespace Sagecrank

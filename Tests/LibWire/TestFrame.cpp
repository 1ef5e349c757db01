// Frames and messages between nodes: whole, in chunks, truncated and malformed.
#include <LibWire/Frame.h>
#include <LibWire/PeerMessages.h>

#include <Support/TableTest.h>

#include <random>

using namespace Sagecrank;

namespace {

CallRequest makeRequest()
{
    CallRequest request;
    request.callId = 7;
    request.cluster = "booking";
    request.callClass = CallClass::NonIdempotent;
    request.remainingMicroseconds = 250000;
    request.attemptId = "a-1";
    request.idempotencyKey = "key";
    request.method = "POST";
    request.target = "/reserve";
    request.headers = {{"Content-Type", "text/plain"}};
    request.body = "two places";
    return request;
}

struct ChunkRow
{
    std::size_t size;
};

const ChunkRow chunkRows[] = {{1}, {2}, {4}, {5}, {7}, {1000}};

struct MalformedRow
{
    const char *what;
    std::vector<unsigned char> bytes;
};

const MalformedRow malformedRows[] = {
    {"nothing", {}},
    {"half a number", {1, 2, 3}},
    {"a string longer than the message", {0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 'a'}},
    {"a string of most of the address space", {0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f}},
};

} // namespace

TABLE_TEST(frame, isReassembledFromChunks, chunkRows)
{
    Bytes stream = encodeFrame(FrameType::CallRequest, makeRequest());
    const Bytes second = encodeFrame(FrameType::Ping, Heartbeat{3});
    stream.insert(stream.end(), second.begin(), second.end());

    std::vector<FrameType> types;
    std::string body;
    FrameReader reader;
    const std::span<const char> all(stream);
    for (std::size_t at = 0; at < all.size(); at += row.size) {
        const auto piece = all.subspan(at, std::min(row.size, all.size() - at));
        const Result<void> result = reader.feed(piece, [&](FrameType type, std::span<const char> payload) {
            types.push_back(type);
            if (type == FrameType::CallRequest)
                body = decode<CallRequest>(payload, "test", "").value().body;
        });
        cr_assert(result.has_value());
    }
    cr_assert(types == std::vector({FrameType::CallRequest, FrameType::Ping}));
    cr_assert(body == "two places");
}

// A peer announces a frame of four gigabytes. Without a limit the node would buffer it; the reader fails at
// the frame header, before allocating memory.
Test(frame, oversizedFrameIsRejectedAtItsHeader)
{
    const unsigned char header[] = {0xff, 0xff, 0xff, 0xff, 2};
    FrameReader reader;
    bool called = false;
    const Result<void> result = reader.feed({reinterpret_cast<const char *>(header), sizeof(header)},
                                            [&](FrameType, std::span<const char>) { called = true; });
    cr_assert(!result);
    cr_assert(result.error().kind == ErrorKind::TooLarge);
    cr_assert(!called);
}

// A body of the maximum size, with headers, arrives in chunks as from a socket.
Test(frame, maximumBodySizeIsAccepted)
{
    CallRequest request = makeRequest();
    request.body.assign(maximumBodySize, 'b');
    request.headers.push_back({"X", std::string(std::size_t{500} << 10, 'x')});
    const Bytes stream = encodeFrame(FrameType::CallRequest, request);
    constexpr std::size_t piece = 65536;
    FrameReader reader;
    std::size_t receivedBytes = 0;
    for (std::size_t at = 0; at < stream.size(); at += piece) {
        const std::span<const char> part(stream.data() + at, std::min(piece, stream.size() - at));
        const Result<void> result = reader.feed(part, [&](FrameType, std::span<const char> payload) {
            receivedBytes = decode<CallRequest>(payload, "test", "").value().body.size();
        });
        cr_assert(result.has_value());
    }
    cr_assert(receivedBytes == maximumBodySize);
}

TABLE_TEST(message, malformedBytesAreRejected, malformedRows)
{
    const std::span<const char> bytes(reinterpret_cast<const char *>(row.bytes.data()), row.bytes.size());
    const Result<CallRequest> request = decode<CallRequest>(bytes, "read call", "peer");
    cr_assert(!request, "%s", row.what);
    cr_assert(request.error().kind == ErrorKind::InvalidInput);
    cr_assert(request.error().peer == "peer");
}

// Guards against a flag that is neither true nor false, which has no defined meaning, and against an index
// beyond a table.
Test(message, valuesOutOfRangeAreRejected)
{
    const CallRequest call = makeRequest();
    const std::size_t classAt = encode(call.callId).size() + encode(call.cluster).size();
    for (const std::size_t at : {classAt, classAt + 1}) {
        for (const int value : {3, 7, 255}) {
            Bytes changed = encode(call);
            changed[at] = static_cast<char>(value);
            cr_assert(!decode<CallRequest>(changed, "read call", "peer"), "%zu: %d", at, value);
        }
    }
    CallResponse response;
    response.outcome = static_cast<Outcome>(3);
    cr_assert(!decode<CallResponse>(encode(response), "read response", "peer"));
}

// Every truncation of a valid message is rejected, and no random mutation crashes the process.
Test(message, truncatedAndMutatedMessagesAreHandled)
{
    const Bytes valid = encode(makeRequest());
    for (std::size_t size = 0; size < valid.size(); ++size)
        cr_assert(!decode<CallRequest>({valid.data(), size}, "read call", "peer"));
    std::mt19937_64 random(20);
    for (int round = 0; round < 20000; ++round) {
        Bytes changed = valid;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change)
            changed[random() % changed.size()] = static_cast<char>(random());
        (void)decode<CallRequest>(changed, "read call", "peer");
    }
}

// Randomly mutated frames and messages: a peer may run another version or not be a node at all.
#include <LibWire/Frame.h>
#include <LibWire/PeerMessages.h>

#include <Support/InputMutator.h>
#include <Support/TableTest.h>

using namespace Sagecrank;

namespace {

const std::uint64_t seeds[] = {1, 2, 3, 4, 5, 6, 7, 8};

std::string makeStream()
{
    CallRequest request;
    request.callId = 7;
    request.cluster = "booking";
    request.attemptId = "a-1";
    request.method = "POST";
    request.target = "/reserve";
    request.headers = {{"Content-Type", "text/plain"}, {"Accept", "*/*"}};
    request.body = std::string(300, 'x');
    CallResponse response;
    response.callId = 7;
    response.status = 200;
    response.headers = {{"Content-Type", "text/plain"}};
    response.body = "taken";
    std::string stream;
    for (const Bytes &frame :
         {encodeFrame(FrameType::CallRequest, request), encodeFrame(FrameType::CallResponse, response),
          encodeFrame(FrameType::Ping, Heartbeat{3}), encodeFrame(FrameType::CallHead, CallHead{request, 40}),
          encodeFrame(FrameType::CallGrant, CallGrant{7}),
          encodeFrame(FrameType::CallBody, CallBody{7, "body"})})
        stream.append(frame.begin(), frame.end());
    return stream;
}

template <typename Message>
void decodeAndReencode(std::span<const char> payload)
{
    const Result<Message> decoded = decode<Message>(payload, "decode", "peer");
    if (!decoded)
        return;
    const Bytes reencoded = encode(decoded.value());
    cr_assert(std::ranges::equal(reencoded, payload), "a decoded message must encode to the same bytes");
}

} // namespace

// A mutated stream yields an error or messages; the reader buffers at most one frame of the maximum size.
TABLE_TEST(hostileInput, streams, seeds)
{
    InputMutator mutator(row);
    const std::string valid = makeStream();
    for (std::size_t round = 0; round < InputMutator::scaledRounds(3000); ++round) {
        const std::string mutated = mutator.mutate(valid);
        FrameReader reader;
        (void)reader.feed(std::span<const char>(mutated), [](FrameType type, std::span<const char> payload) {
            if (type == FrameType::CallRequest)
                decodeAndReencode<CallRequest>(payload);
            else if (type == FrameType::CallResponse)
                decodeAndReencode<CallResponse>(payload);
            else if (type == FrameType::CallHead)
                decodeAndReencode<CallHead>(payload);
            else if (type == FrameType::CallGrant)
                decodeAndReencode<CallGrant>(payload);
            else if (type == FrameType::CallBody)
                decodeAndReencode<CallBody>(payload);
            else
                (void)decode<Heartbeat>(payload, "decode", "peer");
        });
    }
}

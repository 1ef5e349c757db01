// Encodes and decodes roll-out records.
#include <LibRollout/Rollout.h>

#include <LibWire/Archive.h>

#include <algorithm>
#include <limits>

namespace Sagecrank {

namespace {

struct RecordMessage
{
    std::string cluster;
    std::string target;
    std::string established;
    std::uint64_t sequence = 0;
    std::uint32_t durationMilliseconds = 0;
    std::int32_t remainingMilliseconds = 0;
    std::uint8_t stage = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->cluster, this->target, this->established, this->sequence, this->durationMilliseconds,
                this->remainingMilliseconds, this->stage);
    }
};

template <typename Integer>
Integer clampedMilliseconds(Duration duration)
{
    const std::int64_t milliseconds = std::chrono::duration_cast<Milliseconds>(duration).count();
    return static_cast<Integer>(std::clamp<std::int64_t>(milliseconds, std::numeric_limits<Integer>::min(),
                                                         std::numeric_limits<Integer>::max()));
}

} // namespace

std::string encodeRecord(const RolloutRecord &record, Instant now)
{
    RecordMessage message;
    message.cluster = record.order.cluster;
    message.target = record.order.target;
    message.established = record.established;
    message.sequence = record.order.sequence;
    message.durationMilliseconds = clampedMilliseconds<std::uint32_t>(record.order.duration);
    message.remainingMilliseconds = clampedMilliseconds<std::int32_t>(record.deadline - now);
    message.stage = static_cast<std::uint8_t>(record.stage);
    const Bytes bytes = encode(message);
    return {bytes.begin(), bytes.end()};
}

Result<RolloutRecord> decodeRecord(std::string_view bytes, Instant now, const std::string &peer)
{
    const Result<RecordMessage> decoded =
        decode<RecordMessage>({bytes.data(), bytes.size()}, "decode roll-out record", peer);
    if (!decoded)
        return decoded.error();
    const RecordMessage &message = decoded.value();
    if (message.cluster.empty() || message.target.empty()
        || message.stage > static_cast<std::uint8_t>(RolloutStage::Completed))
        return makeError(ErrorKind::InvalidInput, "decode roll-out record", peer, "a field is out of range");
    RolloutRecord record;
    record.order.cluster = message.cluster;
    record.order.target = message.target;
    record.order.sequence = message.sequence;
    record.order.duration = Milliseconds(message.durationMilliseconds);
    record.established = message.established;
    record.stage = static_cast<RolloutStage>(message.stage);
    record.deadline = now + Milliseconds(message.remainingMilliseconds);
    record.stageSince = now;
    return record;
}

} // namespace Sagecrank

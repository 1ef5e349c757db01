// Parses fault settings and draws faults from a seeded generator, so that a run can be reproduced.
#include <PlatformEmulator/Faults.h>

#include <boost/json.hpp>

#include <algorithm>

namespace Sagecrank {

namespace json = boost::json;

namespace {

Error invalid(std::string_view key)
{
    return makeError(ErrorKind::InvalidInput, "read faults", "",
                     "bad value or unknown key: " + std::string(key));
}

bool readFlag(const json::value &value, bool &result)
{
    if (!value.is_bool())
        return false;
    result = value.as_bool();
    return true;
}

bool readShare(const json::value &value, double &result)
{
    json::error_code error;
    const auto share = value.to_number<double>(error);
    if (error || !(share >= 0 && share <= 1))
        return false;
    result = share;
    return true;
}

bool readMilliseconds(const json::value &value, Milliseconds &result)
{
    constexpr std::int64_t longest = 600'000;
    json::error_code error;
    const auto count = value.to_number<std::int64_t>(error);
    if (error || count < 0 || count > longest)
        return false;
    result = Milliseconds(count);
    return true;
}

bool readSeed(const json::value &value, std::uint64_t &result)
{
    json::error_code error;
    result = value.to_number<std::uint64_t>(error);
    return !error;
}

bool readSetting(std::string_view key, const json::value &value, FaultSettings &result)
{
    if (key == "down")
        return readFlag(value, result.down);
    if (key == "down_answers")
        return readFlag(value, result.answerWhileDown);
    if (key == "delay_ms")
        return readMilliseconds(value, result.delay);
    if (key == "answer_delay_ms")
        return readMilliseconds(value, result.answerDelay);
    if (key == "lose_answers")
        return readShare(value, result.lostAnswerShare);
    if (key == "late_writes")
        return readShare(value, result.lateWriteShare);
    if (key == "late_ms")
        return readMilliseconds(value, result.lateWriteDelay);
    if (key == "reject_writes")
        return readFlag(value, result.rejectWrites);
    if (key == "seed")
        return readSeed(value, result.seed);
    return false;
}

} // namespace

Result<FaultSettings> parseFaultSettings(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object())
        return makeError(ErrorKind::InvalidInput, "read faults", "", "expected a JSON object");
    FaultSettings settings;
    for (const auto &[key, content] : value.as_object()) {
        if (!readSetting(std::string_view(key.data(), key.size()), content, settings))
            return invalid(std::string_view(key.data(), key.size()));
    }
    return settings;
}

WriteFault FaultInjector::drawWriteFault()
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    if (draw < this->current.lostAnswerShare)
        return WriteFault::AnswerLost;
    if (draw < this->current.lostAnswerShare + this->current.lateWriteShare)
        return WriteFault::AppliedLate;
    return WriteFault::None;
}

void FaultInjector::set(const FaultSettings &settings)
{
    this->current = settings;
    this->random.seed(settings.seed);
}

bool RateLimiter::tryTake(double units, Instant now)
{
    if (this->last != Instant{}) {
        const double seconds = std::chrono::duration<double>(now - this->last).count();
        this->available = std::min(this->rate, this->available + (seconds * this->rate));
    }
    this->last = now;
    if (this->available < units)
        return false;
    this->available -= units;
    return true;
}

} // namespace Sagecrank

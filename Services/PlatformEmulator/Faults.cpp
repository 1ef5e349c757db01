// Draws faults from a seeded generator, so that a run can be repeated.
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

bool readFlag(const json::value &value, bool &into)
{
    if (!value.is_bool())
        return false;
    into = value.as_bool();
    return true;
}

bool readShare(const json::value &value, double &into)
{
    json::error_code error;
    const auto share = value.to_number<double>(error);
    if (error || !(share >= 0 && share <= 1))
        return false;
    into = share;
    return true;
}

bool readMilliseconds(const json::value &value, Milliseconds &into)
{
    constexpr std::int64_t longest = 600'000;
    json::error_code error;
    const auto count = value.to_number<std::int64_t>(error);
    if (error || count < 0 || count > longest)
        return false;
    into = Milliseconds(count);
    return true;
}

bool readSeed(const json::value &value, std::uint64_t &into)
{
    json::error_code error;
    into = value.to_number<std::uint64_t>(error);
    return !error;
}

bool readSetting(std::string_view key, const json::value &value, FaultSettings &into)
{
    if (key == "down")
        return readFlag(value, into.down);
    if (key == "down_answers")
        return readFlag(value, into.downAnswers);
    if (key == "delay_ms")
        return readMilliseconds(value, into.delay);
    if (key == "answer_delay_ms")
        return readMilliseconds(value, into.answerDelay);
    if (key == "lose_answers")
        return readShare(value, into.loseAnswers);
    if (key == "late_writes")
        return readShare(value, into.lateWrites);
    if (key == "late_ms")
        return readMilliseconds(value, into.lateBy);
    if (key == "reject_writes")
        return readFlag(value, into.rejectWrites);
    if (key == "seed")
        return readSeed(value, into.seed);
    return false;
}

} // namespace

Result<FaultSettings> readFaults(std::string_view text)
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

WriteFate Faults::drawWriteFate()
{
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    if (draw < this->current.loseAnswers)
        return WriteFate::AnswerLost;
    if (draw < this->current.loseAnswers + this->current.lateWrites)
        return WriteFate::EffectLate;
    return WriteFate::Answered;
}

void Faults::set(const FaultSettings &settings)
{
    this->current = settings;
    this->random.seed(settings.seed);
}

bool RateLimit::take(double units, Instant now)
{
    if (this->last != Instant{}) {
        const double seconds = std::chrono::duration<double>(now - this->last).count();
        this->saved = std::min(this->rate, this->saved + (seconds * this->rate));
    }
    this->last = now;
    if (this->saved < units)
        return false;
    this->saved -= units;
    return true;
}

} // namespace Sagecrank

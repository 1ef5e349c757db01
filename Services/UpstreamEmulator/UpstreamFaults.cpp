// Reads fault settings and draws the fate of calls from a seeded generator, so that a run can be repeated.
#include <UpstreamEmulator/UpstreamFaults.h>

#include <boost/json.hpp>

namespace Sagecrank {

namespace json = boost::json;

namespace {

bool readNumber(const json::value &value, double lowest, double highest, double &into)
{
    json::error_code error;
    const auto number = value.to_number<double>(error);
    if (error || !(number >= lowest && number <= highest))
        return false;
    into = number;
    return true;
}

bool readFlag(const json::value &value, bool &into)
{
    if (!value.is_bool())
        return false;
    into = value.as_bool();
    return true;
}

bool readSetting(std::string_view key, const json::value &value, UpstreamFaultSettings &into)
{
    constexpr double slowest = 1'000'000;
    constexpr double longestLag = 600'000;
    if (key == "slow_factor")
        return readNumber(value, 0, slowest, into.slowFactor);
    if (const auto fate = callFateShares.value(key))
        return readNumber(value, 0, 1, into.shares[static_cast<std::size_t>(*fate)]);
    if (key == "misleading_health")
        return readFlag(value, into.misleadingHealth);
    if (key == "silent")
        return readFlag(value, into.silent);
    if (key == "health_lag_ms") {
        double milliseconds = 0;
        const bool good = readNumber(value, 0, longestLag, milliseconds);
        into.healthLag = Milliseconds(static_cast<std::int64_t>(milliseconds));
        return good;
    }
    if (key == "seed") {
        json::error_code error;
        into.seed = value.to_number<std::uint64_t>(error);
        return !error;
    }
    return false;
}

} // namespace

Result<UpstreamFaultSettings> readUpstreamFaults(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !value.is_object())
        return makeError(ErrorKind::InvalidInput, "read faults", "", "expected a JSON object");
    UpstreamFaultSettings settings;
    for (const auto &[key, content] : value.as_object()) {
        if (!readSetting(std::string_view(key.data(), key.size()), content, settings))
            return makeError(ErrorKind::InvalidInput, "read faults", "",
                             "bad value or unknown key: " + std::string(key));
    }
    return settings;
}

CallFate UpstreamFaults::drawFate()
{
    double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    for (const auto &[fate, name] : callFateShares.rows) {
        const double share = fate == CallFate::Early ? 0 : this->share(fate);
        if (draw < share)
            return fate;
        draw -= share;
    }
    return CallFate::Served;
}

bool UpstreamFaults::drawEarly()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < this->share(CallFate::Early);
}

double UpstreamFaults::share(CallFate fate) const
{
    return this->current.shares[static_cast<std::size_t>(fate)];
}

void UpstreamFaults::set(const UpstreamFaultSettings &settings)
{
    this->current = settings;
    this->random.seed(settings.seed);
}

} // namespace Sagecrank

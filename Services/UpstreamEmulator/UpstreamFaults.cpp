// Parses fault settings and draws faults from a seeded generator, so that a run can be reproduced.
#include <UpstreamEmulator/UpstreamFaults.h>

#include <boost/json.hpp>

namespace Sagecrank {

namespace json = boost::json;

namespace {

bool readNumber(const json::value &value, double lowest, double highest, double &result)
{
    json::error_code error;
    const auto number = value.to_number<double>(error);
    if (error || !(number >= lowest && number <= highest))
        return false;
    result = number;
    return true;
}

bool readFlag(const json::value &value, bool &result)
{
    if (!value.is_bool())
        return false;
    result = value.as_bool();
    return true;
}

bool readSetting(std::string_view key, const json::value &value, UpstreamFaultSettings &result)
{
    constexpr double slowest = 1'000'000;
    constexpr double maximumLag = 600'000;
    constexpr double maximumNamedLimit = 1'000'000;
    if (key == "slow_factor")
        return readNumber(value, 0, slowest, result.slowFactor);
    if (const auto callFault = callFaultShareKeys.value(key))
        return readNumber(value, 0, 1, result.shares[static_cast<std::size_t>(*callFault)]);
    if (key == "misleading_health")
        return readFlag(value, result.misleadingHealth);
    if (key == "silent")
        return readFlag(value, result.silent);
    if (key == "named_limit") {
        double callsPerSecond = 0;
        const bool good = readNumber(value, 0, maximumNamedLimit, callsPerSecond);
        result.namedLimit = static_cast<std::uint32_t>(callsPerSecond);
        return good;
    }
    if (key == "health_lag_ms") {
        double milliseconds = 0;
        const bool good = readNumber(value, 0, maximumLag, milliseconds);
        result.healthLag = Milliseconds(static_cast<std::int64_t>(milliseconds));
        return good;
    }
    if (key == "seed") {
        json::error_code error;
        result.seed = value.to_number<std::uint64_t>(error);
        return !error;
    }
    return false;
}

} // namespace

Result<UpstreamFaultSettings> parseUpstreamFaultSettings(std::string_view text)
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

CallFault UpstreamFaultInjector::drawCallFault()
{
    double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    for (const auto &[callFault, name] : callFaultShareKeys.rows) {
        const double share = callFault == CallFault::RefusedEarly ? 0 : this->share(callFault);
        if (draw < share)
            return callFault;
        draw -= share;
    }
    return CallFault::None;
}

bool UpstreamFaultInjector::drawEarlyRefusal()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < this->share(CallFault::RefusedEarly);
}

double UpstreamFaultInjector::share(CallFault callFault) const
{
    return this->current.shares[static_cast<std::size_t>(callFault)];
}

void UpstreamFaultInjector::set(const UpstreamFaultSettings &settings)
{
    this->current = settings;
    this->random.seed(settings.seed);
}

} // namespace Sagecrank

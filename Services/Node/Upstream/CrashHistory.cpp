// Serializes the crash history as entries "request:crash:expiry;" of hexadecimal numbers.
#include "CrashHistory.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <optional>

namespace Sagecrank {

namespace {

constexpr char fieldEnd = ':';
constexpr char entryEnd = ';';
constexpr int hexadecimal = 16;

void append(std::string &text, std::uint64_t number, char end)
{
    std::array<char, 16> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    text.append(digits.data(), written.ptr);
    text.push_back(end);
}

// Removes the text up to and including `end` from the front and parses it.
std::optional<std::uint64_t> takeNumber(std::string_view &text, char end)
{
    const std::size_t length = std::min(text.find(end), text.size());
    const std::string_view digits = text.substr(0, length);
    text.remove_prefix(std::min(length + 1, text.size()));
    std::uint64_t number = 0;
    const char *last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, number, hexadecimal);
    if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != last)
        return std::nullopt;
    return number;
}

} // namespace

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void CrashHistory::add(const std::vector<CrashRecord> &crashes)
{
    for (const CrashRecord &crash : crashes) {
        if (std::ranges::find(this->records, crash) == this->records.end())
            this->records.push_back(crash);
    }
    if (this->records.size() > maximumCrashRecords)
        this->records.erase(this->records.begin(), this->records.end() - maximumCrashRecords);
}

bool CrashHistory::remove(std::uint64_t request, std::uint64_t crash)
{
    return std::erase_if(
               this->records,
               [&](const CrashRecord &record) { return record.request == request && record.crash == crash; })
           > 0;
}

void CrashHistory::dropExpired(std::uint64_t nowMilliseconds)
{
    std::erase_if(this->records,
                  [nowMilliseconds](const CrashRecord &crash) { return crash.expiresAt <= nowMilliseconds; });
}

std::string CrashHistory::serialize() const
{
    std::string text;
    for (const CrashRecord &crash : this->records) {
        append(text, crash.request, fieldEnd);
        append(text, crash.crash, fieldEnd);
        append(text, crash.expiresAt, entryEnd);
    }
    return text;
}

CrashHistory CrashHistory::parse(std::string_view text)
{
    CrashHistory history;
    while (!text.empty()) {
        std::string_view entry = text.substr(0, text.find(entryEnd));
        text.remove_prefix(std::min(entry.size() + 1, text.size()));
        const auto request = takeNumber(entry, fieldEnd);
        const auto crash = takeNumber(entry, fieldEnd);
        const auto expiresAt = takeNumber(entry, fieldEnd);
        if (request && crash && expiresAt && entry.empty())
            history.add({{*request, *crash, *expiresAt}});
    }
    return history;
}

} // namespace Sagecrank

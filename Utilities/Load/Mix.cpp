// Implements Mix.h.
#include <Load/Mix.h>

#include <charconv>

namespace Sagecrank {

namespace {

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find(separator, begin);
        parts.emplace_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos)
            return parts;
        begin = end + 1;
    }
}

bool hasSpaceOrControl(std::string_view text)
{
    for (const char character : text) {
        if (static_cast<unsigned char>(character) <= ' ')
            return true;
    }
    return false;
}

} // namespace

Result<MixEntry> parseMixEntry(std::string_view text)
{
    const auto malformed = [&](std::string_view why) {
        return makeError(ErrorKind::InvalidInput, "read mix", std::string(text), std::string(why));
    };
    const std::vector<std::string> parts = split(text, ':');
    if (parts.size() != 5 && parts.size() != 6)
        return malformed("expected name:share:method:path:class[:keyed]");
    MixEntry entry;
    entry.name = parts[0];
    const auto parsed = std::from_chars(parts[1].data(), parts[1].data() + parts[1].size(), entry.share);
    if (parsed.ec != std::errc() || !(entry.share > 0))
        return malformed("the share must be a number above zero");
    entry.method = parts[2];
    entry.path = parts[3];
    if (entry.method.empty() || hasSpaceOrControl(entry.method) || !entry.path.starts_with("/")
        || hasSpaceOrControl(entry.path))
        return malformed("the method or the path cannot be sent");
    const auto callClass = callClassNames.value(parts[4]);
    if (!callClass)
        return malformed("the class is interactive, non_idempotent or batch");
    entry.callClass = *callClass;
    if (parts.size() == 6 && parts[5] != "keyed")
        return malformed("the sixth part can only be \"keyed\"");
    entry.keyed = parts.size() == 6;
    return entry;
}

Result<std::vector<MixEntry>> parseMix(std::string_view text, std::string_view file)
{
    std::vector<MixEntry> mix;
    std::size_t number = 0;
    for (const std::string &line : split(text, '\n')) {
        ++number;
        if (line.empty() || line.starts_with('#'))
            continue;
        Result<MixEntry> entry = parseMixEntry(line);
        if (!entry) {
            return makeError(ErrorKind::InvalidInput, "read mix",
                             std::string(file) + ":" + std::to_string(number), entry.error().message);
        }
        mix.push_back(std::move(entry).assume_value());
    }
    if (mix.empty())
        return makeError(ErrorKind::InvalidInput, "read mix", std::string(file), "there is no entry");
    return mix;
}

} // namespace Sagecrank

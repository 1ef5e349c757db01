// Generates damaged and hostile variants of valid input. The same seed gives the same variants on every
// machine. Tests try up to a few thousand variants in CI; SAGECRANK_FUZZ_FACTOR multiplies that in manual
// runs.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>

namespace Sagecrank {

class InputMutator
{
public:
    explicit InputMutator(std::uint64_t seed)
        : random(seed)
    {
    }

    // Returns `defaultRounds` multiplied by SAGECRANK_FUZZ_FACTOR.
    static std::size_t scaledRounds(std::size_t defaultRounds)
    {
        const char *factor = std::getenv("SAGECRANK_FUZZ_FACTOR");
        return defaultRounds
               * static_cast<std::size_t>(factor == nullptr ? 1 : std::max(1, std::atoi(factor)));
    }

    std::string mutate(std::string text)
    {
        const std::size_t changes = 1 + this->randomBelow(4);
        for (std::size_t change = 0; change < changes; ++change)
            this->applyRandomChange(text);
        return text;
    }

private:
    std::size_t randomBelow(std::size_t bound) { return bound == 0 ? 0 : this->random() % bound; }

    void applyRandomChange(std::string &text)
    {
        static constexpr std::string_view fragments[] = {"0",
                                                         "-1",
                                                         "4294967296",
                                                         "18446744073709551616",
                                                         "1e999",
                                                         "null",
                                                         "[]",
                                                         "{}",
                                                         "\"\"",
                                                         "\r\n",
                                                         "\r\n\r\n",
                                                         "\0",
                                                         "\xff\xfe",
                                                         "%00",
                                                         "chunked",
                                                         "Content-Length: 5\r\n",
                                                         "Transfer-Encoding: chunked\r\n",
                                                         "ms",
                                                         "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["};
        const std::size_t at = this->randomBelow(text.size() + 1);
        const std::size_t length = this->randomBelow(std::min<std::size_t>(text.size() - at, 40) + 1);
        switch (this->randomBelow(7)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.insert(at, fragments[this->randomBelow(std::size(fragments))]);
            break;
        case 4:
            text.insert(at, this->randomBelow(3000), static_cast<char>(this->random()));
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(this->random());
        }
    }

    std::mt19937_64 random;
};

} // namespace Sagecrank

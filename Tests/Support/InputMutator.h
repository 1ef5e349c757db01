// Damaged and hostile variants of good input, the same for a seed on every machine. In CI each test plays a
// few thousand; SAGECRANK_FUZZ_FACTOR multiplies that for runs by hand.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>

namespace Sagecrank {

class Mutations
{
public:
    explicit Mutations(std::uint64_t seed)
        : random(seed)
    {
    }

    // How many rounds a test plays that wants `usual` of them.
    static std::size_t rounds(std::size_t usual)
    {
        const char *factor = std::getenv("SAGECRANK_FUZZ_FACTOR");
        return usual * static_cast<std::size_t>(factor == nullptr ? 1 : std::max(1, std::atoi(factor)));
    }

    std::string of(std::string text)
    {
        const std::size_t changes = 1 + this->below(4);
        for (std::size_t change = 0; change < changes; ++change)
            this->change(text);
        return text;
    }

private:
    std::size_t below(std::size_t bound) { return bound == 0 ? 0 : this->random() % bound; }

    void change(std::string &text)
    {
        static constexpr std::string_view words[] = {"0",
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
        const std::size_t at = this->below(text.size() + 1);
        const std::size_t length = this->below(std::min<std::size_t>(text.size() - at, 40) + 1);
        switch (this->below(7)) {
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
            text.insert(at, words[this->below(std::size(words))]);
            break;
        case 4:
            text.insert(at, this->below(3000), static_cast<char>(this->random()));
            break;
        default:
            if (at < text.size())
                text[at] = static_cast<char>(this->random());
        }
    }

    std::mt19937_64 random;
};

} // namespace Sagecrank

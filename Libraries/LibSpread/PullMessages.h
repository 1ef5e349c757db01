// What nodes say to each other on the control port: one request and one answer a connection.
#pragma once

#include <LibCore/EnumNames.h>

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace Sagecrank {

// A request is small; a longer frame is not one.
inline constexpr std::size_t maximumPullRequestSize = 512;

// 820 services with ten routes each are well under a mebibyte.
inline constexpr std::size_t maximumPullResponseSize = std::size_t{4} << 20;

struct PullRequest
{
    std::string node; // Id of who asks.
    std::string site;
    std::uint64_t wantedVersion = 0; // At least this one.
    std::uint64_t baseVersion = 0;   // What the asker holds; zero is nothing.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->node, this->site, this->wantedVersion, this->baseVersion);
    }
};

enum class PullAnswer : std::uint8_t {
    Full,    // The payload is the whole of the site.
    Delta,   // The payload is what changed since the base version.
    Missing, // This node does not hold the version, or another site's.
    Busy,    // Come back after retryAfterMilliseconds.
};

inline constexpr EnumNames<PullAnswer, 4> pullAnswerNames{{
    {PullAnswer::Full, "whole"},
    {PullAnswer::Delta, "delta"},
    {PullAnswer::Missing, "missing"},
    {PullAnswer::Busy, "busy"},
}};

struct PullResponse
{
    PullAnswer answer = PullAnswer::Missing;
    std::uint32_t retryAfterMilliseconds = 0;
    std::uint64_t version = 0;
    std::string payload; // An encoded SiteDelta; the whole is one from nothing.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->answer, this->retryAfterMilliseconds, this->version, this->payload);
    }
};

} // namespace Sagecrank

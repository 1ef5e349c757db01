// Messages of configuration pulls between nodes on the control port: one request and one answer per
// connection.
#pragma once

#include <LibCore/EnumNames.h>
#include <LibWire/Archive.h>

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace Sagecrank {

// A valid request is well below this.
inline constexpr std::size_t maximumPullRequestSize = 512;

// 820 services with ten routes each take well under a mebibyte.
inline constexpr std::size_t maximumPullResponseSize = std::size_t{4} << 20;

struct PullRequest
{
    std::string node; // Id of the requesting node.
    std::string site;
    std::uint64_t wantedVersion = 0; // Minimum version.
    std::uint64_t baseVersion = 0;   // Version that the requesting node holds; zero: none.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->node, this->site, this->wantedVersion, this->baseVersion);
    }
};

enum class PullAnswer : std::uint8_t {
    Full,    // The payload is the complete site configuration.
    Delta,   // The payload holds the changes since the base version.
    Missing, // This node does not hold the version, or belongs to another site.
    Busy,    // Retry after retryAfterMilliseconds.
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
    std::string payload; // An encoded SiteDelta; a full configuration is a delta from an empty one.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        transferEnum(archive, this->answer, PullAnswer::Busy);
        archive(this->retryAfterMilliseconds, this->version, this->payload);
    }
};

} // namespace Sagecrank

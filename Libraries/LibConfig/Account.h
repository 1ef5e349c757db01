// Client accounts: who may call the routes of a site that are not public, and how often. Callers authenticate
// with a key of their account. Only digests of keys are held, compared and sent between nodes.
#pragma once

#include <LibConfig/Digest.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

// SHA-256 of a key. Keys are drawn at random by the operator's tools, so the digest needs no salt.
struct KeyDigest
{
    std::array<std::uint8_t, 32> bytes{};

    bool operator==(const KeyDigest &) const = default;
    bool operator<(const KeyDigest &other) const { return this->bytes < other.bytes; }
};

struct KeyDigestHash
{
    std::size_t operator()(const KeyDigest &digest) const
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.bytes.data(), sizeof(hash));
        return hash;
    }
};

KeyDigest digestOfKey(std::string_view key);

struct Account
{
    std::string name; // Sent to upstreams in a header.
    std::vector<KeyDigest> keys;
    std::uint32_t priority = 1; // Goes before the priority of the route; 0 is the highest.
    // The allowance: calls per second and at once, over all nodes. A rate of 0 means no limit.
    double callsPerSecond = 0;
    double burst = 0;

    bool isLimited() const { return this->callsPerSecond > 0; }

    bool operator==(const Account &) const = default;
};

} // namespace Sagecrank

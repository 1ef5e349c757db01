// Limits that senders of datagrams keep to; see Datagram.h for those of the encoding.
#pragma once

#include <cstddef>

namespace Sagecrank {

inline constexpr std::size_t maximumListLength = 255; // Lists have a one-byte length.

// Reserved in a datagram that is filled with items: more than an empty one with the longest possible texts.
inline constexpr std::size_t reservedHeaderBytes = 200;

// Records that one request asks for.
inline constexpr std::size_t maximumWanted = 100;

} // namespace Sagecrank

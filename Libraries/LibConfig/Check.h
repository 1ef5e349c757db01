// What must hold of a site before any node may hold it. The publisher checks it before accepting a version
// and every node checks it again before the swap, so that a damaged or half-written version is refused whole.
#pragma once

#include <LibConfig/Model.h>
#include <LibCore/Error.h>

#include <string>
#include <string_view>

namespace Sagecrank {

inline constexpr std::uint32_t maximumQueueLimit = 65536;
inline constexpr std::uint32_t maximumRetriesLimit = 10; // More only multiplies a load that already fails.
inline constexpr Milliseconds maximumTimeout{600000};    // Ten minutes; longer work belongs in a job.
inline constexpr std::size_t maximumTextLength = 1024;

// Of what callers may send. A request line and the headers that HTTP asks for need some hundred bytes. A body
// goes from node to node whole, in one frame, which has room for 16 MiB and its headers.
inline constexpr std::uint32_t minimumHeaderBytes = 1024;
inline constexpr std::uint32_t maximumHeaderBytes = 512 * 1024;
inline constexpr std::uint32_t maximumBodyBytes = 16 * 1024 * 1024;

// Of accounts. A name travels with each call of the account.
inline constexpr std::size_t maximumAccountNameLength = 200;
inline constexpr double maximumAccountRate = 1e9;

// The prefix without a trailing slash; two routes whose normalised prefixes are equal match the same paths.
std::string_view normalisedPrefix(std::string_view prefix);

// True when some method is served by both lists. An empty list serves what no other route names, so it only
// overlaps with another empty list.
bool methodsOverlap(const Route &first, const Route &second);

// One route by itself; the message says which field is wrong.
Result<void> checkRoute(const Route &route);

// One account by itself.
Result<void> checkAccount(const Account &account);

// A whole site: references sorted, unique and matching their sections, routes unique by name and by match,
// accounts unique by name and by key.
Result<void> checkSite(const SiteConfiguration &configuration);

} // namespace Sagecrank

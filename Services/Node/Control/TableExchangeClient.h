// Exchanges member tables with one peer over a connection of its own to the peer's control port.
#pragma once

#include <LibMembership/TableStream.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace Sagecrank {

// For the whole exchange, including the connect. A table of 6,500 members is 0.7 MB, a second of a link of
// 5 Mbit/s.
inline constexpr Duration tableExchangeTimeout = Milliseconds(3000);

// A host that lost power never answers; another member is asked then.
inline constexpr Duration tableConnectTimeout = Milliseconds(500);

// Calls `done` exactly once, with the number of records sent and received. `membership` must outlive the
// exchange.
void exchangeTables(boost::asio::io_context &context, const std::string &address, Membership &membership,
                    std::function<void(Result<std::size_t>)> done);

} // namespace Sagecrank

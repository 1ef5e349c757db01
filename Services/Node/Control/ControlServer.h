// Serves configuration pulls and exchanges of member tables on the control port, one of them for each
// connection, with limits on how many are served at once, on open connections and on the duration of a
// connection. Used on the control thread only.
#pragma once

#include <LibCore/Error.h>
#include <LibMembership/TableAdmission.h>
#include <LibMembership/TableStream.h>
#include <LibSpread/PullAdmission.h>
#include <LibSpread/PullMessages.h>
#include <LibWire/Frame.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace Sagecrank {

struct ControlServerCounters
{
    std::uint64_t served = 0;
    std::uint64_t servedBytes = 0;
    std::uint64_t refused = 0;   // Answered as busy, or over the connection limit.
    std::uint64_t malformed = 0; // Frames that were not a valid request.
    std::uint64_t tablesServed = 0;
    std::uint64_t tablesRefused = 0; // Answered as busy.
    std::uint64_t tableBytesSent = 0;
};

class ControlServer
{
public:
    using Serve = std::function<PullResponse(const PullRequest &)>;

    // `linkMbps` limits table exchanges; zero if unknown. `membership` must outlive the server.
    ControlServer(boost::asio::io_context &context, Membership &membership, std::uint32_t linkMbps,
                  std::uint64_t seed, Serve serve);

    // Commands.
    Result<void> start(const std::string &listenAddress);
    void stop();

    // Queries.
    const ControlServerCounters &counters() const { return this->counts; }

private:
    struct Session;

    void acceptNext();
    void open(boost::asio::ip::tcp::socket socket);
    // Error: InvalidInput if the frame is not what the connection may send now.
    Result<void> handleFrame(Session &session, FrameType type, std::span<const char> payload);
    Result<void> handlePull(Session &session, std::span<const char> payload);
    Result<void> handleTableBatch(Session &session, std::span<const char> payload);
    void endSession(Session &session);
    void answer(Session &session, const PullRequest &request);
    void sendTableBatch(Session &session, const TableBatch &part);

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    Membership &membership;
    PullAdmission admission;
    TableAdmission tableAdmission;
    Serve serve;
    std::uint32_t connections = 0; // Open now; at most `maximumConnections`.
    ControlServerCounters counts;
};

} // namespace Sagecrank

// Serves configuration pulls on the control port: one request and one response for each connection, with
// limits on concurrent pulls, open connections and the duration of a connection. Used on the control thread
// only.
#pragma once

#include <LibCore/Error.h>
#include <LibSpread/PullAdmission.h>
#include <LibSpread/PullMessages.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Sagecrank {

struct ControlServerCounters
{
    std::uint64_t served = 0;
    std::uint64_t servedBytes = 0;
    std::uint64_t refused = 0;   // Answered as busy, or over the connection limit.
    std::uint64_t malformed = 0; // Frames that were not a valid request.
};

class ControlServer
{
public:
    using Serve = std::function<PullResponse(const PullRequest &)>;

    ControlServer(boost::asio::io_context &context, std::uint64_t seed, Serve serve);

    // Commands.
    Result<void> start(const std::string &listenAddress);
    void stop();

    // Queries.
    const ControlServerCounters &counters() const { return this->counts; }

private:
    struct Session;

    void acceptNext();
    void open(boost::asio::ip::tcp::socket socket);
    void answer(Session &session, const PullRequest &request);

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    PullAdmission admission;
    Serve serve;
    std::uint32_t connections = 0; // Open now; at most `maximumConnections`.
    ControlServerCounters counts;
};

} // namespace Sagecrank

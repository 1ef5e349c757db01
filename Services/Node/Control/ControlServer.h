// Serves configuration pulls on the control port: one request and one answer a connection, a bounded number
// at once, and no connection longer than its time limit. Lives on the control thread.
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
    std::uint64_t refused = 0;   // Busy, or too many connections.
    std::uint64_t malformed = 0; // Frames that were no request.
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
    std::uint32_t connections = 0; // Open now; bounded.
    ControlServerCounters counts;
};

} // namespace Sagecrank

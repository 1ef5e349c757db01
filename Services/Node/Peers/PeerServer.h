// Accepts calls from other nodes for the local upstream, on one request thread.
#pragma once

#include <Node/Gate/LocalGate.h>
#include <Node/Peers/BodyGrantQueue.h>

#include <LibCore/Time.h>
#include <LibDecide/BodyMemory.h>
#include <LibNet/FramedConnection.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace Sagecrank {

class PeerServer
{
public:
    // Longer than the other side keeps a connection without calls; with calls it sends several pings a
    // second.
    static constexpr Duration defaultIdleTimeout = std::chrono::seconds(75);

    // Sessions that receive nothing for `idleTimeout` are closed.
    PeerServer(RequestThread home, LocalGate &gate, BodyGrantQueue &bodies, BodyMemory &bodyMemory,
               RequestObserver &observer, Duration idleTimeout = defaultIdleTimeout);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    // Several threads may listen on the same address; the kernel distributes the connections. Port 0 selects
    // any free port.
    Result<void> listen(const std::string &address);
    std::string address() const; // The listening address.
    void stopAccepting();

    // Call on the server's thread. Sends each peer, after all responses, which of its calls have not run.
    // Later frames are ignored, and the peers close their connections.
    void goAway();
    std::size_t
    pendingCloses() const; // Peers that were sent a response shortly before goAway() and have not closed yet.

    // Callable from any thread.
    std::size_t connectionsWithUnsentResponses() const;

    struct State; // Defined in the .cpp file.

private:
    std::shared_ptr<State> state; // Shared with open connections, which may outlive the server.
};

} // namespace Sagecrank

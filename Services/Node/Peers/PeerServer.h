// Takes other nodes' calls for the upstream beside this one, on one request thread.
#pragma once

#include <Node/Gate/LocalGate.h>
#include <Node/Peers/BodyGrantQueue.h>

#include <LibNet/FramedConnection.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace Sagecrank {

class PeerServer
{
public:
    PeerServer(RequestThread home, LocalGate &gate, BodyGrantQueue &bodies, RequestObserver &observer);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    // Several threads listen on the same address; the kernel spreads the connections.
    // Port 0 takes any free port.
    Result<void> listen(const std::string &address);
    std::string address() const; // Where it listens.
    void stopAccepting();

    // On its own thread. Other nodes are told which of their calls have not run, after all answers; what they
    // send from now on is not taken, and they close their connections.
    void goAway();
    std::size_t pendingCloses() const; // Of nodes that were answered shortly before it.

    // Connections on which answers wait to leave. From any thread.
    std::size_t connectionsWithUnsentResponses() const;

    struct State; // Only the .cpp file knows what is in it.

private:
    std::shared_ptr<State> state; // Outlives the server while connections end.
};

} // namespace Sagecrank

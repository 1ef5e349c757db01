// HTTP client for the platform's table service and object store; implements the ports of LibSource. Uses one
// io_context that is run by a single thread, which also invokes every callback.
//
// The numbers of requests in flight and of queued requests are limited. A request that times out in the queue
// was never sent, so it had no effect and fails as Unavailable.
#pragma once

#include <LibNet/HttpClient.h>
#include <LibSource/Ports.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace Sagecrank {

struct PlatformClientSettings
{
    std::string table;   // "ip:port" of the table service.
    std::string objects; // "ip:port" of the object store.
    std::string tableName = "sagecrank";
    std::string bucket = "sagecrank";
    Milliseconds requestTimeout{1000}; // From the call of the port to the complete response.
    std::uint32_t maximumInFlight = 32;
    std::uint32_t maximumQueued = 1024;
};

// Requests in the units that the platform meters, for the status page and benchmarks.
struct PlatformCounters
{
    std::uint64_t tableReads = 0;
    std::uint64_t tableWrites = 0; // Items put or removed, including each item of a transaction.
    std::uint64_t tableWriteRequests = 0;
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;
    std::uint64_t notSent = 0; // Failed as Unavailable before anything was sent.
};

class PlatformClient
{
public:
    PlatformClient(boost::asio::io_context &context, PlatformClientSettings settings);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    // The ports may outlive the client; their calls then fail as Unavailable.
    TablePort tablePort();
    ObjectPort objectPort();

    PlatformCounters counters() const;

private:
    class Requests;
    std::shared_ptr<Requests> requests; // Shared with the ports and the requests in flight.
};

} // namespace Sagecrank

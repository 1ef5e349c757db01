// The platform's table service and object store over HTTP, as the ports that LibSource names. For one
// io_context that one thread runs; every callback comes from it.
//
// Bounded on both sides: so many requests are under way, so many wait. One that waited past its time was
// never sent, so nothing took effect and it ends as Unavailable.
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
    Milliseconds requestTimeout{1000}; // From the call of the port to the whole answer.
    std::uint32_t maximumInFlight = 32;
    std::uint32_t maximumQueued = 1024;
};

// Requests by what the platform meters, for status and for measurements.
struct PlatformCounters
{
    std::uint64_t tableReads = 0;
    std::uint64_t tableWrites = 0; // Items put or removed; a transaction counts each of its items.
    std::uint64_t tableWriteRequests = 0;
    std::uint64_t objectReads = 0;
    std::uint64_t objectWrites = 0;
    std::uint64_t notSent = 0; // Ended as Unavailable before a byte left.
};

class PlatformClient
{
public:
    PlatformClient(boost::asio::io_context &context, PlatformClientSettings settings);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    // Ports stay valid after the client has gone; their calls then end as Unavailable.
    TablePort tablePort();
    ObjectPort objectPort();

    PlatformCounters counters() const;

private:
    class Requests;
    std::shared_ptr<Requests> requests; // Shared with requests under way.
};

} // namespace Sagecrank

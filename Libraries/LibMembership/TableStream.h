// One side of a table exchange: two nodes compare their member tables and give each other what is missing.
//
// The stream carries the datagrams of the sync protocol (SyncDigest, SyncEntries, SyncRequest and Gossip with
// records) in batches, without the limits that datagrams have on answers. The node that asks sends its
// digest; each batch is answered by one batch until the records have been sent:
//
//     digest ->, <- entries and records, records and requests ->, <- records
//
// A connection that ends early loses only what had not arrived: the next exchange compares again.
#pragma once

#include <LibCore/Error.h>
#include <LibMembership/Membership.h>

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace Sagecrank {

// A part of a batch. A batch is split into parts so that a receiver needs no large buffer.
struct TableBatch
{
    std::vector<std::string> datagrams;
    bool last = true;                         // Ends the batch.
    std::uint32_t retryAfterMilliseconds = 0; // Nonzero: the sender is busy and ends the exchange.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->datagrams, this->last, this->retryAfterMilliseconds);
    }
};

inline constexpr std::size_t maximumTableBatchBytes = std::size_t{64} << 10;

class TableStream
{
public:
    explicit TableStream(Membership &membership);

    // Commands.
    TableBatch open(); // The first batch, of the node that asks.
    // Returns the parts that answer this one, in order. Error: InvalidInput if it holds something else than
    // sync datagrams or asks for more than a whole table.
    Result<std::vector<TableBatch>> receive(Instant now, const TableBatch &part);

    // Queries.
    // For the node that asked: neither side has more to send.
    bool isComplete() const
    {
        return this->batchesReceived >= 2 || (this->batchesReceived == 1 && this->lastAnswerIsEmpty);
    }
    std::size_t recordsExchanged() const { return this->recordsSent + this->recordsReceived; }

private:
    Result<void> receiveDatagram(Instant now, const std::string &bytes);

    Membership &membership;
    std::vector<std::string> pending; // Answers to the parts of the batch that is being received.
    std::size_t batchesReceived = 0;
    bool lastAnswerIsEmpty = false;
    std::size_t entriesSent = 0; // Like the records sent, at most as many as the table holds.
    std::size_t recordsSent = 0;
    std::size_t recordsReceived = 0;
};

} // namespace Sagecrank

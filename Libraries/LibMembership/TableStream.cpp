// Batches of a table exchange.
#include <LibMembership/TableStream.h>

#include <algorithm>
#include <utility>

namespace Sagecrank {

namespace {

// Leaves room for the lengths of the texts.
constexpr std::size_t partBytes = maximumTableBatchBytes / 2;

std::vector<TableBatch> splitIntoParts(std::vector<std::string> datagrams)
{
    std::vector<TableBatch> parts(1);
    std::size_t used = 0;
    for (std::string &datagram : datagrams) {
        if (used + datagram.size() > partBytes) {
            parts.back().last = false;
            parts.emplace_back();
            used = 0;
        }
        used += datagram.size();
        parts.back().datagrams.push_back(std::move(datagram));
    }
    return parts;
}

} // namespace

TableStream::TableStream(Membership &membership)
    : membership(membership)
{
}

TableBatch TableStream::open()
{
    return {{this->membership.openTableExchange()}, true, 0};
}

Result<std::vector<TableBatch>> TableStream::receive(Instant now, const TableBatch &part)
{
    for (const std::string &datagram : part.datagrams)
        TRY_VOID(this->receiveDatagram(now, datagram));
    if (!part.last)
        return std::vector<TableBatch>();
    ++this->batchesReceived;
    this->lastAnswerIsEmpty = this->pending.empty();
    return splitIntoParts(std::exchange(this->pending, {}));
}

// A peer that repeats its digest or its requests gets no more than this table holds.
Result<void> TableStream::receiveDatagram(Instant now, const std::string &bytes)
{
    TableAnswer answer = TRY(this->membership.receiveStreamed(now, bytes));
    this->recordsReceived += answer.recordsReceived;
    this->recordsSent += answer.recordsSent;
    this->entriesSent += answer.entriesSent;
    if (std::max(this->recordsSent, this->entriesSent) > this->membership.members().size())
        return makeError(ErrorKind::InvalidInput, "exchange tables", "", "asks for more than a whole table");
    for (std::string &datagram : answer.datagrams)
        this->pending.push_back(std::move(datagram));
    return success();
}

} // namespace Sagecrank

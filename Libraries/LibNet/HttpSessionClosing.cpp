// How the connection of a caller ends.
#include <LibNet/HttpSession.h>

#include <sys/socket.h>

#include <cerrno>

namespace Sagecrank {

using boost::asio::ip::tcp;

namespace {

// Two seconds carry over a megabyte on the slowest link (5 Mbit/s); a caller that sends for longer is cut
// off.
constexpr Milliseconds longestLinger{2000};
constexpr std::size_t thrownAwayAtOnce = 16'384;

} // namespace

HttpSession::Peeked HttpSession::peek()
{
    char byte = 0;
    const ssize_t size = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0)
        return Peeked::Bytes;
    const bool nothing = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return nothing ? Peeked::Nothing : Peeked::Closed;
}

// Nobody is left to be answered.
void HttpSession::giveUp()
{
    std::deque<Exchange> open;
    open.swap(this->exchanges);
    this->server->pendingResponses -= open.size();
    this->held.reset();
    this->close();
    for (const Exchange &exchange : open) {
        if (exchange.abandoned)
            exchange.abandoned();
    }
}

// Failure: a request is refused while its body is still coming, and the connection is closed with bytes
// unread. Symptom: the reset that follows overtakes the answer, and the caller never learns what was wrong.
// So only this side's sending ends; what comes is thrown away until the caller closes, for a bounded time.
void HttpSession::closeAfterReading()
{
    ErrorCode ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.expires_after(longestLinger);
    this->throwAwayNext();
}

bool HttpSession::hasUnread()
{
    ErrorCode error;
    return this->stream.socket().available(error) > 0 && !error;
}

// Failure: a caller sends another request while the last answer of its connection is on its way, and the
// connection is closed. Symptom: the reset that follows overtakes the answer. The request must not be read
// either, since one that was read counts as taken. So only this side's sending ends, and the caller has a
// moment to take the answer and close; the server is not done before.
void HttpSession::closeWithoutReading()
{
    this->held.reset();
    this->lingers = true;
    ErrorCode ignored;
    this->stream.socket().cancel(ignored); // A read for a next request.
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->lingerTimer.expires_after(this->server->settings.lingerTimeout);
    this->lingerTimer.async_wait([self = this->shared_from_this()](const ErrorCode &) { self->endLinger(); });
    this->awaitCallersClose();
}

// A caller that has sent more is not seen to close, since its bytes stay unread.
void HttpSession::awaitCallersClose()
{
    this->stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = this->shared_from_this()](const ErrorCode &error) {
                                         if (error || !self->stream.socket().is_open())
                                             return;
                                         if (self->peek() != Peeked::Bytes)
                                             self->lingerTimer.cancel();
                                     });
}

void HttpSession::endLinger()
{
    --this->server->pendingResponses;
    this->close();
}

void HttpSession::throwAwayNext()
{
    this->buffer.clear();
    this->stream.async_read_some(this->buffer.prepare(thrownAwayAtOnce),
                                 [self = this->shared_from_this()](const ErrorCode &error, std::size_t) {
                                     if (error)
                                         return self->close();
                                     self->throwAwayNext();
                                 });
}

// A request that has come in part is read to its end and answered. The read of the first byte may have ended
// with its handler still queued, so that handler closes the connection.
void HttpSession::closeWhenIdle()
{
    if (this->readsFirstByte && this->exchanges.empty())
        this->stream.cancel();
}

void HttpSession::close()
{
    ErrorCode ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.close();
}

} // namespace Sagecrank

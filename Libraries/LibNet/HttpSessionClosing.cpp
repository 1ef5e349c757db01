// Implements closing a caller's connection without losing its last response.
#include <LibNet/HttpSession.h>

#include <sys/socket.h>

#include <cerrno>

namespace Sagecrank {

using boost::asio::ip::tcp;

namespace {

// In 2 s the slowest supported link (5 Mbit/s) carries over a megabyte; a caller that sends for longer is cut
// off.
constexpr Milliseconds maximumDrainTime{2000};
constexpr std::size_t drainBufferSize = 16'384;

} // namespace

HttpSession::PeekResult HttpSession::peek()
{
    char byte = 0;
    const ssize_t size = ::recv(this->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0)
        return PeekResult::Bytes;
    const bool nothing = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return nothing ? PeekResult::Nothing : PeekResult::Closed;
}

// Closes the connection and notifies the handlers of all pending requests.
void HttpSession::abortConnection()
{
    std::deque<Exchange> open;
    open.swap(this->exchanges);
    this->server->pendingResponses -= open.size();
    this->heldRequest.reset();
    this->close();
    for (const Exchange &exchange : open) {
        if (exchange.onDisconnected)
            exchange.onDisconnected();
    }
}

// Used when a request was rejected while its body is still arriving. Closing a socket with unread bytes sends
// a TCP reset, which can destroy the response before the caller reads it. So only the sending side is shut
// down, and input is discarded until the caller closes, for a bounded time; until then the response counts as
// pending.
void HttpSession::drainAndClose()
{
    ErrorCode ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    const Milliseconds limit =
        this->server->closing ? this->server->settings.lingerTimeout : maximumDrainTime;
    this->stream.expires_after(limit);
    this->discardInput(SteadyClock::now() + limit);
}

void HttpSession::endDrain()
{
    --this->server->pendingResponses;
    this->close();
}

bool HttpSession::hasUnreadBytes()
{
    ErrorCode error;
    return this->stream.socket().available(error) > 0 && !error;
}

// Used when the caller may send another request while the last response is in transit. Closing then would
// send a TCP reset, which can destroy that response. The request must not be read either, since a request
// that was read counts as accepted. So only the sending side is shut down, and the caller has a bounded time
// to read the response and close; until then the response counts as pending.
void HttpSession::lingerAndClose()
{
    this->heldRequest.reset();
    this->lingering = true;
    ErrorCode ignored;
    this->stream.socket().cancel(ignored); // A pending read for the next request.
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->lingerTimer.expires_after(this->server->settings.lingerTimeout);
    this->lingerTimer.async_wait([self = this->shared_from_this()](const ErrorCode &) { self->endLinger(); });
    this->awaitCallerClose();
}

// A close after further bytes goes unnoticed, since those bytes stay unread.
void HttpSession::awaitCallerClose()
{
    this->stream.socket().async_wait(tcp::socket::wait_read,
                                     [self = this->shared_from_this()](const ErrorCode &error) {
                                         if (error || !self->stream.socket().is_open())
                                             return;
                                         if (self->peek() != PeekResult::Bytes)
                                             self->lingerTimer.cancel();
                                     });
}

void HttpSession::endLinger()
{
    --this->server->pendingResponses;
    this->close();
}

// Checks the deadline itself, like readMessage().
void HttpSession::discardInput(Instant deadline)
{
    this->buffer.clear();
    this->stream.async_read_some(
        this->buffer.prepare(drainBufferSize),
        [self = this->shared_from_this(), deadline](const ErrorCode &error, std::size_t) {
            if (error || SteadyClock::now() >= deadline)
                return self->endDrain();
            self->discardInput(deadline);
        });
}

// A partially received request is still read and answered. The read of the first byte may have completed with
// its handler still queued, so the handler closes the connection.
void HttpSession::closeWhenIdle()
{
    if (this->awaitingFirstByte && this->exchanges.empty())
        this->stream.cancel();
}

// The read that is cancelled fails, and rejects the request.
void HttpSession::rejectPartialRequest()
{
    if (this->reading && !this->awaitingFirstByte && !this->lingering && this->exchanges.empty())
        this->stream.cancel();
}

void HttpSession::close()
{
    ErrorCode ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.close();
}

} // namespace Sagecrank

// What the HTTP client accepts as a valid and complete response, by RFC 9110 and RFC 9112.
#include "ScriptedServer.h"

#include <Support/TableTest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>

using namespace Sagecrank;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t longBody = std::size_t{8} << 20; // More than the socket buffers of both ends hold.

// Sends the bytes in response to one request, then closes the connection.
CallResult receive(const std::string &bytes, const std::string &method = "POST")
{
    ScriptedServer server([&bytes](tcp::acceptor &acceptor) {
        tcp::socket socket = acceptor.accept();
        std::string buffer;
        readHeader(socket, buffer);
        boost::asio::write(socket, boost::asio::buffer(bytes));
    });
    boost::asio::io_context context;
    HttpClient client(context, {});
    return sendAndWait(context, client, server.address(), {method, "/", {}, {}}, {std::chrono::seconds(10)});
}

struct InvalidRow
{
    const char *what;
    std::string bytes;
};

const std::string hello = "Content-Length: 5\r\n\r\nhello";

const InvalidRow statusRows[] = {
    {"000", "HTTP/1.1 000 Broken\r\n" + hello},
    {"099", "HTTP/1.1 099 Broken\r\n" + hello},
    {"600", "HTTP/1.1 600 Broken\r\n" + hello},
    {"999", "HTTP/1.1 999 Broken\r\n" + hello},
    {"two digits", "HTTP/1.1 20 OK\r\n" + hello},
    {"four digits", "HTTP/1.1 2000 OK\r\n" + hello},
    {"an unrequested switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nhello"},
};

} // namespace

// Guards against a status that is none, such as 000, reaching callers as that of a response.
TABLE_TEST(httpResponse, anInvalidStatusFailsTheCall, statusRows)
{
    const CallResult result = receive(row.bytes);
    cr_assert(result.failed && result.mayHaveBeenSent, "%s: %u", row.what, result.response.status);
}

namespace {

struct CutOffRow
{
    const char *what;
    std::string bytes;
    bool endsCleanly; // The server ends its side of the connection before it resets the connection.
    bool failed;
};

const std::string headWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

const CutOffRow cutOffRows[] = {
    {"no length, reset", headWithoutLength + "hello", false, true},
    {"no length, no body, reset", headWithoutLength, false, true},
    {"no length, ended, then reset", headWithoutLength + "hello", true, false},
    {"a length, reset", "HTTP/1.1 413 Too Large\r\n" + hello, false, false},
    {"a length, reset within the body", "HTTP/1.1 413 Too Large\r\nContent-Length: 6\r\n\r\nhello", false,
     true},
    {"chunks, reset", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", false,
     false},
    {"chunks, reset before the last", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
     false, true},
};

// Responds while the request's body is still being sent, and resets the connection.
void respondAndReset(tcp::acceptor &acceptor, const CutOffRow &row)
{
    constexpr auto untilReceived = std::chrono::milliseconds(100);
    tcp::socket socket = acceptor.accept();
    std::string buffer;
    readHeader(socket, buffer);
    boost::asio::write(socket, boost::asio::buffer(row.bytes));
    if (row.endsCleanly)
        socket.shutdown(tcp::socket::shutdown_send);
    std::this_thread::sleep_for(untilReceived);
    socket.set_option(tcp::socket::linger(true, 0));
    socket.close();
}

} // namespace

// Guards against a part of a body passing for all of it when the connection is reset during an upload: the
// write reports the reset, and reading then finds what looks like a regular end.
TABLE_TEST(httpResponse, aResetDuringTheUploadIsNotTheEndOfABody, cutOffRows)
{
    ScriptedServer server([&row](tcp::acceptor &acceptor) { respondAndReset(acceptor, row); });
    boost::asio::io_context context;
    HttpClient client(context, {});
    const CallResult result = sendAndWait(context, client, server.address(), std::string(longBody, 'x'));
    cr_assert(result.failed == row.failed, "%s: %u '%s'", row.what, result.response.status,
              result.response.body.c_str());
    cr_assert(row.failed || result.response.body == "hello", "%s", row.what);
}

namespace {

const std::string statusOk = "HTTP/1.1 200 OK\r\n";

const InvalidRow headRows[] = {
    {"a blank in a name", statusOk + "X Y: a\r\n" + hello},
    {"a blank after a name", statusOk + "Content-Length : 5\r\n\r\nhello"},
    {"a tab after a name", statusOk + "Content-Length\t: 5\r\n\r\nhello"},
    {"a blank before the first name", statusOk + " X: a\r\n" + hello},
    {"a blank before a name", statusOk + "X: a\r\n Content-Length: 2\r\n\r\nhello"},
    {"a tab before a name", statusOk + "X: a\r\n\tContent-Length: 2\r\n\r\nhello"},
    {"a blank line that is not empty", statusOk + "X: a\r\n \r\n" + hello},
    {"a control byte in a name", statusOk + "X\x01Y: a\r\n" + hello},
    {"a delete byte in a name", statusOk + "X\x7fY: a\r\n" + hello},
    {"a byte beyond ASCII in a name", statusOk + "X\xe9Y: a\r\n" + hello},
    {"an empty name", statusOk + ": a\r\n" + hello},
    {"no colon", statusOk + "X\r\n" + hello},
    {"a null byte in a value", statusOk + "X: a" + std::string(1, '\0') + "b\r\n" + hello},
    {"a control byte in a value", statusOk + "X: a\x01\r\n" + hello},
    {"a line feed alone", statusOk + "X: a\nY: b\r\n" + hello},
    {"a carriage return alone", statusOk + "X: a\rY: b\r\n" + hello},
    {"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + hello},
    {"another version", "HTTP/2.0 200 OK\r\n" + hello},
    {"another protocol", "HTTQ/1.1 200 OK\r\n" + hello},
    {"a line before the status", "\r\n" + statusOk + hello},
    {"an end within the head", statusOk + "X: a\r\n"},
    {"an invalid interim response", "HTTP/1.1 100 Continue\r\nX Y: a\r\n\r\n" + statusOk + hello},
    {"a folded interim response", "HTTP/1.1 103 Hints\r\nX: a\r\n b\r\n\r\n" + statusOk + hello},
    {"no response after an interim one", "HTTP/1.1 100 Continue\r\n\r\n"},
};

const std::string chunkedHello = "5\r\nhello\r\n0\r\n\r\n";

const InvalidRow framingRows[] = {
    {"two lengths", statusOk + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello"},
    {"a list of lengths", statusOk + "Content-Length: 5, 4\r\n\r\nhello"},
    {"a negative length", statusOk + "Content-Length: -5\r\n\r\nhello"},
    {"a length with a sign", statusOk + "Content-Length: +5\r\n\r\nhello"},
    {"a length with a unit", statusOk + "Content-Length: 5b\r\n\r\nhello"},
    {"an empty length", statusOk + "Content-Length: \r\n\r\nhello"},
    {"a length beyond all numbers", statusOk + "Content-Length: 18446744073709551621\r\n\r\nhello"},
    {"a length, then a coding",
     statusOk + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedHello},
    {"a coding, then a length",
     statusOk + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + chunkedHello},
    {"another coding", statusOk + "Transfer-Encoding: gzip\r\n\r\nhello"},
    {"another coding and a length", statusOk + "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello"},
    {"a coding ahead of chunks", statusOk + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunkedHello},
    {"a coding in a line of its own",
     statusOk + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedHello},
    {"a coding after chunks", statusOk + "Transfer-Encoding: chunked, gzip\r\n\r\n" + chunkedHello},
    {"chunks twice", statusOk + "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunkedHello},
    {"an empty coding", statusOk + "Transfer-Encoding: \r\n\r\nhello"},
    {"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedHello},
    {"another coding without a body", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: gzip\r\n\r\n"},
    {"less than the length", statusOk + "Content-Length: 6\r\n\r\nhello"},
    {"no last chunk", statusOk + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
    {"no end of the trailers", statusOk + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: a\r\n"},
    {"a chunk size that is no number",
     statusOk + "Transfer-Encoding: chunked\r\n\r\ng\r\nhello\r\n0\r\n\r\n"},
    {"a chunk longer than its size", statusOk + "Transfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n"},
    {"an invalid trailer", statusOk + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Y: a\r\n\r\n"},
};

} // namespace

// Guards against a response with a damaged head being passed on, or read with a body that is not the
// server's: a line that starts with a blank is a continuation to one parser and a field to another.
TABLE_TEST(httpResponse, anInvalidHeadFailsTheCall, headRows)
{
    const CallResult result = receive(row.bytes);
    cr_assert(result.failed && result.mayHaveBeenSent, "%s: %u '%s'", row.what, result.response.status,
              result.response.body.c_str());
}

// Guards against a body whose end is in doubt, or whose coding nobody decodes, passing for the server's body.
TABLE_TEST(httpResponse, anInvalidFramingFailsTheCall, framingRows)
{
    const CallResult result = receive(row.bytes);
    cr_assert(result.failed && result.mayHaveBeenSent, "%s: %u '%s'", row.what, result.response.status,
              result.response.body.c_str());
}

namespace {

struct ValidRow
{
    const char *what;
    const char *method;
    std::string bytes;
    std::uint32_t status;
    const char *body;
};

const ValidRow validRows[] = {
    {"a length", "POST", statusOk + hello, 200, "hello"},
    {"a length of zero", "POST", statusOk + "Content-Length: 0\r\n\r\n", 200, ""},
    {"a repeated length", "POST", statusOk + "Content-Length: 5\r\n" + hello, 200, "hello"},
    {"a list of equal lengths", "POST", statusOk + "Content-Length: 5, 5\r\n\r\nhello", 200, "hello"},
    {"no length", "POST", statusOk + "\r\nhello", 200, "hello"},
    {"no length and no body", "POST", statusOk + "\r\n", 200, ""},
    {"no length, HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\n\r\nhello", 200, "hello"},
    {"chunks", "POST", statusOk + "Transfer-Encoding: chunked\r\n\r\n" + chunkedHello, 200, "hello"},
    {"chunks in other letters", "POST", statusOk + "transfer-encoding: Chunked\r\n\r\n" + chunkedHello, 200,
     "hello"},
    {"chunk extensions and trailers", "POST",
     statusOk + "Transfer-Encoding: chunked\r\n\r\n2;a=\"b\"\r\nhe\r\n3\r\nllo\r\n0;c\r\nX: a\r\n\r\n", 200,
     "hello"},
    {"HEAD with a length", "HEAD", statusOk + "Content-Length: 5\r\n\r\n", 200, ""},
    {"HEAD with chunks", "HEAD", statusOk + "Transfer-Encoding: chunked\r\n\r\n", 200, ""},
    {"HEAD without a length", "HEAD", statusOk + "\r\n", 200, ""},
    {"204", "POST", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
    {"204 with a length", "POST", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, ""},
    {"304 with the length of what has not changed", "GET",
     "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\nContent-Length: 5\r\n\r\n", 304, ""},
    {"an unregistered status", "POST", "HTTP/1.1 599 Odd\r\n" + hello, 599, "hello"},
    {"an empty reason", "POST", "HTTP/1.1 200 \r\n" + hello, 200, "hello"},
    {"a reason beyond ASCII", "POST", "HTTP/1.1 200 S\xc3\xad\r\n" + hello, 200, "hello"},
    {"values beyond ASCII, empty and with tabs", "POST", statusOk + "A: \xe9\r\nB:\r\nC: a\tb \r\n" + hello,
     200, "hello"},
    {"interim responses", "POST",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + statusOk + hello, 200,
     "hello"},
};

} // namespace

// Guards against rules that reject what a server may send.
TABLE_TEST(httpResponse, aValidResponseIsReceived, validRows)
{
    const CallResult result = receive(row.bytes, row.method);
    cr_assert(!result.failed && result.response.status == row.status, "%s: %u", row.what,
              result.response.status);
    cr_assert(result.response.body == row.body, "%s: '%s'", row.what, result.response.body.c_str());
}

// Guards against a trailer, which follows the body, passing for a field of the head: it could name the
// request or carry the proof that the request did not run.
Test(httpResponse, trailersAreNotHeaderFields)
{
    const HttpResponse response =
        receive(statusOk
                + "A: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nB: b\r\nA: c\r\n\r\n")
            .response;
    cr_assert(findHeader(response.headers, "A") == "a");
    cr_assert(findHeader(response.headers, "B").empty());
    cr_assert(response.headers.size() == 2 && response.body == "hello");
}

// Guards against reading what follows a header as a part of it: the end of a header may arrive alone, and a
// body may start like a continuation line.
Test(httpResponse, aResponseMayBeSplitAtAnyByte)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nA: a\r\nContent-Length: 6\r\n\r\n hello";
    ScriptedServer server([&bytes](tcp::acceptor &acceptor) {
        tcp::socket socket = acceptor.accept();
        socket.set_option(tcp::no_delay(true));
        std::string buffer;
        for (std::size_t split = 1; split < bytes.size(); ++split) {
            readHeader(socket, buffer);
            boost::asio::write(socket, boost::asio::buffer(bytes.substr(0, split)));
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
            boost::asio::write(socket, boost::asio::buffer(bytes.substr(split)));
        }
    });
    boost::asio::io_context context;
    HttpClient client(context, {});
    for (std::size_t split = 1; split < bytes.size(); ++split) {
        const CallResult result = sendAndWait(context, client, server.address(), "");
        cr_assert(!result.failed && result.response.body == " hello", "split at %zu", split);
    }
}

// Guards against losing the proof that a request did not run: a server that rejects an upload by its header
// and closes with bytes unread resets the connection, which may cut off the body of the rejection.
Test(httpResponse, theHeaderOfAnIncompleteResponseIsReported)
{
    const CutOffRow row{"", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nConnection: close\r\n\r\nhe", false, true};
    ScriptedServer server([&row](tcp::acceptor &acceptor) { respondAndReset(acceptor, row); });
    boost::asio::io_context context;
    HttpClient client(context, {});
    std::optional<HttpResponse> incomplete;
    client.send(server.address(), {"POST", "/", {}, std::string(longBody, 'x')}, std::chrono::seconds(10),
                [&incomplete](const HttpFailure *failure, const HttpResponse &) {
                    cr_assert(failure != nullptr);
                    incomplete = failure->incompleteResponse;
                });
    context.run();
    cr_assert(incomplete && incomplete->status == 503 && incomplete->body.empty());
    cr_assert(findHeader(incomplete->headers, "Not-Run") == "1");
}

namespace {

struct WholeRow
{
    const char *what;
    std::string bytes;
    std::size_t completeFrom; // A part of at least this size is complete if the server closes after it.
};

const std::string fields = "A: a\r\nB: b\r\n";
const std::string unframedHead = statusOk + fields + "\r\n";

const WholeRow wholeRows[] = {
    {"a length", statusOk + fields + hello, std::string::npos},
    {"a length of zero", statusOk + fields + "Content-Length: 0\r\n\r\n", std::string::npos},
    {"the length first", statusOk + "Content-Length: 5\r\n" + fields + "\r\nhello", std::string::npos},
    {"chunks", statusOk + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunkedHello, std::string::npos},
    {"chunks and trailers",
     statusOk + "Transfer-Encoding: chunked\r\n\r\n5;x\r\nhello\r\n0\r\n" + fields + "\r\n",
     std::string::npos},
    {"no content", "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", std::string::npos},
    {"an interim response ahead", "HTTP/1.1 103 Early Hints\r\nA: a\r\n\r\n" + statusOk + hello,
     std::string::npos},
    {"a rejection", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", std::string::npos},
    {"no length", unframedHead + "hello", unframedHead.size()},
    {"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhello", std::string("HTTP/1.0 200 OK\r\n\r\n").size()},
};

} // namespace

// Guards against a response whose server stops within it, in its head or later, passing for a whole one with
// an empty or a short body.
TABLE_TEST(httpResponse, aResponseThatStopsAtAnyByteIsIncomplete, wholeRows)
{
    for (const StreamEnd end : {StreamEnd::Closed, StreamEnd::Reset}) {
        std::vector<std::string> responses = prefixesOf(row.bytes);
        if (end == StreamEnd::Closed)
            responses.push_back(row.bytes);
        const ScriptedServer server(
            [&responses, end](tcp::acceptor &acceptor) { respondInTurn(acceptor, responses, end); });
        boost::asio::io_context context;
        HttpClient client(context, {});
        for (const std::string &bytes : responses) {
            const bool isComplete = bytes.size() == row.bytes.size()
                                    || (end == StreamEnd::Closed && bytes.size() >= row.completeFrom);
            const CallResult result = sendAndWait(context, client, server.address(), "");
            cr_assert(result.failed != isComplete && (isComplete || result.mayHaveBeenSent),
                      "%s, %zu bytes: %u '%s'", row.what, bytes.size(), result.response.status,
                      result.response.body.c_str());
        }
    }
}

// Tests a gate with a server whose responses are truncated, corrupt, duplicated or early.
#include "PlatformGate.h"

#include <LibNet/HttpServer.h>
#include <LibNet/ScriptedServer.h>
#include <Support/TableTest.h>
#include <UpstreamEmulator/Answer.h>
#include <UpstreamEmulator/WorkService.h>

#include <boost/asio/write.hpp>

using namespace Sagecrank;

namespace {

struct FaultRow
{
    const char *fault; // Applies to every call except the last.
    Outcome outcome;
    std::uint32_t status;
};

const FaultRow faultRows[] = {
    {"{}", Outcome::Done, 200},
    {R"({"cut_share":1})", Outcome::Unknown, 502},
    {R"({"spoil_share":1})", Outcome::Unknown, 502},
    {R"({"unframed_share":1})", Outcome::Done, 200},
    {R"({"double_share":1})", Outcome::Done, 200},
    {R"({"double_late_share":1})", Outcome::Done, 200},
    {R"({"early_share":1})", Outcome::NotRun, 503},
    {R"({"shed_share":1})", Outcome::NotRun, 503},
    {R"({"shed_double_late_share":1})", Outcome::NotRun, 503},
    {R"({"drop_share":1})", Outcome::Unknown, 502},
    {R"({"oversized_share":1})", Outcome::Unknown, 502},
    {R"({"invalid_status_share":1})", Outcome::Unknown, 502},
    {R"({"folded_share":1})", Outcome::Unknown, 502},
};

class FaultyServer : public PlatformGate
{
public:
    FaultyServer()
    {
        HttpServerSettings settings;
        settings.rewriteResponse = applyMarkedFault;
        settings.respondBeforeBody = Platform::wrapEarlyResponse(
            "i-1", [this](const HttpRequest &header) { return this->service.respondBeforeBody(header); });
        this->server.emplace(this->context, settings,
                             Platform::wrapPlatformHandler(
                                 "i-1", [this](HttpRequest request, std::shared_ptr<HttpExchange> exchange) {
                                     this->service.handle(this->context, std::move(request),
                                                          std::move(exchange));
                                 }));
        cr_assert(this->server->listen("127.0.0.1:0").has_value());
        this->gate.announce({"booking", this->server->address(), 2, UpstreamCondition::Ready, "i-1", 7, 1});
    }

    void fault(const std::string &json)
    {
        std::optional<HttpResponse> result;
        this->operatorClient.send(
            this->server->address(), {"POST", "/emulator/faults", {}, json}, std::chrono::seconds(9),
            [&result](const HttpFailure *, const HttpResponse &response) { result = response; });
        this->runUntil([&result] { return result.has_value(); });
        cr_assert(result->status == 200, "%s", result->body.c_str());
    }

    // Sends a body larger than the connection's buffers, so that it is incomplete when the call is rejected.
    CallResponse call(const std::string &id)
    {
        CallRequest request;
        request.cluster = "booking";
        request.remainingMicroseconds = 9'000'000;
        request.callerCallId = id;
        request.method = "POST";
        request.target = "/pay";
        request.body.assign(900'000, 'b');
        return this->PlatformGate::call(std::move(request));
    }

private:
    HttpClient operatorClient{this->context, HttpClientSettings{}}; // Reads none of the calls' responses.
    WorkService service{WorkSettings{}, this->history, [] { return SteadyClock::now(); },
                        [](std::string_view) {}};
    std::optional<HttpServer> server;
};

} // namespace

// A server misbehaves for some calls and then recovers. Whatever it sends, a caller gets its own complete
// response, a correct rejection, or "unknown", and bytes left over from an earlier call are never taken for
// the response to a later one.
TABLE_TEST(faultyServer, callersGetOnlyTheirOwnResponse, faultRows)
{
    FaultyServer server;
    server.fault(row.fault);
    for (const char *id : {"first", "second", "third"}) {
        const CallResponse response = server.call(id);
        cr_assert(response.outcome == row.outcome && response.status == row.status, "%s: %u %s", row.fault,
                  response.status, response.reason.c_str());
        const std::string own = "call=" + std::string(id) + "\n";
        cr_assert(response.outcome != Outcome::Done || response.body.find(own) != std::string::npos, "%s: %s",
                  row.fault, response.body.c_str());
    }
    server.fault("{}");
    const CallResponse last = server.call("last");
    cr_assert(last.outcome == Outcome::Done && last.body.find("call=last\n") != std::string::npos);
}

// A server rejects a call, and the same call is sent to it again. The server sends a late copy of the
// rejection and runs the call, so the copy must not be reported as "not run".
Test(faultyServer, aLateCopyOfARejectionIsNotTheResponseToTheSameCallSentAgain)
{
    FaultyServer server;
    server.fault(R"({"shed_double_late_share":1})");
    cr_assert(server.call("booking").outcome == Outcome::NotRun);
    server.fault("{}");
    const CallResponse again = server.call("booking");
    cr_assert(again.outcome == Outcome::Done && again.status == 200, "%u", again.status);
}

namespace {

struct ResetRow
{
    const char *what;
    std::string response;
    Outcome outcome;
    std::uint32_t status;
};

const ResetRow resetRows[] = {
    {"a part of a success", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a1\r\n\r\npart",
     Outcome::Unknown, 502},
    {"a part of a rejection", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: a1\r\n\r\npart",
     Outcome::NotRun, 503},
};

// Responds to the header of a request and resets the connection while the body is being sent.
void respondAndReset(boost::asio::ip::tcp::acceptor &acceptor, const std::string &response)
{
    boost::asio::ip::tcp::socket socket = acceptor.accept();
    std::string buffer;
    readHeader(socket, buffer);
    boost::asio::write(socket, boost::asio::buffer(response));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    socket.set_option(boost::asio::ip::tcp::socket::linger(true, 0));
}

} // namespace

// Guards against a part of a response reaching the caller as all of it, and against losing a rejection whose
// body is cut off, when a server resets an upload.
TABLE_TEST(faultyServer, aResetUploadHasNoCompleteResponse, resetRows)
{
    const ScriptedServer server(
        [&row](boost::asio::ip::tcp::acceptor &acceptor) { respondAndReset(acceptor, row.response); });
    PlatformGate platform;
    platform.gate.announce({"booking", server.address(), 2, UpstreamCondition::Ready, "i-1", 7, 1});
    CallRequest request;
    request.cluster = "booking";
    request.remainingMicroseconds = 9'000'000;
    request.callerCallId = "a1";
    request.method = "POST";
    request.target = "/pay";
    request.body.assign(std::size_t{8} << 20, 'b'); // More than the socket buffers of both ends hold.
    const CallResponse response = platform.call(std::move(request));
    cr_assert(response.outcome == row.outcome && response.status == row.status, "%s: %u '%s'", row.what,
              response.status, response.body.c_str());
}

namespace {

struct ShapeRow
{
    const char *what;
    std::string bytes;
    Outcome outcome;
    std::uint32_t status;
    const char *body;
};

const std::string stampAndId = "Server-Stamp: s\r\nAttempt-Id: a1\r\n";
const std::string success = "HTTP/1.1 200 OK\r\n" + stampAndId;
const std::string rejection = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nAttempt-Id: a1\r\n";
const std::string done = "Content-Length: 4\r\n\r\ndone";

const ShapeRow shapeRows[] = {
    {"a success", success + done, Outcome::Done, 200, "done"},
    {"a success in chunks", success + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
     Outcome::Done, 200, "done"},
    {"a success without a body", success + "Content-Length: 0\r\n\r\n", Outcome::Done, 200, ""},
    {"a success without a length", success + "\r\ndone", Outcome::Done, 200, "done"},
    {"a failure of the server's own", "HTTP/1.1 500 Error\r\n" + stampAndId + done, Outcome::Done, 500,
     "done"},
    {"an unregistered status", "HTTP/1.1 599 Odd\r\n" + stampAndId + done, Outcome::Done, 599, "done"},
    {"a rejection", rejection + "Content-Length: 0\r\n\r\n", Outcome::NotRun, 503, ""},
    {"another server", "HTTP/1.1 421 Other\r\nAttempt-Id: a1\r\nContent-Length: 0\r\n\r\n", Outcome::NotRun,
     503, ""},
    {"nothing", "", Outcome::Unknown, 502, ""},
    {"the status 000", "HTTP/1.1 000 Broken\r\n" + stampAndId + done, Outcome::Unknown, 502, ""},
    {"the status 000 of a rejection", "HTTP/1.1 000 Full\r\nNot-Executed: 1\r\nAttempt-Id: a1\r\n" + done,
     Outcome::Unknown, 502, ""},
    {"a status above all", "HTTP/1.1 999 Broken\r\n" + stampAndId + done, Outcome::Unknown, 502, ""},
    {"no stamp", "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n" + done, Outcome::Unknown, 502, ""},
    {"no id", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n" + done, Outcome::Unknown, 502, ""},
    {"another id", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a2\r\n" + done, Outcome::Unknown, 502,
     ""},
    {"a coded body", success + "Content-Encoding: gzip\r\n" + done, Outcome::Unknown, 502, ""},
    {"a rejection without its proof", "HTTP/1.1 503 Full\r\n" + stampAndId + done, Outcome::Unknown, 502, ""},
    {"bytes that are no response", "done, and more of it\r\n\r\n", Outcome::Unknown, 502, ""},
};

CallRequest shortCall()
{
    CallRequest request;
    request.cluster = "booking";
    request.remainingMicroseconds = 9'000'000;
    request.callerCallId = "a1";
    request.method = "POST";
    request.target = "/pay";
    return request;
}

// The outcome of a call to a server that sends these bytes and closes.
CallResponse callAndReceive(const std::string &bytes)
{
    const ScriptedServer server([&bytes](boost::asio::ip::tcp::acceptor &acceptor) {
        respondInTurn(acceptor, {bytes}, StreamEnd::Closed);
    });
    PlatformGate platform;
    platform.gate.announce({"booking", server.address(), 2, UpstreamCondition::Ready, "i-1", 7, 1});
    return platform.call(shortCall());
}

} // namespace

// Guards against an answer of a server in trouble that reaches the caller, and against one that is sound and
// does not.
TABLE_TEST(faultyServer, eachShapeOfAResponseHasOneOutcome, shapeRows)
{
    const CallResponse response = callAndReceive(row.bytes);
    cr_assert(response.outcome == row.outcome && response.status == row.status, "%s: %u %s", row.what,
              response.status, response.reason.c_str());
    cr_assert(response.body == row.body, "%s: '%s'", row.what, response.body.c_str());
}

// Guards against a server that stops within its response, in the head or later, and closes: the caller must
// not get a success with an empty or a short body, and no promise that the call has not run.
TABLE_TEST(faultyServer, aResponseThatStopsAtAnyByteIsUnknown, shapeRows)
{
    const bool endsWithConnection = row.bytes.find("\r\n\r\ndone") != std::string::npos
                                    && row.bytes.find("Content-Length") == std::string::npos;
    std::vector<std::string> parts = prefixesOf(row.bytes);
    if (endsWithConnection)
        std::erase_if(parts,
                      [](const std::string &part) { return part.find("\r\n\r\n") != std::string::npos; });
    // An intact head proves that the call has not run, also without the body.
    const bool isProof = row.outcome == Outcome::NotRun;
    for (const std::string &part : parts) {
        const CallResponse response = callAndReceive(part);
        const bool isWholeHead = part.find("\r\n\r\n") != std::string::npos;
        cr_assert(response.outcome == Outcome::Unknown || (isProof && isWholeHead), "%s, %zu bytes: %u",
                  row.what, part.size(), response.status);
        cr_assert(response.body.empty() && response.status >= 500, "%s, %zu bytes", row.what, part.size());
    }
}

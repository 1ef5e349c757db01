// Messages that Beast cannot hold or encode, for which it throws: none may end the process.
#include <LibNet/HttpClient.h>
#include <LibNet/HttpServer.h>

#include "RawHttp.h"

#include <Support/TableTest.h>

#include <optional>
#include <string>
#include <thread>

using namespace Sagecrank;

namespace {

struct UnencodableResponseRow
{
    const char *what;
    HttpResponse response;
};

const std::string tooLongField(70'000, 'x'); // A field's length has 16 bits in Beast.

const UnencodableResponseRow unencodableResponseRows[] = {
    {"no status", {1000, {}, "", {}}},
    {"content in 204", {204, {}, "body", {}}},
    {"a long field", {200, {{"X", tooLongField}}, "", {}}},
};

} // namespace

// Another node or an upstream has sent a response that cannot be encoded. Its caller gets an error, and the
// process goes on.
TABLE_TEST(httpServer, aResponseThatCannotBeEncodedIsReplaced, unencodableResponseRows)
{
    boost::asio::io_context context;
    HttpServer server(context, {},
                      [&row](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                          exchange->respond(row.response);
                      });
    cr_assert(server.listen("127.0.0.1:0").has_value());
    std::thread thread([&context] { context.run_for(std::chrono::seconds(20)); });
    const std::string response =
        exchangeRaw(server.address(), "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    context.stop();
    thread.join();
    cr_assert(response.starts_with("HTTP/1.1 502"), "%s: %s", row.what, response.c_str());
}

namespace {

struct LongFieldRow
{
    const char *what;
    std::string request;
};

const std::string chunkedRequest = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ";

const LongFieldRow longFieldRows[] = {
    {"header field", "GET / HTTP/1.1\r\nHost: a\r\nX: " + tooLongField + "\r\n\r\n"},
    {"trailer field", chunkedRequest + tooLongField + "\r\n\r\n"},
    {"trailer field of the buffer's size", chunkedRequest + std::string(65'526, 'x') + "\r\n\r\n"},
    {"trailer field of a field's size", chunkedRequest + std::string(65'534, 'x') + "\r\n\r\n"},
};

} // namespace

// The configuration allows headers above 64 KiB, and a caller sends a field of that length. The request is
// rejected or served; the process does not end.
TABLE_TEST(httpServer, aLongFieldDoesNotEndTheProcess, longFieldRows)
{
    boost::asio::io_context context;
    HttpServerSettings settings;
    settings.limits.headerBytes = 524'288;
    HttpServer server(context, settings,
                      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                          exchange->respond(makeResponse(200, "text/plain", "served"));
                      });
    cr_assert(server.listen("127.0.0.1:0").has_value());
    std::thread thread([&context] { context.run_for(std::chrono::seconds(20)); });
    boost::system::error_code ignored;
    const std::string response = exchangeRaw(server.address(), row.request, ignored);
    const std::string other =
        exchangeRaw(server.address(), "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    context.stop();
    thread.join();
    cr_assert(response.starts_with("HTTP/1.1 "), "%s", row.what);
    cr_assert(other.ends_with("served"), "%s", row.what);
}

namespace {

struct UnencodableRequestRow
{
    const char *what;
    HttpRequest request;
};

const UnencodableRequestRow unencodableRequestRows[] = {
    {"content in TRACE", {"TRACE", "/", {}, "body"}},
    {"no method", {"", "/", {}, ""}},
    {"a long field", {"GET", "/", {{"X", std::string(70'000, 'x')}}, ""}},
};

} // namespace

// A caller's request cannot be encoded for its upstream. The call fails as not sent, and the process goes on:
// the retry would otherwise end the next node.
TABLE_TEST(httpClient, aRequestThatCannotBeEncodedFailsAsNotSent, unencodableRequestRows)
{
    boost::asio::io_context context;
    HttpClient client(context, {});
    std::optional<HttpFailure> failed;
    client.send("127.0.0.1:1", row.request, std::chrono::seconds(10),
                [&failed](const HttpFailure *failure, const HttpResponse &) {
                    if (failure != nullptr)
                        failed = *failure;
                });
    context.run_for(std::chrono::seconds(11));
    cr_assert(failed.has_value() && !failed->mayHaveBeenSent, "%s", row.what);
}

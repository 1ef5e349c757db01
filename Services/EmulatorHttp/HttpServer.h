// A small HTTP/1.1 server for the emulators of the outside systems. One handler takes every request and may
// answer it later, from any thread, or close the connection without an answer, which is how a lost answer
// looks to a caller.
#pragma once

#include <LibCore/Error.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Sagecrank {

struct HttpResponse
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

// One request and the one chance to answer it.
class HttpExchange
{
public:
    HttpExchange() = default;
    virtual ~HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    virtual std::string_view method() const = 0;
    virtual std::string_view target() const = 0;
    virtual std::string_view body() const = 0;
    // Empty when the field is not there.
    virtual std::string_view field(std::string_view name) const = 0;
    // The context whose thread serves this connection; the handler and `whenGone` run there.
    virtual boost::asio::io_context &context() = 0;

    // Called at most once; a second answer, or one after the caller has gone, is ignored.
    virtual void answer(HttpResponse response) = 0;
    // Closes the connection without an answer.
    virtual void drop() = 0;
    // The hook runs if the caller closes the connection before the answer. Set on the context's thread.
    virtual void whenGone(std::function<void()> hook) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

// Connections are dealt out over the contexts in turn; each context is run by exactly one thread.
class HttpServer
{
public:
    HttpServer(std::vector<boost::asio::io_context *> contexts, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Errors: Unavailable when the address cannot be bound.
    Result<void> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    boost::asio::ip::tcp::endpoint endpoint() const;

private:
    class Acceptor;
    std::shared_ptr<Acceptor> acceptor;
};

// "ip:port" with a numeric address.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace Sagecrank

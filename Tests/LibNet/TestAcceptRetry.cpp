// Tests servers whose process has no descriptor left for a new connection.
#include <LibNet/HttpServer.h>

#include "RawHttp.h"

#include <criterion/criterion.h>

#include <sys/resource.h>

#include <ctime>
#include <memory>

using namespace Sagecrank;

namespace {

// Leaves the process without a free descriptor while it lives.
class FullDescriptorTable
{
public:
    FullDescriptorTable()
    {
        cr_assert(getrlimit(RLIMIT_NOFILE, &this->before) == 0);
        const int next = ::dup(0);
        cr_assert(next >= 0);
        ::close(next);
        rlimit lowered = this->before;
        lowered.rlim_cur = static_cast<rlim_t>(next);
        cr_assert(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~FullDescriptorTable() { setrlimit(RLIMIT_NOFILE, &this->before); }
    FullDescriptorTable(const FullDescriptorTable &) = delete;
    FullDescriptorTable &operator=(const FullDescriptorTable &) = delete;

private:
    rlimit before{};
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

// Guards against an accept that fails at once, again and again, and takes the thread from the calls in
// progress.
Test(acceptRetry, aFullDescriptorTableDoesNotTakeTheThread)
{
    constexpr double seconds = 1.0;
    boost::asio::io_context context;
    HttpServer server(context, HttpServerSettings{},
                      [](const HttpRequest &, const std::shared_ptr<HttpExchange> &exchange) {
                          exchange->respond(makeResponse(200, "text/plain", "ok"));
                      });
    cr_assert(server.listen("127.0.0.1:0").has_value());
    boost::asio::io_context callerContext;
    boost::asio::ip::tcp::socket caller(callerContext, boost::asio::ip::tcp::v4());
    {
        const FullDescriptorTable full;
        caller.connect(parseTcpEndpoint(server.address()).value());
        const double before = processorSeconds();
        context.run_for(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
        cr_expect(processorSeconds() - before < seconds / 4);
    }
    boost::asio::write(caller, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    for (int tries = 0; tries < 200 && caller.available() == 0; ++tries)
        context.run_for(Milliseconds(50));
    cr_expect(caller.available() > 0, "the caller was not served once descriptors were free");
}

// sagecrank-relay: forwards traffic between two processes of a test over loopback and, on command, silences,
// resets, delays or drops it. Only tests use it.
// Exit codes: 0 ended by SIGTERM or SIGINT, 1 cannot listen, 2 wrong usage.
#include "ControlPort.h"
#include "TcpRelay.h"
#include "UdpRelay.h"

#include <LibCommandLine/CommandLine.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <charconv>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>

using namespace Sagecrank;
namespace asio = boost::asio;
namespace options = boost::program_options;

namespace {

constexpr int exitFailure = 1;

struct Settings
{
    std::string listen;
    std::string to;
    std::string control;
    bool udp = false;
    std::uint64_t seed = 1;
};

// With port 0 the kernel chooses the port, which is printed at the start.
template <typename Endpoint>
Endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    const char *const end = text.data() + text.size();
    std::uint16_t port = 0;
    const bool isPort =
        colon != std::string::npos
        && std::from_chars(text.data() + colon + 1, end, port) == std::from_chars_result{end, {}};
    boost::system::error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    if (error || !isPort)
        throw options::error("not an address of the form ip:port: " + text);
    return {address, port};
}

int run(const Settings &settings)
{
    asio::io_context context(1);
    LinkFaults faults(settings.seed);
    std::unique_ptr<TcpRelay> tcpRelay;
    std::unique_ptr<UdpRelay> udpRelay;
    using asio::ip::tcp;
    using asio::ip::udp;
    if (settings.udp)
        udpRelay = std::make_unique<UdpRelay>(context, parseEndpoint<udp::endpoint>(settings.listen),
                                              parseEndpoint<udp::endpoint>(settings.to), faults);
    else
        tcpRelay = std::make_unique<TcpRelay>(context, parseEndpoint<tcp::endpoint>(settings.listen),
                                              parseEndpoint<tcp::endpoint>(settings.to), faults);
    std::optional<ControlPort> control;
    const auto applyCommand = [&](const RelayCommand &received) {
        faults.apply(received);
        if (tcpRelay && received.kind == RelayCommandKind::Silence)
            tcpRelay->silenceConnections(received.up, received.down);
        if (tcpRelay && received.kind == RelayCommandKind::Cut)
            tcpRelay->resetConnections();
    };
    if (!settings.control.empty())
        control.emplace(context, parseEndpoint<tcp::endpoint>(settings.control), applyCommand);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    std::cerr << "relay listens on ";
    if (tcpRelay)
        std::cerr << tcpRelay->localEndpoint();
    else
        std::cerr << udpRelay->localEndpoint();
    if (control)
        std::cerr << ", takes commands on " << control->localEndpoint();
    std::cerr << "\n";
    context.run();
    return 0;
}

} // namespace

int main(int count, char **arguments)
{
    Settings settings;
    options::options_description description("sagecrank-relay: passes bytes on and disturbs them on command");
    auto add = description.add_options();
    add("listen", options::value(&settings.listen)->required(),
        "address to take connections at, ip:port, with port 0 for any free one");
    add("to", options::value(&settings.to)->required(), "address to pass them on to, ip:port");
    add("control", options::value(&settings.control),
        "address to take commands at, one on a line: pass, silence [up|down], hole, cut, refuse, "
        "delay up|down MS, drop SHARE");
    add("udp", options::bool_switch(&settings.udp), "pass datagrams on instead of connections");
    add("seed", options::value(&settings.seed)->default_value(settings.seed),
        "for the datagrams that are dropped");
    options::variables_map values;
    if (const auto exitCode = readCommandLine(CommandLine{"", description, {}}, count, arguments, values))
        return *exitCode;
    try {
        return run(settings);
    } catch (const boost::system::system_error &error) {
        std::cerr << error.what() << "\n";
        return exitFailure;
    }
}

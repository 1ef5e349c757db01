// The main loop that the store emulators share: listen, log readiness, stop on a signal.
#pragma once

#include <LibNet/HttpServer.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Sagecrank {

struct StorePort
{
    std::string listen;
    HttpHandler handler;
};

// Receives the hook that logs changed fault settings. The handlers own whatever they use.
using FaultsSetHook = std::function<void(std::string_view json)>;
using MakeStorePorts = std::function<std::vector<StorePort>(boost::asio::io_context &, FaultsSetHook)>;

// Serves until SIGINT or SIGTERM and returns the exit code of the process.
int runStoreProgram(const std::string &process, std::uint64_t maximumBodyBytes,
                    const MakeStorePorts &makePorts);

} // namespace Sagecrank

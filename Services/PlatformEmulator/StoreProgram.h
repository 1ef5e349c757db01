// What the stand-ins of stores have in common as programs: they listen, say that they are ready, and end on a
// signal.
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

// Given where to tell of faults that were set by command. What the handlers use is kept alive by them.
using FaultsSetHook = std::function<void(std::string_view json)>;
using MakeStorePorts = std::function<std::vector<StorePort>(boost::asio::io_context &, FaultsSetHook)>;

// Serves until SIGINT or SIGTERM; the exit code of the process.
int runStoreProgram(const std::string &process, std::uint64_t maximumBodyBytes,
                    const MakeStorePorts &makePorts);

} // namespace Sagecrank

// What stands in one base file or overlay, with the place of each value, before the files are put together.
// Used by the reader of the files and by the renderer; not for other parts.
#pragma once

#include <LibConfig/SourceFiles.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sagecrank {

struct Place
{
    std::string file;
    std::uint32_t line = 0;
};

// A value together with where it was written, so that a fault that only shows when files are put together is
// still reported at the line that has to change.
template <typename T>
struct Placed
{
    T value{};
    Place place;
};

template <typename T>
using Field = std::optional<Placed<T>>;

struct ClusterSource
{
    Place place;
    Field<std::uint32_t> maximumQueue;
    Field<Milliseconds> timeout;
    bool remove = false; // Only in overlays.
};

struct RouteSource
{
    Placed<std::string> name;
    Field<std::string> host;
    Field<std::string> prefix;
    Field<std::vector<std::string>> methods;
    Field<std::string> cluster;
    Field<CallClass> callClass;
    Field<bool> idempotent;
    Field<Milliseconds> timeout;
    Field<std::uint32_t> maximumRetries;
    Field<bool> hedged;
    Field<std::uint32_t> priority;
    Field<Milliseconds> targetLatency;
    Field<std::vector<WeightedCluster>> split;
    Field<bool> isPublic;
    Field<bool> largeResponses;
    Field<std::vector<std::string>> required; // Services without which the route is left out.
    bool remove = false;                      // Only in overlays.
};

// What callers of the site may send, and how long they may take.
struct CallersSource
{
    Field<std::uint32_t> headerBytes;
    Field<std::uint32_t> bodyBytes;
    Field<Milliseconds> headerTimeout;
    Field<Milliseconds> idleTimeout;
};

struct AccountSource
{
    Placed<std::string> name;
    Field<std::vector<std::string>> keys;
    Field<std::uint32_t> priority;
    Field<double> callsPerSecond;
    Field<double> burst;
    bool remove = false; // Only in overlays.
};

struct FileSource
{
    std::string file;
    Field<std::string> mesh; // Only in the base file.
    Field<std::string> site; // Only in overlays.
    CallersSource callers;
    std::map<std::string, ClusterSource> clusters;
    std::vector<RouteSource> routes;     // Names are unique within the file.
    std::vector<AccountSource> accounts; // Likewise.
};

enum class FileKind : std::uint8_t { Base, Overlay };

// Faults of the file by itself go into `errors`; what could be read is returned.
FileSource readSource(const SourceFile &file, FileKind kind, std::vector<SourceError> &errors);

} // namespace Sagecrank

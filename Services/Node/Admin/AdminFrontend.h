// The admin HTTP interface of the node: announcements of the upstream, operator commands, status and metrics.
#pragma once

#include <Node/Upstream/UpstreamPresence.h>

#include <LibMembership/Member.h>
#include <LibNet/HttpServer.h>

#include <functional>
#include <string>

namespace Sagecrank {

struct AdminHooks
{
    // Commands.
    std::function<AnnouncementResult(const UpstreamAnnouncement &, UpstreamState)> announced;
    std::function<AnnouncementResult(const std::string &instance)> left;
    std::function<void(const Error &)> announcementRefused;
    std::function<void()> drain;
    // Queries.
    std::function<std::uint32_t()> inFlight;
    std::function<bool()> ready;
    std::function<std::string()> status;  // JSON.
    std::function<std::string()> metrics; // Prometheus text.
    std::function<std::string()> spans;   // JSON.
    // Where the upstream is to send its next announcement; empty: where it sent this one. May be empty.
    std::function<std::string(AnnouncementResult)> nextAddress = {};
};

class AdminFrontend
{
public:
    explicit AdminFrontend(AdminHooks hooks);

    HttpResponse answer(const HttpRequest &request) const;

private:
    HttpResponse handleAnnouncement(const HttpRequest &request) const;
    HttpResponse handleDrain() const;

    const AdminHooks hooks;
};

} // namespace Sagecrank

// Prints results and errors for the operator, as text or as one JSON object.
#pragma once

#include <Ctl/Arguments.h>
#include <Ctl/Content.h>
#include <LibConfig/SourceFiles.h>
#include <LibSource/Head.h>
#include <LibSource/TableRollouts.h>

#include <ostream>
#include <string>
#include <vector>

namespace Sagecrank {

struct NodeStatus
{
    std::string address;
    Result<std::string> status; // The JSON body of the node's /status.
};

class Printer
{
public:
    Printer(std::ostream &out, std::ostream &errors, bool json)
        : out(out)
        , errors(errors)
        , json(json)
    {
    }

    void error(const Error &error) const;
    void faults(const std::vector<SourceError> &faults) const;
    void validated(const RenderResult &result) const;
    void sites(const std::vector<RenderedSite> &sites) const;
    void accounts(const std::vector<RenderedSite> &sites) const;
    void changes(const std::vector<Change> &changes) const;
    void status(const Head &head, const std::vector<NodeStatus> &nodes) const;
    void history(const std::vector<HistoryEntry> &entries) const;
    void publishResult(const PublishResult &result) const;
    void rollouts(const std::vector<RolloutRow> &rows) const;
    void drainStarted(const std::string &node, const std::string &response) const;

private:
    std::ostream &out;
    std::ostream &errors; // For text; JSON always goes to `out`, so that scripts read one stream.
    const bool json;
};

} // namespace Sagecrank

// Implements Report.h.
#include <PolicyBench/Report.h>

#include <LibDecide/SlotShares.h>

#include <functional>
#include <iomanip>
#include <sstream>

namespace Sagecrank {

namespace {

std::string formatPercent(double share)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << 100 * share;
    return text.str();
}

std::string formatMilliseconds(Duration duration)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << std::chrono::duration<double, std::milli>(duration).count();
    return text.str();
}

std::string formatWastedShare(const Outcome &outcome)
{
    return formatPercent(outcome.busySeconds == 0 ? 0 : outcome.wastedSeconds / outcome.busySeconds);
}

} // namespace

void printHeader(std::ostream &out)
{
    out << "| scenario | policy | class | callers | in time % | served % | p50 ms | p99 ms | refused % "
           "| refused in p99 ms | failed % | gave up % | wasted work % | breaches |\n"
        << "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: "
           "|\n";
}

void printRows(std::ostream &out, const std::string &scenario, const std::string &policy,
               const Outcome &outcome)
{
    for (const CallClass callClass : classPriorityOrder) {
        const ClassOutcome &row = outcome.of(callClass);
        out << "| " << scenario << " | " << policy << " | " << callClassNames.name(callClass) << " | "
            << row.callers << " | " << formatPercent(row.share(row.inTime)) << " | "
            << formatPercent(row.share(row.served)) << " | "
            << formatMilliseconds(quantile(row.servedLatencies, 0.5)) << " | "
            << formatMilliseconds(quantile(row.servedLatencies, 0.99)) << " | "
            << formatPercent(row.share(row.refused)) << " | "
            << formatMilliseconds(quantile(row.refusalLatencies, 0.99)) << " | "
            << formatPercent(row.share(row.failed)) << " | " << formatPercent(row.share(row.timedOut))
            << " | " << formatWastedShare(outcome) << " | " << outcome.violations() << " |\n";
    }
}

void printSummaryHeader(std::ostream &out)
{
    out << "| scenario | policy | in time % | served % | p50 ms | p99 ms | refused % | refused in p99 ms "
           "| wasted work % | breaches |\n"
        << "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n";
}

void printSummary(std::ostream &out, const std::string &scenario, const std::string &policy,
                  const Outcome &outcome)
{
    const auto cell = [&](const std::function<std::string(const ClassOutcome &)> &text) {
        out << " | " << text(outcome.of(CallClass::Interactive)) << " / "
            << text(outcome.of(CallClass::NonIdempotent)) << " / " << text(outcome.of(CallClass::Batch));
    };
    out << "| " << scenario << " | " << policy;
    cell([](const ClassOutcome &row) { return formatPercent(row.share(row.inTime)); });
    cell([](const ClassOutcome &row) { return formatPercent(row.share(row.served)); });
    cell([](const ClassOutcome &row) { return formatMilliseconds(quantile(row.servedLatencies, 0.5)); });
    cell([](const ClassOutcome &row) { return formatMilliseconds(quantile(row.servedLatencies, 0.99)); });
    cell([](const ClassOutcome &row) { return formatPercent(row.share(row.refused)); });
    cell([](const ClassOutcome &row) { return formatMilliseconds(quantile(row.refusalLatencies, 0.99)); });
    out << " | " << formatWastedShare(outcome) << " | " << outcome.violations() << " |\n";
}

} // namespace Sagecrank

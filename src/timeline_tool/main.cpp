#include "agatevane/settings/addresses.h"
#include "agatevane/settings/settings.h"
#include "timeline_tool/cancellation_check.h"
#include "timeline_tool/collect.h"
#include "timeline_tool/logs.h"
#include <algorithm>
#include <fstream>
#include <iostream>

using namespace agatevane;

namespace agatevane::timeline_tool {

enum class OutputFormat { Table, Trace, Html };

} // namespace agatevane::timeline_tool

template <> struct agatevane::EnumNames<agatevane::timeline_tool::OutputFormat> {
    using E = timeline_tool::OutputFormat;
    static constexpr std::array<std::pair<E, std::string_view>, 3> table { {
        { E::Table, "table" },
        { E::Trace, "trace" },
        { E::Html, "html" },
    } };
};

namespace {

enum ExitCode {
    AllAnswered = 0,
    CannotWrite = 1,
    WrongSettings = 2,
    SomeUnanswered = 3,
    NoneAnswered = 4,
    FaultFound = 5
};

//! Reports of each symptom that `--check-cancellations` prints in full.
constexpr std::size_t printedPerSymptom = 10;

struct Options {
    std::vector<http::Endpoint> processes;
    std::string logs;
    Millis timeout { 5000 };
    timeline::Filter filter;
    timeline_tool::OutputFormat format = timeline_tool::OutputFormat::Table;
    std::string outputFile;
    std::string caFile;
    bool checksCancellations = false;
    timeline_tool::CheckLimits checkLimits;
};

std::optional<int> readOptions(int argc, char** argv, Options& options)
{
    settings::Settings settings("agatevane-timeline",
        "Asks processes for their latest events, or reads the logs of nodes, merges them in causal order and prints "
        "them.\n"
        "Exit codes: 0 all processes answered, 1 the output cannot be written, 2 wrong settings, 3 some processes did "
        "not answer (the rest is printed), 4 none answered, 5 the check of cancellations found a fault.",
        "agatevane-timeline --processes 10.0.0.1:8080,10.0.0.1:8090 --job tartu.1f2e --format html --output-file "
        "job.html");
    settings.endpoints("--processes", options.processes, "HTTP addresses of entries and schedulers");
    settings.text("--logs", options.logs, "log files of agatevane-node, separated by commas");
    settings.toggle("--check-cancellations", options.checksCancellations,
        "instead of a time line, print what the logs tell of cancelled jobs that go on and of denied ones");
    settings.duration("--run-bound-ms", options.checkLimits.runBound, Millis(0), Millis(600000),
        "--check-cancellations: a run of a cancelled job may be reported for this long after the acknowledgement");
    settings.duration(
        "--timeout-ms", options.timeout, Millis(100), Millis(60000), "time limit for all answers together");
    settings.text("--job", options.filter.job.value, "keep events of this job");
    settings.text("--request", options.filter.request, "keep events of this request or idempotency key");
    settings.text("--workspace", options.filter.workspace.value, "keep events of this workspace");
    settings.text("--data-centre", options.filter.dataCentre.value, "keep events of this data centre");
    settings.choice("--format", options.format, "form of the output; open `trace` with chrome://tracing or Perfetto");
    settings.text("--output-file", options.outputFile, "file to write instead of standard output");
    settings.text("--ca-file", options.caFile, "PEM file that certificates of https processes must chain to");
    auto exitCode = settings.parseOrPrint(argc, argv, std::cout, std::cerr);
    if (!exitCode && options.processes.empty() && options.logs.empty()) {
        std::cerr << "neither --processes nor --logs is given\n";
        return WrongSettings;
    }
    for (auto& process : options.processes)
        process.caFile = options.caFile;
    return exitCode;
}

//! Reads the log files. A file that cannot be opened is added to `failures`.
std::vector<event_log::LogLine> readLogs(const std::string& files, Findings& failures)
{
    std::vector<event_log::LogLine> lines;
    for (const auto& path : settings::splitList(files)) {
        std::ifstream log(path, std::ios::binary);
        if (!log)
            failures.push_back({ path, "cannot be read" });
        else if (auto unreadableLines = event_log::readLog(log, lines))
            std::cerr << path << ": " << unreadableLines << " lines are not structured log lines\n";
    }
    return lines;
}

int printCancellationCheck(const Options& options)
{
    Findings failures;
    auto reports = timeline_tool::checkCancellations(readLogs(options.logs, failures), options.checkLimits);
    for (const auto& finding : failures)
        std::cerr << finding.place << ": " << finding.text << "\n";
    std::cout << timeline_tool::formatSymptoms(reports, printedPerSymptom) << std::flush;
    if (!failures.empty())
        return SomeUnanswered;
    bool hasFault = std::any_of(reports.begin(), reports.end(), timeline_tool::isSureFault);
    return hasFault ? FaultFound : AllAnswered;
}

std::string render(const Options& options, const std::vector<timeline::Event>& events)
{
    switch (options.format) {
    case timeline_tool::OutputFormat::Trace:
        return timeline::formatTrace(events) + "\n";
    case timeline_tool::OutputFormat::Html:
        return timeline::formatHtml(events);
    case timeline_tool::OutputFormat::Table:
        break;
    }
    return timeline::formatTable(events);
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    if (auto exitCode = readOptions(argc, argv, options))
        return *exitCode;
    if (options.checksCancellations)
        return printCancellationCheck(options);
    auto collected = timeline_tool::collect(options.processes, options.timeout);
    for (auto& page : timeline_tool::pagesFromLogs(readLogs(options.logs, collected.failures)))
        collected.pages.push_back(std::move(page));
    for (const auto& finding : collected.failures)
        std::cerr << "no timeline from " << finding.place << ": " << finding.text << "\n";
    if (collected.pages.empty() && !collected.failures.empty())
        return NoneAnswered;
    for (const auto& page : collected.pages) {
        if (page.dropped > 0)
            std::cerr << page.process << ": " << page.dropped << " older events are no longer held\n";
    }
    auto text = render(options, timeline::merge(collected.pages, options.filter));
    if (options.outputFile.empty()) {
        std::cout << text << std::flush;
    } else {
        std::ofstream file(options.outputFile, std::ios::binary);
        file << text << std::flush;
        if (!file) {
            std::cerr << "cannot write the output file " << options.outputFile << "\n";
            return CannotWrite;
        }
    }
    return collected.failures.empty() ? AllAnswered : SomeUnanswered;
}

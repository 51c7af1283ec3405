//! Commands that read the state and the logs of nodes.
#include "agatevane/json/reader.h"
#include "ctl/commands.h"
#include "ctl/explain.h"
#include <fstream>
#include <ostream>

namespace agatevane::ctl {

namespace {

    std::string_view nameOfRelation(Relation relation)
    {
        switch (relation) {
        case Relation::Job:
            return "job";
        case Relation::Worker:
            return "worker";
        case Relation::Process:
            return "process";
        }
        return {};
    }

    std::string detailsOf(const event_log::LogLine& line, const std::string& job)
    {
        std::string text;
        for (const auto& [name, value] : line.fields.items()) {
            if (name == "job" && value == job)
                continue;
            text += (text.empty() ? "" : " ") + name + "=";
            text += value.is_string() ? value.get<std::string>() : json::dump(value);
        }
        return text;
    }

    nlohmann::json toJson(const Explanation& explanation, const std::string& job)
    {
        auto rows = nlohmann::json::array();
        auto firstMs = explanation.lines.front().line.timeMs;
        for (const auto& [line, relation] : explanation.lines) {
            rows.push_back({ { "timeMs", line.timeMs }, { "afterMs", line.timeMs - firstMs },
                { "process", line.process }, { "about", nameOfRelation(relation) }, { "event", line.event },
                { "details", detailsOf(line, job) } });
        }
        return { { "job", job }, { "lastAnswer", explanation.lastAnswer }, { "counts", explanation.counts },
            { "lines", std::move(rows) } };
    }

} // namespace

ExitCode listWorkers(const Context& context)
{
    auto answer = sendRequest(context, "GET", "/v1/workers");
    if (answer.exitCode == Success) {
        printRows(context, answer.body, "workers",
            { { "WORKER", "id" }, { "SERVICE", "service" }, { "DATA CENTRE", "dataCentre" }, { "RACK", "rack" },
                { "STATE", "state" }, { "ACCELERATORS", "accelerators" }, { "USED", "acceleratorsUsed" },
                { "RUNS", "runs" }, { "ANSWERED MS AGO", "answeredMsAgo" }, { "MISSED", "missedLooks" },
                { "STANDING", "standing" }, { "FAULTS %", "faultPercent" }, { "SPEED %", "speedPercent" },
                { "FILLERS %", "fillersPercent" } });
    }
    return answer.exitCode;
}

ExitCode listWaves(const Context& context)
{
    auto answer = sendRequest(context, "GET", "/v1/waves");
    if (answer.exitCode == Success) {
        printRows(context, answer.body, "waves",
            { { "WAVE", "wave" }, { "STATE", "state" }, { "MACHINES", "machines" }, { "WAITING", "waiting" },
                { "EMPTYING", "emptying" }, { "ORDERED", "ordered" }, { "AWAY", "away" }, { "DONE", "done" },
                { "MOST AT ONCE", "mostAtOnce" }, { "DUE IN MS", "dueInMs" } });
    }
    return answer.exitCode;
}

ExitCode listEvacuations(const Context& context)
{
    auto answer = sendRequest(context, "GET", "/v1/evacuations");
    if (answer.exitCode == Success) {
        printRows(context, answer.body, "evacuations",
            { { "DATA CENTRE", "dataCentre" }, { "STARTED (UNIX MS)", "startedUnixMs" },
                { "STARTED MS AGO", "startedMsAgo" }, { "WORKERS", "workers" }, { "RUNS", "runs" },
                { "UNCONFIRMED STARTS", "unconfirmedStarts" } });
    }
    return answer.exitCode;
}

ExitCode explainJob(const Context& context, const std::string& job, const std::vector<std::string>& logs)
{
    std::vector<event_log::LogLine> lines;
    for (const auto& path : logs) {
        std::ifstream log(path, std::ios::binary);
        if (!log) {
            context.err << path << ": cannot be read\n";
            return BadUsage;
        }
        if (auto unreadableLines = event_log::readLog(log, lines))
            context.err << path << ": " << unreadableLines << " lines are not structured log lines\n";
    }
    auto explanation = explain(lines, job);
    if (explanation.lines.empty()) {
        context.err << "no log line is about job " << job
                    << "; check that these are the logs of all nodes from that time\n";
        return NotFound;
    }
    auto body = toJson(explanation, job);
    printRows(context, body, "lines",
        { { "AFTER MS", "afterMs" }, { "PROCESS", "process" }, { "ABOUT", "about" }, { "EVENT", "event" },
            { "DETAILS", "details" } });
    if (context.format == OutputFormat::Json)
        return Success;
    context.out << "\nlast answer: " << (explanation.lastAnswer.empty() ? "none" : explanation.lastAnswer) << "\n";
    for (const auto& [event, times] : explanation.counts)
        context.out << event << ": " << times << "\n";
    return Success;
}

} // namespace agatevane::ctl

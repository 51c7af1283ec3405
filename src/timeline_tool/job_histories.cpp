#include "timeline_tool/job_histories.h"

#include <algorithm>

namespace agatevane::timeline_tool {

namespace {

    using event_log::LogLine;
    using event_log::textOf;

    //! Threads may write their lines in another order than that of their times, by a few milliseconds.
    constexpr std::int64_t leastClockStepMs = 50;

    void noteClock(Histories& histories, std::map<std::string, std::int64_t>& latest, const LogLine& line)
    {
        auto& last = latest[line.process];
        if (last - line.timeMs >= leastClockStepMs) {
            auto& step = histories.clockSteps[line.process];
            step = std::max(step, last - line.timeMs);
        }
        last = line.timeMs;
    }

    void noteAnswer(Histories& histories, const LogLine& line)
    {
        auto status = answerStatus(line);
        auto call = textOf(line, "call");
        if (call == "submit" && status == "ok") {
            auto& job = histories.jobs[jobOf(line)];
            if (!job.accepted) {
                job.accepted = instantOf(line);
                job.queue = textOf(line, "queue");
                job.tenant = textOf(line, "tenant");
            }
        }
        if (call == "cancel" && (status == "ok" || status == "no_such_job")) {
            auto& job = histories.jobs[jobOf(line)];
            if (!job.cancelled)
                job.cancelled = instantOf(line);
        }
    }

    void noteEndOfJob(Histories& histories, const LogLine& line)
    {
        if (line.event != "job_completed" && line.event != "job_failed" && line.event != "job_cancelled")
            return;
        auto& job = histories.jobs[jobOf(line)];
        if (!job.ended)
            job.ended = instantOf(line);
    }

    void noteTenure(Histories& histories, const LogLine& line)
    {
        auto number = line.fields.value("tenure", 0U);
        if (line.event == "ownership_gained")
            histories.tenures.push_back(
                { instantOf(line), std::nullopt, number, line.fields.value("revision", std::int64_t(0)) });
        if (line.event != "fleet_loaded")
            return;
        for (auto& tenure : histories.tenures) {
            if (tenure.number == number && tenure.elected.process == line.process)
                tenure.loaded = instantOf(line);
        }
    }

    bool isEndOfRun(const LogLine& line)
    {
        return line.event == "run_ended" || line.event == "run_missing" || line.event == "run_lost";
    }

    bool isReportOfWorker(const LogLine& line)
    {
        return line.event == "run_adopted" || line.event == "run_unwanted" || line.event == "run_held";
    }

    void noteRun(Histories& histories, const LogLine& line)
    {
        auto name = nameOfRun(line);
        if (name.empty())
            return;
        auto& run = histories.runs[name];
        if (line.event == "stop_ordered" && !run.stopOrdered) {
            run.stopOrdered = instantOf(line);
            run.stopReason = textOf(line, "reason");
        }
        // An owner that doesn't know of the end may still order something.
        if (run.isGone && !isEndOfRun(line) && !isReportOfWorker(line))
            return;
        run.job = jobOf(line);
        run.lastSeen = instantOf(line);
        run.lastEvent = line.event;
        run.worker = textOf(line, "worker");
        run.isGone = isEndOfRun(line);
    }

} // namespace

std::string jobOf(const LogLine& line)
{
    auto job = textOf(line, "job");
    if (!job.empty())
        return job;
    auto task = textOf(line, "task");
    return task.substr(0, task.find('.'));
}

std::string nameOfRun(const LogLine& line)
{
    auto number = line.fields.find("run");
    auto task = textOf(line, "task");
    if (task.empty() || number == line.fields.end() || !number->is_number_integer())
        return {};
    return task + " run " + std::to_string(number->get<std::int64_t>());
}

std::string answerStatus(const LogLine& line)
{
    return line.event == "call_answered" ? textOf(line, "status") : std::string();
}

LogInstant instantOf(const LogLine& line)
{
    return { line.timeMs, line.process };
}

Histories gatherHistories(std::vector<LogLine>& lines)
{
    Histories histories;
    std::map<std::string, std::int64_t> latest;
    for (const auto& line : lines)
        noteClock(histories, latest, line);
    std::stable_sort(
        lines.begin(), lines.end(), [](const auto& left, const auto& right) { return left.timeMs < right.timeMs; });
    for (const auto& line : lines) {
        noteAnswer(histories, line);
        noteEndOfJob(histories, line);
        noteTenure(histories, line);
        noteRun(histories, line);
        if (line.event == "worker_removed")
            histories.workersRemovedAt[textOf(line, "worker")] = line.timeMs;
        if (line.event == "log_lines_dropped")
            histories.lossyProcesses.insert(line.process);
        histories.lastLineAt = line.timeMs;
    }
    return histories;
}

} // namespace agatevane::timeline_tool

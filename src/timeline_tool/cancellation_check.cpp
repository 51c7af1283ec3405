#include "timeline_tool/cancellation_check.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace agatevane::timeline_tool {

namespace {

    using event_log::LogLine;
    using event_log::textOf;

    //! An instant on the clock of the process that logged it.
    struct LogInstant {
        std::int64_t unixMs = 0;
        std::string process;
    };

    struct JobHistory {
        std::optional<LogInstant> accepted; //!< earliest acceptance
        std::optional<LogInstant> cancelled; //!< earliest acknowledgement of a cancellation
    };

    struct RunHistory {
        LogInstant lastSeen;
        std::string lastEvent;
        std::string worker;
        std::string owner;
        std::string stopReason;
        std::optional<LogInstant> stopOrdered;
    };

    struct Election {
        LogInstant at;
        std::uint32_t tenure = 0;
        std::int64_t revision = 0; //!< of the owner's record in the store
    };

    bool isAnswer(const LogLine& line, std::string_view call, std::string_view status)
    {
        return line.event == "call_answered" && textOf(line, "call") == call && textOf(line, "status") == status;
    }

    std::string jobOf(const LogLine& line)
    {
        auto job = textOf(line, "job");
        return job.empty() ? textOf(line, "task").substr(0, textOf(line, "task").find('.')) : job;
    }

    std::string runOf(const LogLine& line)
    {
        return textOf(line, "task") + " run " + std::to_string(line.fields.value("run", 0));
    }

    LogInstant instantOf(const LogLine& line)
    {
        return { line.timeMs, line.process };
    }

    //! The state that the lines tell of, filled in order of time.
    class Check {
    public:
        explicit Check(const std::vector<LogLine>& lines)
            : lines_(lines)
        {
            for (const auto& line : lines_)
                noteAnswer(line);
            for (const auto& line : lines_)
                noteElection(line);
        }

        std::vector<SymptomReport> run()
        {
            for (const auto& line : lines_) {
                checkAnswer(line);
                checkStart(line);
                checkReportedRun(line);
                checkOwnershipEnd(line);
                noteRun(line);
            }
            checkRuns();
            return std::move(reports_);
        }

    private:
        void noteAnswer(const LogLine& line)
        {
            auto& job = jobs_[jobOf(line)];
            if (!job.accepted && isAnswer(line, "submit", "ok"))
                job.accepted = instantOf(line);
            bool isAcknowledged = isAnswer(line, "cancel", "ok") || isAnswer(line, "cancel", "no_such_job");
            if (!job.cancelled && isAcknowledged)
                job.cancelled = instantOf(line);
        }

        void noteElection(const LogLine& line)
        {
            if (line.event == "ownership_gained")
                elections_.push_back({ instantOf(line), line.fields.value("tenure", 0U),
                    line.fields.value("revision", std::int64_t(0)) });
        }

        SymptomReport& add(Symptom symptom, const LogLine& line, const LogInstant& since)
        {
            reports_.push_back({ symptom, line.timeMs, line.timeMs - since.unixMs, line.process != since.process,
                line.process, textOf(line, "owner"), jobOf(line), {}, textOf(line, "worker"), {} });
            if (line.fields.contains("run"))
                reports_.back().run = runOf(line);
            return reports_.back();
        }

        void checkAnswer(const LogLine& line)
        {
            if (line.event != "call_answered")
                return;
            const auto& job = jobs_[jobOf(line)];
            bool isDenied = textOf(line, "status") == "no_such_job";
            if (isDenied && job.accepted && job.accepted->unixMs <= line.timeMs) {
                auto isCancellation = textOf(line, "call") == "cancel";
                add(isCancellation ? Symptom::CancellationDenied : Symptom::QueryDenied, line, *job.accepted);
            }
            auto revision = line.fields.value("owner_revision", std::int64_t(0));
            auto answered = line.timeMs;
            for (const auto& election : elections_) {
                if (election.revision > revision && revision > 0 && election.at.unixMs <= answered) {
                    add(Symptom::AnswerOfReplacedOwner, line, election.at).detail
                        = textOf(line, "call") + " " + textOf(line, "status");
                    break;
                }
            }
        }

        void checkStart(const LogLine& line)
        {
            if (line.event != "start_ordered")
                return;
            if (auto cancelled = cancelledBefore(line))
                add(Symptom::StartAfterCancellation, line, *cancelled);
        }

        void checkReportedRun(const LogLine& line)
        {
            if (line.event != "run_adopted" && line.event != "run_unwanted")
                return;
            if (auto cancelled = cancelledBefore(line))
                add(Symptom::UnknownRun, line, *cancelled).detail = line.event;
        }

        void checkOwnershipEnd(const LogLine& line)
        {
            if (line.event != "ownership_lost")
                return;
            auto tenure = line.fields.value("tenure", 0U);
            for (const auto& election : elections_) {
                if (election.tenure > tenure && election.at.unixMs < line.timeMs) {
                    auto& report = add(Symptom::TwoOwners, line, election.at);
                    report.owner = line.process;
                    report.detail = textOf(line, "reason");
                    break;
                }
            }
        }

        std::optional<LogInstant> cancelledBefore(const LogLine& line) const
        {
            auto job = jobs_.find(jobOf(line));
            if (job == jobs_.end() || !job->second.cancelled || job->second.cancelled->unixMs > line.timeMs)
                return std::nullopt;
            return job->second.cancelled;
        }

        void noteRun(const LogLine& line)
        {
            if (!line.fields.contains("task") || !line.fields.contains("run"))
                return;
            auto& run = runs_[runOf(line)];
            run.lastSeen = instantOf(line);
            run.lastEvent = line.event;
            run.worker = textOf(line, "worker");
            run.owner = line.process;
            if (line.event == "stop_ordered" && !run.stopOrdered) {
                run.stopOrdered = instantOf(line);
                run.stopReason = textOf(line, "reason");
            }
        }

        //! Runs of cancelled jobs, by how long after the acknowledgement they were last known.
        void checkRuns()
        {
            for (const auto& [name, run] : runs_) {
                auto job = name.substr(0, name.find('.'));
                const auto& cancelled = jobs_[job].cancelled;
                if (!cancelled || run.lastSeen.unixMs <= cancelled->unixMs)
                    continue;
                std::string detail = "last known: " + run.lastEvent;
                if (run.stopOrdered)
                    detail += ", stop ordered after " + std::to_string(run.stopOrdered->unixMs - cancelled->unixMs)
                        + " ms (" + run.stopReason + ")";
                reports_.push_back({ Symptom::RunAfterCancellation, run.lastSeen.unixMs,
                    run.lastSeen.unixMs - cancelled->unixMs, run.lastSeen.process != cancelled->process,
                    run.lastSeen.process, run.owner, job, name, run.worker, detail });
            }
        }

        const std::vector<LogLine>& lines_;
        std::map<std::string, JobHistory> jobs_;
        std::map<std::string, RunHistory> runs_;
        std::vector<Election> elections_;
        std::vector<SymptomReport> reports_;
    };

} // namespace

std::vector<SymptomReport> checkCancellations(std::vector<event_log::LogLine> lines)
{
    std::stable_sort(
        lines.begin(), lines.end(), [](const auto& left, const auto& right) { return left.timeMs < right.timeMs; });
    auto reports = Check(lines).run();
    std::stable_sort(reports.begin(), reports.end(), [](const auto& left, const auto& right) {
        return std::pair(left.symptom, -left.ageMs) < std::pair(right.symptom, -right.ageMs);
    });
    return reports;
}

std::string formatSymptoms(const std::vector<SymptomReport>& reports, std::size_t perSymptom)
{
    std::ostringstream text;
    std::map<Symptom, std::size_t> counts;
    for (const auto& report : reports)
        ++counts[report.symptom];
    for (const auto& [symptom, name] : EnumNames<Symptom>::table)
        text << name << " " << counts[symptom] << "\n";
    std::map<Symptom, std::size_t> shown;
    for (const auto& report : reports) {
        if (shown[report.symptom]++ >= perSymptom)
            continue;
        text << report.unixMs << "  " << nameOf(report.symptom) << "  age_ms=" << report.ageMs
             << (report.isAcrossClocks ? " (two clocks)" : "") << " process=" << report.process
             << " owner=" << report.owner << " job=" << report.job;
        if (!report.run.empty())
            text << " run=\"" << report.run << "\" worker=" << report.worker;
        text << " " << report.detail << "\n";
    }
    return text.str();
}

} // namespace agatevane::timeline_tool

#include "timeline_tool/cancellation_check.h"

#include "timeline_tool/job_histories.h"
#include <algorithm>
#include <map>
#include <optional>
#include <sstream>
#include <tuple>

namespace agatevane::timeline_tool {

namespace {

    using event_log::LogLine;
    using event_log::textOf;

    struct Check {
        Histories histories;
        CheckLimits limits;
        std::vector<SymptomReport> reports;
    };

    Certainty certaintyOf(const Histories& histories, const std::string& left, const std::string& right)
    {
        if (histories.clockSteps.contains(left) || histories.clockSteps.contains(right))
            return Certainty::SteppedClock;
        return left == right ? Certainty::OneClock : Certainty::TwoClocks;
    }

    SymptomReport& add(Check& check, Symptom symptom, const LogLine& line, const LogInstant& since)
    {
        auto certainty = certaintyOf(check.histories, line.process, since.process);
        check.reports.push_back({ symptom, line.timeMs, line.timeMs - since.unixMs, certainty, line.process,
            textOf(line, "owner"), jobOf(line), nameOfRun(line), textOf(line, "worker"), {} });
        return check.reports.back();
    }

    const JobHistory* findJob(const Check& check, const LogLine& line)
    {
        auto found = check.histories.jobs.find(jobOf(line));
        return found == check.histories.jobs.end() ? nullptr : &found->second;
    }

    bool isForgotten(const Check& check, const JobHistory& job, std::int64_t unixMs)
    {
        return job.ended && unixMs > job.ended->unixMs + check.limits.statusRetention.count();
    }

    Symptom symptomOfDenial(const LogLine& line, const JobHistory& job)
    {
        if (textOf(line, "tenant") != job.tenant && textOf(line, "queue") != job.queue)
            return Symptom::DeniedToOther;
        return textOf(line, "call") == "cancel" ? Symptom::CancellationDenied : Symptom::QueryDenied;
    }

    void checkDenial(Check& check, const LogLine& line)
    {
        const auto* job = findJob(check, line);
        if (answerStatus(line) != "no_such_job" || !job || !job->accepted || job->accepted->unixMs > line.timeMs)
            return;
        if (isForgotten(check, *job, line.timeMs))
            return;
        auto& report = add(check, symptomOfDenial(line, *job), line, *job->accepted);
        if (job->ended && job->ended->unixMs <= line.timeMs)
            report.detail = "ended " + std::to_string(line.timeMs - job->ended->unixMs) + " ms before";
    }

    //! Checks answers that tell a fact: others change nothing for the caller.
    void checkAnsweringOwner(Check& check, const LogLine& line)
    {
        auto status = answerStatus(line);
        if (status != "ok" && status != "no_such_job")
            return;
        auto revision = line.fields.value("owner_revision", std::int64_t(0));
        auto symptom = status == "ok" ? Symptom::AnswerOfReplacedOwner : Symptom::DenialOfReplacedOwner;
        for (const auto& tenure : check.histories.tenures) {
            if (revision > 0 && tenure.revision > revision && tenure.elected.unixMs <= line.timeMs) {
                add(check, symptom, line, tenure.elected).detail = textOf(line, "call");
                break;
            }
        }
        if (line.fields.value("owner_confirmed", true))
            return;
        auto& report = add(check, Symptom::UnconfirmedAnswer, line, instantOf(line));
        report.ageMs = line.fields.value("confirmed_age_ms", std::int64_t(0));
        report.detail = textOf(line, "call") + " " + status;
    }

    std::optional<LogInstant> cancelledBefore(const Check& check, const LogLine& line)
    {
        const auto* job = findJob(check, line);
        if (!job || !job->cancelled || job->cancelled->unixMs > line.timeMs)
            return std::nullopt;
        return job->cancelled;
    }

    std::optional<LogInstant> endedBefore(const Check& check, const LogLine& line)
    {
        const auto* job = findJob(check, line);
        if (!job || !job->ended || job->ended->unixMs > line.timeMs)
            return std::nullopt;
        return job->ended;
    }

    void checkStart(Check& check, const LogLine& line)
    {
        if (line.event != "start_ordered")
            return;
        if (auto cancelled = cancelledBefore(check, line))
            add(check, Symptom::StartAfterCancellation, line, *cancelled);
    }

    void checkReportedRun(Check& check, const LogLine& line)
    {
        if (line.event != "run_adopted" && line.event != "run_unwanted")
            return;
        if (auto cancelled = cancelledBefore(check, line))
            add(check, Symptom::UnknownRun, line, *cancelled).detail = line.event;
        else if (auto ended = endedBefore(check, line))
            add(check, Symptom::UnknownRun, line, *ended).detail = line.event + ", job ended";
    }

    void checkOwnershipEnd(Check& check, const LogLine& line)
    {
        if (line.event != "ownership_lost")
            return;
        auto number = line.fields.value("tenure", 0U);
        for (const auto& tenure : check.histories.tenures) {
            if (tenure.number > number && tenure.elected.unixMs < line.timeMs) {
                auto& report = add(check, Symptom::TwoOwners, line, tenure.elected);
                report.owner = line.process;
                report.detail = textOf(line, "reason");
                break;
            }
        }
    }

    //! Says what a run waited for between two instants: an owner, its loading, the stop order, the end.
    std::string waitsOf(const Check& check, const RunHistory& run, const LogInstant& cancelled)
    {
        std::ostringstream text;
        auto reached = cancelled.unixMs;
        auto step = [&](std::string_view what, std::int64_t unixMs) {
            if (unixMs <= reached || unixMs > run.lastSeen.unixMs)
                return;
            text << what << " " << unixMs - reached << " ms, ";
            reached = unixMs;
        };
        for (const auto& tenure : check.histories.tenures) {
            step("owner", tenure.elected.unixMs);
            if (tenure.loaded)
                step("loading", tenure.loaded->unixMs);
        }
        if (run.stopOrdered)
            step("stop order", run.stopOrdered->unixMs);
        text << run.lastEvent << " " << run.lastSeen.unixMs - reached << " ms";
        if (run.stopOrdered)
            text << "; stop ordered at " << run.stopOrdered->unixMs - cancelled.unixMs << " ms (" << run.stopReason
                 << ")";
        return "waited for: " + text.str();
    }

    //! True if a line says that the run is gone, or if a later owner has loaded the fleet and didn't report it. A poll
    //! that finds nothing unknown is not logged, so that a worker which that owner never polled is overlooked.
    bool isGone(const Histories& histories, const RunHistory& run)
    {
        if (run.isGone)
            return true;
        auto removed = histories.workersRemovedAt.find(run.worker);
        if (removed != histories.workersRemovedAt.end() && removed->second >= run.lastSeen.unixMs)
            return true;
        return std::any_of(histories.tenures.begin(), histories.tenures.end(),
            [&run](const auto& tenure) { return tenure.loaded && tenure.elected.unixMs >= run.lastSeen.unixMs; });
    }

    //! True if a process that may have logged the run's end has dropped lines.
    bool mayEndBeDropped(const Histories& histories, const RunHistory& run)
    {
        return histories.lossyProcesses.contains(run.lastSeen.process)
            || std::any_of(histories.tenures.begin(), histories.tenures.end(),
                [&histories](const auto& tenure) { return histories.lossyProcesses.contains(tenure.elected.process); });
    }

    std::optional<Symptom> symptomOfRun(const Check& check, const RunHistory& run, std::int64_t cancelledAt)
    {
        auto bound = check.limits.runBound.count();
        if (!isGone(check.histories, run) && check.histories.lastLineAt - cancelledAt > bound)
            return mayEndBeDropped(check.histories, run) ? Symptom::EndNotLogged : Symptom::RunNotEnded;
        if (run.lastSeen.unixMs - cancelledAt > bound)
            return Symptom::LongRun;
        return std::nullopt;
    }

    void checkRuns(Check& check)
    {
        for (const auto& [name, run] : check.histories.runs) {
            const auto& cancelled = check.histories.jobs[run.job].cancelled;
            if (!cancelled)
                continue;
            auto symptom = symptomOfRun(check, run, cancelled->unixMs);
            if (!symptom)
                continue;
            auto isOpen = *symptom != Symptom::LongRun;
            auto known = isOpen ? check.histories.lastLineAt : run.lastSeen.unixMs;
            check.reports.push_back({ *symptom, run.lastSeen.unixMs, known - cancelled->unixMs,
                certaintyOf(check.histories, run.lastSeen.process, cancelled->process), run.lastSeen.process,
                run.lastSeen.process, run.job, name, run.worker, waitsOf(check, run, *cancelled) });
        }
    }

    void print(std::ostream& text, const SymptomReport& report)
    {
        text << report.unixMs << "  " << nameOf(report.symptom) << "  age_ms=" << report.ageMs << " "
             << nameOf(report.certainty) << " process=" << report.process;
        if (!report.owner.empty())
            text << " owner=" << report.owner;
        if (!report.job.empty())
            text << " job=" << report.job;
        if (!report.run.empty())
            text << " run=\"" << report.run << "\" worker=" << report.worker;
        if (!report.detail.empty())
            text << " (" << report.detail << ")";
        text << "\n";
    }

} // namespace

bool isFault(Symptom symptom)
{
    switch (symptom) {
    case Symptom::CancellationDenied:
    case Symptom::QueryDenied:
    case Symptom::StartAfterCancellation:
    case Symptom::LongRun:
    case Symptom::RunNotEnded:
        return true;
    case Symptom::EndNotLogged:
    case Symptom::DeniedToOther:
    case Symptom::UnknownRun:
    case Symptom::DenialOfReplacedOwner:
    case Symptom::AnswerOfReplacedOwner:
    case Symptom::UnconfirmedAnswer:
    case Symptom::TwoOwners:
        break;
    }
    return false;
}

bool isSureFault(const SymptomReport& report)
{
    return isFault(report.symptom) && report.certainty != Certainty::SteppedClock;
}

std::vector<SymptomReport> checkCancellations(std::vector<LogLine> lines, const CheckLimits& limits)
{
    Check check { gatherHistories(lines), limits, {} };
    for (const auto& line : lines) {
        checkDenial(check, line);
        checkAnsweringOwner(check, line);
        checkStart(check, line);
        checkReportedRun(check, line);
        checkOwnershipEnd(check, line);
    }
    checkRuns(check);
    std::stable_sort(check.reports.begin(), check.reports.end(), [](const auto& left, const auto& right) {
        return std::tuple(left.symptom, left.certainty == Certainty::SteppedClock, -left.ageMs)
            < std::tuple(right.symptom, right.certainty == Certainty::SteppedClock, -right.ageMs);
    });
    return std::move(check.reports);
}

std::string formatSymptoms(const std::vector<SymptomReport>& reports, std::size_t perSymptom)
{
    std::ostringstream text;
    std::map<Symptom, std::size_t> counts;
    std::map<Symptom, std::size_t> unsure;
    for (const auto& report : reports) {
        ++counts[report.symptom];
        unsure[report.symptom] += report.certainty == Certainty::SteppedClock;
    }
    for (const auto& [symptom, name] : EnumNames<Symptom>::table) {
        text << (isFault(symptom) ? "fault  " : "step   ") << name << " " << counts[symptom];
        if (unsure[symptom] > 0)
            text << ", " << unsure[symptom] << " of them on clocks that were set back";
        text << "\n";
    }
    std::map<Symptom, std::size_t> shown;
    for (const auto& report : reports) {
        if (shown[report.symptom]++ < perSymptom)
            print(text, report);
    }
    return text.str();
}

} // namespace agatevane::timeline_tool

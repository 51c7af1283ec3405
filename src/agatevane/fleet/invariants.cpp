#include "agatevane/fleet/invariants.h"

#include "agatevane/fleet/runs.h"
#include <algorithm>
#include <utility>

namespace agatevane::fleet {

namespace {

    //! Violations that were found between two checks beyond this number are not kept.
    constexpr std::size_t maxHeldViolations = 100;

    bool hasEnded(const Job& job)
    {
        return job.endedAt != Instant {};
    }

    std::string describe(const Task* task)
    {
        if (!task)
            return "the task is unknown";
        if (!task->run)
            return "the task is idle";
        return "the task's run is " + std::to_string(task->run->number) + " on " + task->run->worker;
    }

    //! From then on, the job has ended, the run is known and the worker has answered all polls and stop orders.
    Instant stoppableSince(const Job& job, const Worker& worker, const Run& run, Instant heldUpUntil)
    {
        return std::max({ job.endedAt, worker.answersSince, run.orderedAt, run.stopUnansweredAt, heldUpUntil });
    }

    void checkRun(const Fleet& fleet, const Worker& worker, const RunKey& key, const Run& run, Instant at,
        Instant heldUpUntil, std::vector<Violation>& found)
    {
        auto add = [&](Breach breach, std::string text) {
            found.push_back({ breach, key.first, worker.id, key.second, std::move(text) });
        };
        const auto* job = findJob(fleet, key.first.job);
        const auto* task = findTask(fleet, key.first);
        if (run.isWanted) {
            if (!task || task->run != TaskRun { worker.id, key.second })
                add(Breach::RunWithoutTask, describe(task));
        } else if (run.state != RunState::Stopping && !run.isHeld) {
            add(Breach::UnwantedRunNotStopped, "the run is " + std::string(nameOf(run.state)));
        }
        bool answersPolls = worker.hasAnsweredPoll && worker.missedPolls == 0;
        if (job && hasEnded(*job) && answersPolls && at > stoppableSince(*job, worker, run, heldUpUntil) + runEndBound)
            add(Breach::RunAfterJobEnd,
                "the run is " + std::string(nameOf(run.state)) + ", the job ended "
                    + std::to_string(elapsed(job->endedAt, at).count()) + " ms ago");
    }

    void checkTaskRun(const Fleet& fleet, const RunKey& key, const WorkerId& workerId, std::vector<Violation>& found)
    {
        auto add = [&](std::string text) {
            found.push_back({ Breach::TaskWithoutRun, key.first, workerId, key.second, std::move(text) });
        };
        auto worker = fleet.workers.find(workerId);
        if (worker == fleet.workers.end())
            return add("the worker is unknown");
        auto run = worker->second.runs.find(key);
        if (run == worker->second.runs.end())
            add("the worker has no such run");
        else if (!run->second.isWanted)
            add("the run is not wanted");
    }

    //! `key` names the step; its other fields are overwritten.
    void checkStep(const Fleet& fleet, RunKey& key, const Step& step, std::vector<Violation>& found)
    {
        std::uint32_t active = 0;
        std::uint32_t done = 0;
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
            done += step.tasks[index].isDone ? 1 : 0;
            const auto& run = step.tasks[index].run;
            if (!run)
                continue;
            ++active;
            key.first.index = index;
            key.second = run->number;
            checkTaskRun(fleet, key, run->worker, found);
        }
        auto compare = [&](Breach breach, std::uint32_t stored, std::uint32_t counted) {
            if (stored == counted)
                return;
            key.first.index = 0;
            found.push_back(
                { breach, key.first, {}, 0, std::to_string(stored) + " instead of " + std::to_string(counted) });
        };
        compare(Breach::WrongActiveCount, step.active, active);
        compare(Breach::WrongDoneCount, step.done, done);
    }

} // namespace

std::string toString(const Violation& violation)
{
    std::string text(nameOf(violation.breach));
    text.append(" ").append(toString(violation.task));
    if (violation.run != 0)
        text.append(" run ").append(std::to_string(violation.run));
    if (!violation.worker.empty())
        text.append(" on ").append(violation.worker);
    return text.append(": ").append(violation.text);
}

std::vector<Violation> checkInvariants(const Fleet& fleet, Instant at, Instant heldUpUntil)
{
    std::vector<Violation> found;
    for (const auto& [workerId, worker] : fleet.workers) {
        for (const auto& [key, run] : worker.runs)
            checkRun(fleet, worker, key, run, at, heldUpUntil, found);
    }
    for (const auto& [jobId, job] : fleet.jobs) {
        // One key for all tasks of the job saves copies of the id.
        RunKey key { { jobId, 0, 0, 0 }, 0 };
        auto& id = key.first;
        for (id.occurrence = 0; id.occurrence < job.occurrences.size(); ++id.occurrence) {
            const auto& steps = job.occurrences[id.occurrence].steps;
            for (id.step = 0; id.step < steps.size(); ++id.step)
                checkStep(fleet, key, steps[id.step], found);
        }
    }
    return found;
}

void addViolation(Fleet& fleet, Violation violation)
{
    if (fleet.violations.size() < maxHeldViolations)
        fleet.violations.push_back(std::move(violation));
}

void checkEndWasTaken(Fleet& fleet, const Worker& worker, const EndReport& end)
{
    const auto& id = end.key.first;
    const auto* job = findJob(std::as_const(fleet), id.job);
    const auto* task = findTask(std::as_const(fleet), id);
    if (end.kind != EndKind::Done || !task || task->isDone || hasEnded(*job) || stepOf(*job, id).isContinuous)
        return;
    addViolation(fleet, { Breach::DoneEndNotTaken, id, worker.id, end.key.second, describe(task) });
}

std::vector<Violation> takeNewViolations(InvariantWatch& watch, Fleet& fleet, Instant at)
{
    auto found = std::exchange(fleet.violations, {});
    auto present = checkInvariants(fleet, at, watch.heldUpUntil);
    decltype(watch.known) known;
    for (auto& violation : present) {
        std::tuple key(violation.breach, violation.task, violation.worker, violation.run);
        if (!watch.known.contains(key))
            found.push_back(std::move(violation));
        known.insert(std::move(key));
    }
    watch.known = std::move(known);
    return found;
}

} // namespace agatevane::fleet

#include "agatevane/fleet/decision_log.h"

#include "agatevane/event_log/event_log.h"

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    std::size_t countTasksWithRun(const Job& job)
    {
        std::size_t count = 0;
        for (const auto& occurrence : job.occurrences) {
            for (const auto& step : occurrence.steps) {
                for (const auto& task : step.tasks)
                    count += task.run ? 1 : 0;
            }
        }
        return count;
    }

} // namespace

void logCancelled(const Fleet& fleet, const Job& job, Instant at)
{
    std::size_t runs = 0;
    std::size_t stopping = 0;
    std::size_t workers = 0;
    for (const auto& [id, worker] : fleet.workers) {
        auto before = runs;
        auto run = worker.runs.lower_bound({ { job.spec.id, 0, 0, 0 }, 0 });
        for (; run != worker.runs.end() && run->first.first.job == job.spec.id; ++run) {
            ++runs;
            stopping += run->second.state == RunState::Stopping ? 1 : 0;
        }
        workers += runs > before ? 1 : 0;
    }
    Line("job_cancelled")
        .with("job", job.spec.id)
        .with("age_ms", elapsed(job.acceptedAt, at).count())
        .with("tasks_with_run", countTasksWithRun(job))
        .with("runs", runs)
        .with("stopping", stopping)
        .with("workers", workers)
        .with("tenure", fleet.tenure);
}

void logRemoved(const Worker& worker, Instant at)
{
    Line("worker_removed")
        .with("worker", worker.id)
        .with("answered", worker.hasAnsweredPoll)
        .with("missed_looks", worker.missedPolls)
        .with("unanswered_starts", worker.unansweredStarts.size())
        .with("answered_ms_ago", elapsed(worker.lastAnswerAt, at).count());
}

void logUnknownRun(const Fleet& fleet, const Worker& worker, const RunningReport& report, bool isWanted, Instant at)
{
    const auto& [task, number] = report.key;
    Line line(isWanted ? "run_adopted" : "run_unwanted");
    line.with("job", task.job)
        .with("task", toString(task))
        .with("run", number)
        .with("worker", worker.id)
        .with("percent", report.percent)
        .with("owner_age_ms", elapsed(fleet.tookOverAt, at).count());
    if (auto job = fleet.jobs.find(task.job); job != fleet.jobs.end())
        line.with("job_age_ms", elapsed(job->second.acceptedAt, at).count());
}

void logEnd(const Worker& worker, const EndReport& end, CommitSequence sequence)
{
    const auto& [id, number] = end.key;
    Line("run_ended")
        .with("job", id.job)
        .with("task", toString(id))
        .with("run", number)
        .with("worker", worker.id)
        .with("how", nameOf(end.kind))
        .with("number", end.number)
        .with("lifetime", worker.incarnation)
        .with("sequence", sequence);
}

void logAcknowledgement(const Worker& worker, std::optional<std::int64_t> answeredBy)
{
    if (worker.pollAcknowledges == 0)
        return;
    Line line(answeredBy ? "ends_acknowledged" : "acknowledgement_unanswered");
    line.with("worker", worker.id).with("up_to", worker.pollAcknowledges).with("lifetime", worker.pollIncarnation);
    if (answeredBy)
        line.with("answered_by", *answeredBy);
}

void logHeldRun(const Fleet& fleet, const Worker& worker, const RunningReport& report)
{
    const auto& [task, number] = report.key;
    Line("run_held")
        .with("job", task.job)
        .with("task", toString(task))
        .with("run", number)
        .with("worker", worker.id)
        .with("fault", nameOf(fleet.unreadableJobs.at(task.job)));
}

void logEndOfOtherRun(Fleet& fleet, const Worker& worker, const EndReport& end)
{
    const auto& [id, number] = end.key;
    const auto* task = findTask(fleet, id);
    if (!task || !task->run || task->run == TaskRun { worker.id, number })
        return;
    Line("end_of_other_run")
        .with("job", id.job)
        .with("task", toString(id))
        .with("run", number)
        .with("worker", worker.id)
        .with("how", nameOf(end.kind))
        .with("task_run", task->run->number)
        .with("task_worker", task->run->worker);
}

} // namespace agatevane::fleet

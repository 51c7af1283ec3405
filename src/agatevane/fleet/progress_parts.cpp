#include "agatevane/fleet/progress_parts.h"

#include "agatevane/fleet/task_record.h"
#include "agatevane/net/archive.h"
#include <algorithm>
#include <charconv>

namespace agatevane::fleet {

namespace {

    //! First byte of each part. A build may write a new version only once all nodes run a build that reads it.
    constexpr std::uint8_t partVersion = 1;
    //! Part of version 1 of the records.
    constexpr std::uint32_t tasksPerPart = 16;

    struct PartTask {
        TaskRecord task;
        std::uint32_t failures = 0;

        template <typename Archive> void serialize(Archive& archive) { archive(task, failures); }
    };

    struct PartRecord {
        std::uint8_t version = partVersion;
        std::vector<PartTask> tasks;

        template <typename Archive> void serialize(Archive& archive) { archive(version, tasks); }
    };

    std::uint32_t tasksPerOccurrence(const JobSpec& spec)
    {
        std::uint32_t count = 0;
        for (const auto& step : spec.steps)
            count += step.count;
        return count;
    }

    //! Position of a step's first task among all tasks of the job.
    std::uint32_t positionOf(const JobSpec& spec, std::uint32_t occurrence, std::uint32_t step)
    {
        auto position = occurrence * tasksPerOccurrence(spec);
        for (std::uint32_t earlier = 0; earlier < step; ++earlier)
            position += spec.steps[earlier].count;
        return position;
    }

    //! The tasks of a part, in their order; empty if the job has no such part.
    std::vector<TaskId> tasksOf(const Job& job, PartNumber number)
    {
        std::vector<TaskId> ids;
        auto perOccurrence = tasksPerOccurrence(job.spec);
        auto all = static_cast<std::uint64_t>(perOccurrence) * job.occurrences.size();
        auto begin = static_cast<std::uint64_t>(number) * tasksPerPart;
        auto end = std::min(begin + tasksPerPart, all);
        for (auto position = begin; position < end; ++position) {
            TaskId id { job.spec.id, static_cast<std::uint32_t>(position / perOccurrence), 0,
                static_cast<std::uint32_t>(position % perOccurrence) };
            while (id.index >= job.spec.steps[id.step].count)
                id.index -= job.spec.steps[id.step++].count;
            ids.push_back(id);
        }
        return ids;
    }

    const Task& taskOf(const Job& job, const TaskId& id)
    {
        return job.occurrences[id.occurrence].steps[id.step].tasks[id.index];
    }

    bool hasMadeProgress(const Task& task)
    {
        return task.isDone || task.failures > 0 || task.highestRun > 0 || !task.checkpoint.empty();
    }

    //! Adds the checkpoints of tasks that have a run, or of those that have none, as far as there is room.
    void addCheckpoints(PartRecord& record, const std::vector<const Task*>& tasks, bool haveRuns, std::size_t& room)
    {
        for (std::size_t index = 0; index < tasks.size(); ++index) {
            const auto& checkpoint = tasks[index]->checkpoint;
            if (tasks[index]->run.has_value() != haveRuns || checkpoint.size() > room)
                continue;
            record.tasks[index].task.checkpoint = checkpoint;
            room -= checkpoint.size();
        }
    }

} // namespace

std::string partKey(const JobId& job, PartNumber number)
{
    return partPrefix + job + "/" + std::to_string(number);
}

std::optional<PartName> readPartKey(std::string_view key)
{
    std::string_view prefix = partPrefix;
    auto slash = key.rfind('/');
    if (!key.starts_with(prefix) || slash < prefix.size())
        return std::nullopt;
    PartName name;
    name.job = key.substr(prefix.size(), slash - prefix.size());
    auto digits = key.substr(slash + 1);
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), name.number);
    if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return name;
}

void noteTaskChanged(Job& job, const TaskId& id)
{
    if (!job.parts.areUsed)
        return;
    auto position = positionOf(job.spec, id.occurrence, id.step) + id.index;
    job.parts.changed.insert(position / tasksPerPart);
}

void splitIntoParts(Job& job)
{
    job.parts.areUsed = true;
    auto tasks = tasksPerOccurrence(job.spec) * static_cast<std::uint32_t>(job.occurrences.size());
    for (PartNumber part = 0; part * tasksPerPart < tasks; ++part) {
        auto ids = tasksOf(job, part);
        if (std::any_of(ids.begin(), ids.end(), [&job](const TaskId& id) { return hasMadeProgress(taskOf(job, id)); }))
            job.parts.changed.insert(part);
    }
}

std::string encodePart(const Job& job, PartNumber number, std::size_t maxBytes)
{
    PartRecord record;
    std::vector<const Task*> tasks;
    for (const auto& id : tasksOf(job, number)) {
        const auto& task = taskOf(job, id);
        tasks.push_back(&task);
        record.tasks.push_back({ { task.isDone, task.failedRuns, task.highestRun, {} }, task.failures });
    }
    auto bytes = net::encode(record).size();
    auto room = maxBytes - std::min(maxBytes, bytes);
    constexpr bool haveRuns = true;
    addCheckpoints(record, tasks, !haveRuns, room);
    addCheckpoints(record, tasks, haveRuns, room);
    return net::encode(record);
}

bool inheritPart(std::string_view bytes, PartNumber number, Job& job)
{
    job.parts.stored.insert(number);
    // Otherwise, the progress record has all that counts.
    if (!job.parts.areUsed || job.phase != JobPhase::Open)
        return true;
    PartRecord record;
    auto ids = tasksOf(job, number);
    if (!net::decode(bytes, record) || record.version != partVersion || ids.empty()
        || record.tasks.size() != ids.size())
        return false;
    for (std::size_t index = 0; index < ids.size(); ++index) {
        const auto& id = ids[index];
        auto& occurrence = job.occurrences[id.occurrence];
        auto& step = occurrence.steps[id.step];
        auto& task = step.tasks[id.index];
        restoreTask(task, std::move(record.tasks[index].task));
        task.failures = std::max(task.failures, record.tasks[index].failures);
        step.done += task.isDone ? 1 : 0;
        occurrence.stepsDone += task.isDone && step.done == step.tasks.size() ? 1 : 0;
    }
    return true;
}

} // namespace agatevane::fleet

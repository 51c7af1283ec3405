#include "agatevane/fleet/record.h"

#include "agatevane/fleet/task_record.h"
#include "agatevane/net/archive.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! First byte of each record. A build may write a new version only once all nodes run a build that reads it.
    constexpr std::uint8_t recordVersion = 1;
    //! First byte of a progress record whose tasks are in parts. Builds that do not know them leave the job as it is.
    constexpr std::uint8_t phaseVersion = 2;
    //! More tasks than any accepted job has.
    constexpr std::uint64_t maxTasks = 1U << 20U;

    struct AcceptanceRecord {
        std::uint8_t version = recordVersion;
        std::int64_t acceptedUnixMs = 0;
        JobSpec spec;

        template <typename Archive> void serialize(Archive& archive) { archive(version, acceptedUnixMs, spec); }
    };

    struct ProgressRecord {
        std::uint8_t version = recordVersion;
        std::uint8_t phase = 0;
        std::int64_t endedUnixMs = 0;
        bool hasStarted = false;
        std::vector<std::vector<std::vector<TaskRecord>>> tasks; //!< by occurrence, step and index; empty once ended

        template <typename Archive> void serialize(Archive& archive)
        {
            archive(version, phase, endedUnixMs, hasStarted, tasks);
        }
    };

    struct PhaseRecord {
        std::uint8_t version = phaseVersion;
        std::uint8_t phase = 0;
        std::int64_t endedUnixMs = 0;
        bool hasStarted = false;

        template <typename Archive> void serialize(Archive& archive)
        {
            archive(version, phase, endedUnixMs, hasStarted);
        }
    };

    //! False if the specification can't be that of an accepted job: its counts would exhaust the memory, or a step
    //! waits for one that does not come before it.
    bool isPlausible(const JobSpec& spec)
    {
        std::uint64_t tasks = 0;
        for (std::size_t stepIndex = 0; stepIndex < spec.steps.size(); ++stepIndex) {
            const auto& step = spec.steps[stepIndex];
            tasks += step.count;
            bool isOrdered = std::all_of(step.after.begin(), step.after.end(),
                [stepIndex](std::uint32_t earlier) { return earlier < stepIndex; });
            if (!isOrdered)
                return false;
        }
        auto occurrences = std::max<std::uint64_t>(1, spec.occurrences);
        return occurrences <= maxTasks && tasks <= maxTasks && tasks * occurrences <= maxTasks;
    }

    bool isOpen(JobPhase phase)
    {
        return phase == JobPhase::Open || phase == JobPhase::Accepting;
    }

    TaskRecord recordOf(const Task& task)
    {
        return { task.isDone, task.failedRuns, task.highestRun, task.checkpoint };
    }

    bool restore(ProgressRecord& record, Job& job)
    {
        if (record.tasks.size() != job.occurrences.size())
            return false;
        for (std::size_t occurrenceIndex = 0; occurrenceIndex < job.occurrences.size(); ++occurrenceIndex) {
            auto& occurrence = job.occurrences[occurrenceIndex];
            if (record.tasks[occurrenceIndex].size() != occurrence.steps.size())
                return false;
            for (std::size_t stepIndex = 0; stepIndex < occurrence.steps.size(); ++stepIndex) {
                auto& step = occurrence.steps[stepIndex];
                if (record.tasks[occurrenceIndex][stepIndex].size() != step.tasks.size())
                    return false;
                for (std::size_t taskIndex = 0; taskIndex < step.tasks.size(); ++taskIndex) {
                    auto& task = step.tasks[taskIndex];
                    restoreTask(task, std::move(record.tasks[occurrenceIndex][stepIndex][taskIndex]));
                    step.done += task.isDone ? 1 : 0;
                }
                occurrence.stepsDone += step.done == step.tasks.size() ? 1 : 0;
            }
        }
        return true;
    }

    //! `Record` is either kind of progress record.
    template <typename Record> bool restorePhase(const Record& record, Job& job)
    {
        if (record.phase > static_cast<std::uint8_t>(JobPhase::Cancelled))
            return false;
        auto phase = static_cast<JobPhase>(record.phase);
        job.phase = isOpen(phase) ? JobPhase::Open : phase;
        job.durablePhase = job.phase;
        job.endedUnixMs = record.endedUnixMs;
        job.hasStarted = record.hasStarted;
        return true;
    }

} // namespace

std::int64_t longestChainMs(const std::vector<StepSpec>& steps, const std::vector<std::int64_t>& durationsMs)
{
    std::vector<std::int64_t> until(steps.size(), 0);
    std::int64_t longest = 0;
    for (std::size_t stepIndex = 0; stepIndex < steps.size(); ++stepIndex) {
        std::int64_t begin = 0;
        for (auto earlier : steps[stepIndex].after) {
            if (earlier < stepIndex)
                begin = std::max(begin, until[earlier]);
        }
        until[stepIndex] = begin + durationsMs[stepIndex];
        longest = std::max(longest, until[stepIndex]);
    }
    return longest;
}

std::int64_t longestChainMs(const std::vector<StepSpec>& steps)
{
    std::vector<std::int64_t> durationsMs;
    durationsMs.reserve(steps.size());
    for (const auto& step : steps)
        durationsMs.push_back(step.estimatedMs);
    return longestChainMs(steps, durationsMs);
}

Job makeJob(JobSpec spec, std::int64_t acceptedUnixMs)
{
    Job job;
    job.acceptedUnixMs = acceptedUnixMs;
    job.occurrences.resize(std::max<std::uint32_t>(1, spec.occurrences));
    for (auto& occurrence : job.occurrences) {
        for (const auto& step : spec.steps)
            occurrence.steps.emplace_back().tasks.resize(step.count);
    }
    job.spec = std::move(spec);
    return job;
}

std::string encodeAcceptance(const Job& job)
{
    AcceptanceRecord record;
    record.acceptedUnixMs = job.acceptedUnixMs;
    record.spec = job.spec;
    return net::encode(record);
}

std::size_t acceptanceBytes(const JobSpec& spec)
{
    return net::encode(AcceptanceRecord { recordVersion, 0, spec }).size();
}

std::string encodeProgress(const Job& job)
{
    ProgressRecord record;
    record.phase = static_cast<std::uint8_t>(job.phase);
    record.endedUnixMs = job.endedUnixMs;
    record.hasStarted = job.hasStarted;
    if (isOpen(job.phase)) {
        for (const auto& occurrence : job.occurrences) {
            auto& steps = record.tasks.emplace_back();
            for (const auto& step : occurrence.steps) {
                auto& tasks = steps.emplace_back();
                tasks.reserve(step.tasks.size());
                for (const auto& task : step.tasks)
                    tasks.push_back(recordOf(task));
            }
        }
    }
    return net::encode(record);
}

std::string encodePhase(const Job& job)
{
    PhaseRecord record;
    record.phase = static_cast<std::uint8_t>(job.phase);
    record.endedUnixMs = job.endedUnixMs;
    record.hasStarted = job.hasStarted;
    return net::encode(record);
}

std::optional<Job> decodeAcceptance(std::string_view bytes)
{
    AcceptanceRecord record;
    if (!net::decode(bytes, record) || record.version != recordVersion || !isPlausible(record.spec))
        return std::nullopt;
    auto job = makeJob(std::move(record.spec), record.acceptedUnixMs);
    job.phase = JobPhase::Open;
    job.durablePhase = JobPhase::Open;
    return job;
}

RecordFault faultOf(RecordKind kind, std::string_view bytes)
{
    auto newest = kind == RecordKind::Progress ? phaseVersion : recordVersion;
    bool isNewer = !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) > newest;
    return isNewer ? RecordFault::NewerVersion : RecordFault::Damaged;
}

bool decodeProgress(std::string_view bytes, Job& job)
{
    bool isPhaseAlone = !bytes.empty() && static_cast<std::uint8_t>(bytes.front()) == phaseVersion;
    if (isPhaseAlone) {
        PhaseRecord record;
        job.parts.areUsed = true;
        return net::decode(bytes, record) && restorePhase(record, job);
    }
    ProgressRecord record;
    if (!net::decode(bytes, record) || record.version != recordVersion)
        return false;
    return restorePhase(record, job) && (job.phase != JobPhase::Open || restore(record, job));
}

} // namespace agatevane::fleet

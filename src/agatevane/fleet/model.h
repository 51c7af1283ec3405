#pragma once

#include "agatevane/base/instant.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

//! Jobs as callers submit them: steps of tasks with their requirements, independent of where they run.
namespace agatevane::fleet {

using JobId = std::string;
//! Position of a write in the order in which writes become durable.
using CommitSequence = std::uint64_t;
using WorkerId = std::string;

//! Number of a run of a task; a later run has a higher number.
using RunNumber = std::uint32_t;

//! Resources that a task needs or that a worker has.
struct Capacity {
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Capacity&) const = default;

    template <typename Archive> void serialize(Archive& archive) { archive(milliCores, memoryMiB, accelerators); }
};

inline bool fitsWithin(const Capacity& need, const Capacity& headroom)
{
    return need.milliCores <= headroom.milliCores && need.memoryMiB <= headroom.memoryMiB
        && need.accelerators <= headroom.accelerators;
}

inline Capacity& operator+=(Capacity& left, const Capacity& right)
{
    left.milliCores += right.milliCores;
    left.memoryMiB += right.memoryMiB;
    left.accelerators += right.accelerators;
    return left;
}

inline Capacity& operator-=(Capacity& left, const Capacity& right)
{
    left.milliCores -= right.milliCores;
    left.memoryMiB -= right.memoryMiB;
    left.accelerators -= right.accelerators;
    return left;
}

struct StepSpec {
    std::uint32_t count = 1; //!< number of tasks
    Capacity need; //!< resources for each task
    std::int64_t estimatedMs = 0; //!< rough duration of a task; 0: unknown
    std::vector<std::uint32_t> after; //!< indexes of earlier steps whose tasks must all be done first
    bool savesCheckpoints = false;
    bool isGang = false; //!< all tasks run at the same time and end together
    bool isTightlyCoupled = false; //!< the tasks are much slower when spread over several racks
    std::string requiredLabel; //!< label that a worker must have; empty: any worker
    std::string dataRack; //!< rack of the tasks' data; they are much slower on any other; empty: none
    std::uint32_t maxPerWorker = 0; //!< most tasks of the step on one worker; 0: no limit
    bool allowsDuplicates = false; //!< copies of a task may run in parallel; the first to end counts
    bool isContinuous = false; //!< the tasks run until the job is cancelled
    bool isFiller = false; //!< the tasks use cores that other tasks leave idle; no cores are reserved for them
    std::uint32_t maxUnavailableTasks = 0; //!< in a continuous step: tasks that orders may stop at a time; 0: no limit
    std::string image; //!< image that the tasks run; tasks of the same image behave alike
    std::int64_t tailLatencyTargetMs
        = 0; //!< upper bound for the tail latency of tasks that serve users; 0: they serve none

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(count, need, estimatedMs, after, savesCheckpoints, isGang, isTightlyCoupled, requiredLabel, dataRack,
            maxPerWorker, allowsDuplicates, isContinuous, isFiller, maxUnavailableTasks, image, tailLatencyTargetMs);
    }
};

struct JobSpec {
    JobId id;
    std::string queue;
    std::string tenant; //!< empty: an anonymous caller
    std::string payload; //!< passed unchanged to each task
    std::vector<StepSpec> steps;
    std::uint32_t occurrences
        = 0; //!< how often a scheduled job runs its steps; 0: not scheduled, the steps run once, at once
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(id, queue, tenant, payload, steps, occurrences, firstDueUnixMs, intervalMs);
    }
};

struct TaskId {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    // clang-tidy 14 takes the literal zero of a rewritten comparison for a null pointer.
    auto operator<=>(const TaskId&) const = default; // NOLINT(modernize-use-nullptr)
};

//! A step of one occurrence of a job.
struct StepId {
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    // clang-tidy 14 takes the literal zero of a rewritten comparison for a null pointer.
    auto operator<=>(const StepId&) const = default; // NOLINT(modernize-use-nullptr)
};

//! The task's name in logs and on the platform: JOB.OCCURRENCE.STEP.INDEX.
inline std::string toString(const TaskId& id)
{
    return id.job + "." + std::to_string(id.occurrence) + "." + std::to_string(id.step) + "."
        + std::to_string(id.index);
}

//! Estimated duration, in milliseconds, of the longest chain of steps that wait for each other.
std::int64_t longestChainMs(const std::vector<StepSpec>& steps);
//! As above, of these durations of the steps.
std::int64_t longestChainMs(const std::vector<StepSpec>& steps, const std::vector<std::int64_t>& durationsMs);

} // namespace agatevane::fleet

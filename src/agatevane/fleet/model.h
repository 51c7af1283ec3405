#pragma once

#include "agatevane/base/instant.h"
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

//! Jobs of several steps on a fleet of workers: what callers ask for, independent of where it runs.
namespace agatevane::fleet {

using JobId = std::string;
using WorkerId = std::string;

//! Number of a start of a task; a later start has a higher number.
using RunNumber = std::uint32_t;

//! What a task needs, or what a worker has.
struct Capacity {
    std::int64_t milliCores = 0;
    std::int64_t memoryMiB = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Capacity&) const = default;

    template <typename Archive> void serialize(Archive& archive) { archive(milliCores, memoryMiB, accelerators); }
};

inline bool fitsWithin(const Capacity& need, const Capacity& room)
{
    return need.milliCores <= room.milliCores && need.memoryMiB <= room.memoryMiB
        && need.accelerators <= room.accelerators;
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
    std::uint32_t count = 1; //!< tasks
    Capacity need; //!< of each task
    std::int64_t estimatedMs = 0; //!< rough duration of a task
    std::vector<std::uint32_t> after; //!< earlier steps whose tasks must all be done first
    bool savesCheckpoints = false;
    bool isGang = false; //!< the tasks work only together and end together
    bool isTightlyCoupled = false; //!< much slower when spread over more than one rack
    std::string requiredLabel; //!< a worker must have it; empty: any worker
    std::string dataRack; //!< much slower on any other rack; empty: none
    std::uint32_t maxPerWorker = 0; //!< tasks of the step on one worker; 0: no bound
    bool allowsDuplicates = false; //!< copies may run in parallel; the first to end counts
    bool isContinuous = false; //!< runs until the job is cancelled
    bool isFiller = false; //!< lives on cores that the other tasks leave unused; its cores are not counted
    std::uint32_t maxUnavailableTasks = 0; //!< of a continuous step: tasks that may be away because of our own orders
    std::string image; //!< what the tasks run; tasks of one image behave alike
    std::int64_t tailLatencyTargetMs
        = 0; //!< the tasks serve users: bound of the tail of their response times; 0: they don't

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
    std::string payload; //!< handed to each task unchanged
    std::vector<StepSpec> steps;
    std::uint32_t occurrences = 0; //!< of a job with times; 0: the steps run once, at once
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

//! For logs.
inline std::string toString(const TaskId& id)
{
    return id.job + "." + std::to_string(id.occurrence) + "." + std::to_string(id.step) + "."
        + std::to_string(id.index);
}

//! Milliseconds of the longest chain of steps that wait for each other, from step `from` on if given.
std::int64_t longestChainMs(const std::vector<StepSpec>& steps);

} // namespace agatevane::fleet

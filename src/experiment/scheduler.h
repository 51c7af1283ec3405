#pragma once

#include "agatevane/scheduling/shard.h"
#include <deque>
#include <map>
#include <memory>

namespace agatevane::experiment {

//! The interface of the compared schedulers: the scheduling module of agatevane and plain baselines.
class Scheduler {
public:
    virtual ~Scheduler() = default;
    virtual void submit(const JobSpec& spec, Instant queuedAt, std::int64_t restoredMs) = 0;
    virtual void markRunning(const JobId& job, Instant at) = 0;
    virtual void markEnded(const JobId& job, scheduling::EndReason reason, Instant at) = 0;
    virtual void adopt(const JobSpec& spec, const scheduling::Placement& placement, Instant at) = 0;
    virtual std::vector<scheduling::Decision> decide(Instant at) = 0;
};

std::unique_ptr<Scheduler> makeAgatevane(
    const scheduling::Policy& policy, const std::vector<scheduling::WorkerState>& workers);

//! Serves jobs in the order of arrival and places them first-fit, without shares and preemption. With `mayOvertake`,
//! later jobs may start before a job that does not fit; without it, they wait for that job.
std::unique_ptr<Scheduler> makeBaseline(const std::vector<scheduling::WorkerState>& workers, bool mayOvertake);

} // namespace agatevane::experiment

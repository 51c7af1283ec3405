#pragma once

#include "agatevane/fleet/headroom.h"
#include <optional>
#include <vector>

//! Finds workers with enough free capacity for the tasks of a step. Changes no state of the fleet.
namespace agatevane::fleet {

//! The tasks of one step of one occurrence that wait for a worker.
struct PendingStep {
    Job* job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<std::uint32_t> taskIndexes; //!< waiting tasks; for a gang, all its tasks
    bool isGang = false;
    int tier = 0; //!< steps with a lower tier are placed first
    bool isWithinGuarantee = false; //!< the step is urgent and its tenant within `Fleet::tenantsWithinGuarantee`
    const std::set<WorkerId>* allowedWorkers = nullptr; //!< workers with a valid ticket; null: no ticket is needed
    //! Time until the step must start for its job to meet the objective or, once it can't, to still have some value.
    std::int64_t slackMs = 0;
    std::int64_t dueSlackMs = 0; //!< time until the step must start for its job to meet the objective
    std::int64_t lateSlackMs = 0; //!< time until the step must start for its job to have any value
    std::set<WorkerId> failedOn; //!< workers on which waiting tasks have failed, see noteFailedWorkers()
    bool hasOwnChoice = false; //!< a search without a result says nothing of other steps with the same needs

    const StepSpec& spec() const { return job->spec.steps[step]; }
    Step& state() const { return job->occurrences[occurrence].steps[step]; }
    StepId id() const { return { job->spec.id, occurrence, step }; }
    TaskId task(std::uint32_t index) const { return { job->spec.id, occurrence, step, index }; }
};

enum class HeadroomKind {
    Free,
    AfterStops,
    AfterEnds //!< after stops, and after runs that end by themselves sooner than a stop would take
};

Capacity availableOf(const WorkerHeadroom& headroom, HeadroomKind kind);

//! For each task of a pending step, the index of its worker in the list of headrooms.
using Placement = std::vector<std::size_t>;

//! Weight of an accelerator, in cores, when amounts of work are compared.
constexpr double coresPerAccelerator = 8;
double coreEquivalents(const Capacity& capacity);

//! Adds a task of `step` to the tasks on the worker that interfere with each other.
void addColocatedTask(WorkerHeadroom& headroom, const StepSpec& step);

//! True if all tasks of the steps that `step` waits for are done.
bool arePredecessorsDone(const Occurrence& occurrence, const StepSpec& step);
//! True if the worker belongs to the service of the job's queue and has the step's label.
bool isOfKind(const Worker& worker, const Job& job, const StepSpec& step);
//! True if the worker is of the step's kind and, where needed, has a ticket for it.
bool isAllowed(const PendingStep& pending, const Worker& worker);
//! How many tasks, up to `most`, fit into a capacity.
std::size_t countFittingTasks(const Capacity& headroom, const Capacity& need, std::size_t most);
//! How many more tasks of the step may run on the worker under `maxPerWorker`.
std::size_t remainingTasksOn(const PendingStep& pending, const Worker& worker);

//! Workers for `count` tasks of the step, or nothing. If `needsOneRack`, all are on one rack; if `rack` is not empty,
//! on this one.
std::optional<Placement> findWorkersFor(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms,
    std::size_t count, HeadroomKind kind, bool needsOneRack, const std::string& rack);

//! Workers for as many of `count` tasks as there is free capacity for, for a step whose tasks need not start together.
Placement findWorkersForSome(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms,
    std::size_t count, const std::string& rack);

} // namespace agatevane::fleet

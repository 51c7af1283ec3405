#pragma once

#include "agatevane/fleet/placement.h"
#include <cstddef>
#include <optional>
#include <vector>

//! Chooses runs of less urgent work to stop for a step that finds no free capacity.
namespace agatevane::fleet {

//! A run, or a whole gang, that may be stopped for more urgent work.
struct Victim {
    TaskId task; //!< for a gang, its first task
    const Job* job = nullptr;
    bool savesCheckpoints = false;
    bool isWithinGuarantee = false; //!< the job is urgent and its tenant within `Fleet::tenantsWithinGuarantee`
    Instant orderedAt;
    double loss = 0; //!< core-seconds of work that a stop loses; for a gang, of all members
    std::vector<std::pair<std::size_t, Capacity>> freed; //!< by index of the worker's headroom
    bool isStopped = false; //!< it was chosen earlier in this round
};

//! All victims at the beginning of a placement round.
struct VictimTable {
    std::vector<Victim> victims;
    std::vector<std::vector<std::size_t>> byWorker; //!< by index of the headroom: its victims, least loss first
};

VictimTable findVictims(const Fleet& fleet, const std::vector<WorkerHeadroom>& headrooms, Instant at);

struct PreemptionPlan {
    Placement placement; //!< workers for the step's tasks once the victims have ended
    std::vector<std::size_t> victims; //!< what to stop; indexes into the table
    double loss = 0; //!< core-seconds of work that the victims lose
};

//! The plan with the least loss that is found, or nothing if stopping all permitted runs does not free enough capacity.
std::optional<PreemptionPlan> planPreemption(const VictimTable& table, const PendingStep& pending,
    const std::vector<WorkerHeadroom>& headrooms, bool needsOneRack, const std::string& rack, Instant at);

} // namespace agatevane::fleet

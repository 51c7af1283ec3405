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
    double loss = 0; //!< what a stop loses, in core-seconds; for a gang, of all members
    double lostCoreSeconds = 0; //!< the part of `loss` that is work and time of the stop and the restart
    bool endsBeforeStop = false; //!< a member ends sooner than a stop would take, and the gang with it
    int stopsOfStep = 0; //!< earlier stops of the step for others
    int stopsOfJob = 0; //!< earlier stops of all steps of the occurrence; not counted where stops are cheap
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
    double loss = 0; //!< what the victims lose, in core-seconds
};

//! The plan with the least loss that is found, or nothing if stopping all permitted runs does not free enough capacity.
std::optional<PreemptionPlan> planPreemption(const VictimTable& table, const PendingStep& pending,
    const std::vector<WorkerHeadroom>& headrooms, bool needsOneRack, const std::string& rack, Instant at,
    HeadroomKind kind = HeadroomKind::AfterStops);

//! Where stops are costly: which capacity the step may count on without a stop. Guaranteed work counts on runs to end
//! by themselves only as long as a stop would still be in time if they don't.
HeadroomKind freedWithoutStop(const Limits& limits, const PendingStep& pending, Instant at);

//! What the step's job is still worth, in core-seconds: its remaining work, less the more it is late once a stop has
//! taken effect; nothing once it has lost its value.
double gainOf(const Fleet& fleet, const PendingStep& pending);

//! True if the plan may be carried out: its gain is larger than what its victims lose. Where stops are cheap, and for
//! guaranteed work, always.
bool isWorthwhile(const Fleet& fleet, const VictimTable& table, const PreemptionPlan& plan, const PendingStep& pending);

//! Stops the victims of the plan.
void stopVictims(Fleet& fleet, VictimTable& table, const PreemptionPlan& plan, const PendingStep& pending,
    std::vector<WorkerHeadroom>& headrooms, Instant at);

} // namespace agatevane::fleet

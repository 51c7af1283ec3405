#pragma once

#include "agatevane/fleet/state.h"
#include <vector>

//! Collects the free capacity of the fleet at the beginning of a placement round.
namespace agatevane::fleet {

//! The free capacity of one usable worker during a placement round.
struct WorkerHeadroom {
    Worker* worker = nullptr;
    Capacity free; //!< capacity that is free now
    Capacity afterStops; //!< capacity that is free once the runs that are being stopped have ended
    Capacity ending; //!< capacity of runs that end sooner than a stop would take; see addEndingRuns()
    int servingTasks = 0; //!< tasks on the worker that serve users
    std::int64_t fillerMilliCores = 0; //!< thousandths of a core that the fillers on the worker could use
    bool isChosenLast = false; //!< see isChosenLast() in evacuation.h
};

//! The free capacity of all usable workers.
struct FleetHeadroom {
    std::vector<WorkerHeadroom> workers;
    double utilization = 0; //!< used share of the accelerators or of the cores, whichever is larger
    std::size_t startsUnderWay = 0; //!< starts whose answers may still arrive in time
};

FleetHeadroom collectHeadroom(Fleet& fleet, Instant at);

//! Sets `WorkerHeadroom::ending`. Looks at all runs, so that rounds which free no capacity do without it.
void addEndingRuns(const Fleet& fleet, std::vector<WorkerHeadroom>& headrooms, Instant at);

} // namespace agatevane::fleet

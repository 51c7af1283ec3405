#pragma once

#include "agatevane/base/instant.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

//! Keeps capacity free for the urgent work that arrives next, sized by the urgent work of the last seconds.
namespace agatevane::fleet {

struct Fleet;
struct WorkerHeadroom;

//! Decaying peak of the accelerators that a service's urgent work has used and waited for.
struct UrgentPeak {
    double accelerators = 0;
    Instant updatedAt;
};

struct UrgentReserve {
    std::map<std::string, UrgentPeak> peaks; //!< by service; without those that have decayed
    std::int64_t reservedAccelerators = 0; //!< free accelerators that the last round kept free, of all services
};

//! Updates the peaks and takes the reserve out of the headrooms, as whole workers. Called in each round before the
//! first step that is not urgent.
void reserveForUrgentWork(Fleet& fleet, std::vector<WorkerHeadroom>& headrooms, Instant at);

} // namespace agatevane::fleet

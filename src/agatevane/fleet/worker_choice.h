#pragma once

#include "agatevane/fleet/placement.h"

//! Which workers a pending step avoids because of what is known of their reliability.
namespace agatevane::fleet {

//! Notes on which workers waiting tasks of the step have failed. Does nothing unless stops are costly.
void noteFailedWorkers(const Fleet& fleet, PendingStep& pending);

//! True if the step is not placed on the worker while others could hold it.
bool isAvoided(const PendingStep& pending, const Worker& worker);

//! How many tasks of the step may be placed on the worker at a time, because of its standing.
std::size_t mostTasksFor(const PendingStep& pending, const Worker& worker);

//! True if the step may also be placed on workers that it avoids, because the others could not hold it even if they ran
//! nothing else. `found` is the number of tasks for which they have room now.
bool mayUseAvoided(const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms, std::size_t count,
    std::size_t found, const std::string& rack);

} // namespace agatevane::fleet

#pragma once

#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/state.h"

//! How fast workers are, from the durations of their runs. Kept only where stops are costly, as the rest of the
//! history.
namespace agatevane::fleet {

//! The run, which is still among the worker's runs, has ended. Learns from those that show how long whole tasks take,
//! against the learned run times of their kind; to be called before these learn from the run.
void noteDuration(Fleet& fleet, Worker& worker, const RunKey& key, EndKind kind, Instant at);

//! Rank of the worker among otherwise equal ones for a step of this priority; the highest comes first. Urgent steps
//! prefer fast workers, and others leave these to them.
int speedRank(const Worker& worker, int priority);

} // namespace agatevane::fleet

#pragma once

#include "agatevane/fleet/workers.h"
#include <set>
#include <vector>

//! The stored record of workers names every worker on which a start of this owner or of an earlier one may be open or
//! running. A later owner waits only for workers that the record names. So a worker gets no start before a record that
//! names it is durable.
namespace agatevane::fleet {

//! The workers that the record has to name at `at`.
std::vector<WorkerListing> workersToName(const Fleet& fleet, Instant at);

//! False while the record must keep what earlier owners wrote, which this owner can't read.
bool mayReplaceWorkerRecord(const Fleet& fleet, Instant at);

//! A record with exactly these workers is being written. Others get no starts any more, unless a later record names
//! them.
void beginNaming(Fleet& fleet, const std::set<WorkerId>& names);
//! The record with exactly these workers is durable.
void completeNaming(Fleet& fleet, const std::set<WorkerId>& names);

//! Checks that a start order goes to a worker that the record names. Adds a violation to the fleet otherwise.
void checkStartIsNamed(Fleet& fleet, const Worker& worker, const RunKey& key);

} // namespace agatevane::fleet

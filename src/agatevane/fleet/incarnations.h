#pragma once

#include "agatevane/fleet/state.h"

//! Restarts of workers. A worker that restarts under its id is a new incarnation, which knows nothing of the runs and
//! orders of the earlier one, but may still carry out late orders.
namespace agatevane::fleet {

//! True if the worker's entry is of its present incarnation. A restarted worker may be of another kind than before.
bool isEntryCurrent(const Worker& worker);

//! Stops the starts that are not confirmed and that the worker, by its entry, must not carry out. To be called when the
//! entry of a new incarnation has come, since starts are repeated there.
void stopUnsuitableStarts(Fleet& fleet, Worker& worker, Instant at);

//! Forgets the unanswered starts that can't be carried out any more.
void removeExpiredStarts(Worker& worker, Instant at);

//! The worker is, or was found to be, another incarnation than the one known. Decides for each run and unanswered start
//! of the earlier incarnation whether the new one may have it.
void beginIncarnation(Fleet& fleet, Worker& worker, std::int64_t incarnation, Instant at);

} // namespace agatevane::fleet

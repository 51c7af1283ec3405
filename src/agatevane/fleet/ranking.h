#pragma once

#include "agatevane/fleet/placement.h"

//! Orders pending steps by the value that their jobs can still achieve.
namespace agatevane::fleet {

//! Tiers of pending steps; lower tiers are placed first, and within a tier the step with the least slack. The queue's
//! priority is added to `onTimeTier` and `lateTier`.
constexpr int guaranteedTier = 0; //!< urgent work within its tenant's guarantee
constexpr int urgentTier = 1;
constexpr int continuousTier = 5; //!< continuous steps never end, so they can't be late; they start whenever they fit
constexpr int onTimeTier = 10; //!< the job can still meet its objective
constexpr int lateTier = 1000; //!< the job misses its objective and still has some value
constexpr int expiredTier = 2000; //!< the job ends too late to have any value

//! Times until which a job should end.
struct Objective {
    std::int64_t dueMs = 0; //!< objective, counted from acceptance or from the due time of the occurrence
    std::int64_t lateMs = 0; //!< time from which the job has no value, counted from the same instant
};

//! The objective if each task takes the time that this fraction of such tasks does not exceed.
Objective objectiveOf(const Fleet& fleet, const Job& job, double fraction);

//! Sets the step's tier and slack. `ageMs` is the time since its job was accepted or its occurrence was due.
void rank(const Fleet& fleet, PendingStep& pending, std::int64_t ageMs);

} // namespace agatevane::fleet

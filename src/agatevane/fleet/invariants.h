#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/fleet/workers.h"
#include <set>
#include <tuple>

//! Finds states of the fleet that contradict themselves. Finding one changes no decision.
namespace agatevane::fleet {

//! A worker that answers polls ends the runs of an ended job within this time: the stop takes some hundred
//! milliseconds, and its order is repeated until it is answered. The platform demands it within 3 to 4 s and the time
//! for a stop.
constexpr Millis runEndBound { 3000 };

//! One line of text on a violation.
std::string toString(const Violation& violation);

//! All invariants that the state violates at present. The process was held up until `heldUpUntil`, if ever, and could
//! stop no run before.
std::vector<Violation> checkInvariants(const Fleet& fleet, Instant at, Instant heldUpUntil = {});

//! Keeps a violation that was found while an event was applied, until takeNewViolations returns it.
void addViolation(Fleet& fleet, Violation violation);

//! Checks, after an end was applied and before it is acknowledged, that a task whose run has ended well is done. Adds a
//! violation to the fleet's otherwise.
void checkEndWasTaken(Fleet& fleet, const Worker& worker, const EndReport& end);

//! The violations that were found last, so that each is reported once for as long as it lasts.
struct InvariantWatch {
    std::set<std::tuple<Breach, TaskId, WorkerId, RunNumber>> known;
    Instant heldUpUntil; //!< see checkInvariants
};

//! Checks the state and takes the violations found since the last call; returns those that are new.
std::vector<Violation> takeNewViolations(InvariantWatch& watch, Fleet& fleet, Instant at);

} // namespace agatevane::fleet

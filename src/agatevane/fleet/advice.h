#pragma once

#include "agatevane/fleet/placement.h"
#include <set>

//! Tickets from the advice service: some queues allow only some workers to run a step.
namespace agatevane::fleet {

//! Workers whose ticket for the step is valid at `at` in their present life.
std::set<WorkerId> ticketedWorkers(const Fleet& fleet, const StepId& step, Instant at);
//! The ticket of a worker, empty if there is no valid one.
std::string ticketOf(const Fleet& fleet, const StepId& step, const Worker& worker, Instant at);

//! Queues a question about workers with room that the step might use and that were not asked about.
void askForTickets(Fleet& fleet, const Unit& unit, const std::vector<Room>& rooms, Instant at);

struct AdviceAnswer {
    bool isAnswered = false; //!< false: no answer, or refused
    std::vector<std::pair<WorkerId, std::string>> tickets;
    Millis validity { 0 };
};

//! `sentAt` is when the question was sent; validity is counted from then.
void applyAdvice(Fleet& fleet, const AdviceRequest& order, const AdviceAnswer& answer, Instant sentAt, Instant at);

//! Forgets the advice on jobs that have ended.
void forgetAdvice(Fleet& fleet, const JobId& job);

} // namespace agatevane::fleet

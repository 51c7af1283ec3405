#pragma once

#include "agatevane/fleet/placement.h"
#include <set>

//! Tickets from the advice service. In some queues a worker needs a ticket to run a step.
namespace agatevane::fleet {

//! Workers whose ticket for the step is valid at `at` for their present incarnation.
std::set<WorkerId> workersWithTicket(const Fleet& fleet, const StepId& step, Instant at);
//! The ticket of a worker, empty if there is no valid one.
std::string ticketOf(const Fleet& fleet, const StepId& step, const Worker& worker, Instant at);

//! Queues a request about workers that the step might use and that have no advice yet or whose ticket has expired.
void requestTickets(Fleet& fleet, const PendingStep& pending, const std::vector<WorkerHeadroom>& headrooms, Instant at);

struct AdviceAnswer {
    bool isAnswered = false; //!< false: the service did not answer or refused the request
    std::vector<std::pair<WorkerId, std::string>> tickets;
    Millis validity { 0 };
};

//! The validity of the tickets begins at `sentAt`, when the request was sent.
void applyAdvice(Fleet& fleet, const AdviceRequest& order, const AdviceAnswer& answer, Instant sentAt, Instant at);

//! Removes the advice about a job, which has ended.
void removeAdvice(Fleet& fleet, const JobId& job);

} // namespace agatevane::fleet

#pragma once

#include "agatevane/base/outcome.h"
#include "entry/entry_metrics.h"
#include "entry/worker_client.h"
#include "entry/worker_router.h"

namespace agatevane::entry {

//! The result of a call after all its attempts.
struct CallResult {
    Outcome outcome = Outcome::NotRun;
    WorkerAnswer answer; //!< complete and checked if `outcome` is Done
    AttemptId attempt; //!< id of the last attempt
    WorkerId worker; //!< worker of the last attempt; empty if no worker could be chosen
};

struct CallToRun {
    ServiceId service;
    const std::string& body;
    bool isIdempotent = false;
    Instant deadline;
};

//! Sends an idempotent call to one worker after another until one answers or no further attempt is allowed.
CallResult runIdempotentCall(
    WorkerRouter& router, WorkerClient& workerClient, EntryMetrics& metrics, const CallToRun& call);

//! Makes one attempt at the chosen worker and reports its result to the router.
WorkerAnswer attemptCall(WorkerRouter& router, WorkerClient& workerClient, const routing::Choice& choice,
    const AttemptId& attempt, const CallToRun& call);

//! Waits 10 to 30 ms, in which a worker may free a slot. Returns false at once if that would exceed the deadline.
bool pauseBeforeRetry(Instant deadline, Random& random);

//! Chooses a worker. Waits while no worker is usable but one is temporarily full. Returns nothing if no worker can be
//! used before the deadline.
std::optional<routing::Choice> chooseWorkerOrWait(
    WorkerRouter& router, const routing::Query& query, Instant deadline, Random& random);

//! Translates the answer of a worker into the result that the router counts.
routing::Result routingResultOf(const WorkerAnswer& answer);

} // namespace agatevane::entry

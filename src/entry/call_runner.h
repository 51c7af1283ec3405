#pragma once

#include "agatevane/base/outcome.h"
#include "entry/entry_metrics.h"
#include "entry/worker_client.h"
#include "entry/worker_router.h"

namespace agatevane::entry {

//! What became of a call after all its attempts.
struct CallRun {
    Outcome outcome = Outcome::NotRun;
    WorkerAnswer answer; //!< whole if `outcome` is Done
    AttemptId attempt; //!< the last one
    WorkerId worker; //!< of the last attempt; empty if no worker could be chosen
};

struct CallToRun {
    ServiceId service;
    const std::string& body;
    bool isIdempotent = false;
    Instant deadline;
};

//! Sends an idempotent call to workers until one answers or no retry is allowed.
CallRun runIdempotentCall(WorkerRouter& router, WorkerClient& workers, EntryMetrics& metrics, const CallToRun& call);

//! One attempt at one chosen worker, with its result reported to the router.
WorkerAnswer attemptCall(WorkerRouter& router, WorkerClient& workers, const routing::Choice& choice,
    const AttemptId& attempt, const CallToRun& call);

//! Waits a moment for a worker to free a slot; false if that would last beyond the deadline.
bool waitForSlot(Instant deadline, Random& random);

//! A worker; waits while all are full. Nothing if none can be used.
std::optional<routing::Choice> chooseOrWait(
    WorkerRouter& router, const routing::Query& query, Instant deadline, Random& random);

routing::Result resultOf(const WorkerAnswer& answer);

} // namespace agatevane::entry

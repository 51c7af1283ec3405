#pragma once

#include "agatevane/base/outcome.h"
#include "agatevane/claim_store/claim_runner.h"
#include "entry/worker_client.h"
#include "entry/worker_router.h"

namespace agatevane::entry {

//! A call that must run at most once, which a claim of its idempotency key in the store ensures.
struct ClaimedCall {
    WorkspaceId workspace;
    std::string key;
    ServiceId service;
    const std::string& body;
    Instant deadline;
};

//! Claims the key in the store, sends the call once and records the answer. A repeat gets the recorded answer.
FinishClaim runClaimedCall(
    ClaimStore& claims, WorkerRouter& router, WorkerClient& workerClient, const ClaimedCall& call);

//! Returns the result of an earlier call, or nothing if there is no record of it.
std::optional<FinishClaim> lookUpClaimedCall(ClaimStore& claims, WorkerClient& workerClient,
    const WorkspaceId& workspace, const std::string& key, Instant deadline);

Outcome outcomeOf(const FinishClaim& claimResult);

//! Returns the path at which the caller can query the outcome.
std::string resultLink(const WorkspaceId& workspace, const std::string& key);

void writeClaimResult(const FinishClaim& claimResult, const std::string& link, http::Response& response);

} // namespace agatevane::entry

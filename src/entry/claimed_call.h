#pragma once

#include "agatevane/base/outcome.h"
#include "agatevane/claim_store/claim_runner.h"
#include "entry/worker_client.h"
#include "entry/worker_router.h"

namespace agatevane::entry {

//! A call that must run at most once.
struct ClaimedCall {
    WorkspaceId workspace;
    std::string key;
    ServiceId service;
    const std::string& body;
    Instant deadline;
};

//! Claims the key in the store, sends the call once and records the answer. A repeat gets the recorded answer.
FinishClaim runClaimedCall(ClaimStore& claims, WorkerRouter& router, WorkerClient& workers, const ClaimedCall& call);

//! What became of an earlier call; nothing if there is no record of it.
std::optional<FinishClaim> lookUpClaimedCall(
    ClaimStore& claims, WorkerClient& workers, const WorkspaceId& workspace, const std::string& key, Instant deadline);

Outcome outcomeOf(const FinishClaim& finished);

//! Where the caller asks again.
std::string resultLink(const WorkspaceId& workspace, const std::string& key);

void writeClaimed(const FinishClaim& finished, const std::string& link, http::Response& response);

} // namespace agatevane::entry

#pragma once

#include "agatevane/claim_store/claim_store.h"
#include <functional>

namespace agatevane {

//! Functions through which a claim flow reaches workers. Each returns by the deadline that it is given.
struct ClaimPorts {
    std::function<AttemptSent(const SendAttempt& action, Instant deadline)> send;
    std::function<AttemptQueried(const QueryAttempt& action, Instant deadline)> queryAttempt;
    //! Chooses a worker other than the one that refused; returns nothing if there is none.
    std::function<std::optional<ClaimWorker>(const WorkerId& refusedBy)> choose;
};

struct ClaimRequest {
    WorkspaceId workspace;
    std::string idempotencyKey;
    ServiceId service;
    std::string body;
    ClaimWorker worker; //!< worker of the first attempt
    Instant deadline;
};

//! Runs one non-idempotent request until its outcome is determined. Blocks until about the deadline at the latest.
FinishClaim runClaim(ClaimStore& store, const ClaimPorts& ports, const ClaimRequest& request, Random& random,
    const ClaimOptions& options = {});

//! Looks up the outcome of the request with this key without starting or forbidding an attempt. The outcome is NotRun
//! only if the record states it. Returns nothing for a key without a record, because its request may be about to be
//! claimed.
std::optional<FinishClaim> lookUpClaim(
    ClaimStore& store, const ClaimPorts& ports, const WorkspaceId& workspace, const std::string& key, Instant deadline);

} // namespace agatevane

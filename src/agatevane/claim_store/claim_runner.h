#pragma once

#include "agatevane/claim_store/claim_store.h"
#include <functional>

namespace agatevane {

//! How the runner reaches workers. Each function returns by the deadline.
struct ClaimPorts {
    std::function<AttemptSent(const SendAttempt& action, Instant deadline)> send;
    std::function<AttemptQueried(const QueryAttempt& action, Instant deadline)> queryAttempt;
    //! Another worker than the one that refused; nothing if there is none.
    std::function<std::optional<ClaimWorker>(const WorkerId& refusedBy)> choose;
};

struct ClaimRequest {
    WorkspaceId workspace;
    std::string idempotencyKey;
    ServiceId service;
    std::string body;
    ClaimWorker worker; //!< for the first attempt
    Instant deadline;
};

//! Runs one non-idempotent request to its end; blocks until about the deadline.
FinishClaim runClaim(ClaimStore& store, const ClaimPorts& ports, const ClaimRequest& request, Random& random,
    const ClaimOptions& options = {});

//! What became of the request with this key, without starting or forbidding anything. The outcome is NotRun only if the
//! record says so; a key without a record gives nothing, since its request may be about to be claimed.
std::optional<FinishClaim> lookUpClaim(
    ClaimStore& store, const ClaimPorts& ports, const WorkspaceId& workspace, const std::string& key, Instant deadline);

} // namespace agatevane

#include "agatevane/claim_store/claim_runner.h"

#include <algorithm>
#include <thread>

namespace agatevane {

namespace {

    // Time withheld from the attempt before the request's deadline, so that an answer that arrives late can still be
    // recorded.
    constexpr Millis recordingReserve { 500 };
    constexpr Millis queryTimeout { 1000 };

    //! Carries out the actions of a claim flow and returns their results.
    class ActionExecutor {
    public:
        ActionExecutor(ClaimStore& store, const ClaimPorts& ports, const ClaimRequest& request)
            : store_(store)
            , ports_(ports)
            , key_(claimStoreKey(request.workspace, request.idempotencyKey))
            , deadline_(request.deadline)
        {
            sendDeadline_ = deadline_ - std::min<Instant::duration>(recordingReserve, (deadline_ - now()) / 5);
        }

        ClaimInput operator()(const WriteClaim& action) { return store_.write(key_, action, deadline_); }

        ClaimInput operator()(const SendAttempt& action) { return ports_.send(action, sendDeadline_); }

        ClaimInput operator()(const QueryAttempt& action)
        {
            std::this_thread::sleep_until(std::min(action.notBefore, deadline_));
            return ports_.queryAttempt(action, std::min(deadline_, now() + queryTimeout));
        }

        ClaimInput operator()(const ChooseWorker& action) { return WorkerChosen { ports_.choose(action.refusedBy) }; }

        ClaimInput operator()(const FinishClaim&) { return WorkerChosen {}; }

    private:
        ClaimStore& store_;
        const ClaimPorts& ports_;
        std::string key_;
        Instant deadline_;
        Instant sendDeadline_;
    };

} // namespace

FinishClaim runClaim(ClaimStore& store, const ClaimPorts& ports, const ClaimRequest& request, Random& random,
    const ClaimOptions& options)
{
    ClaimFlow flow;
    flow.options = options;
    ActionExecutor executor(store, ports, request);
    auto action = begin(flow, request.idempotencyKey, requestDigestOf(request.service, request.body), request.worker,
        request.deadline, random);
    while (!std::holds_alternative<FinishClaim>(action)) {
        auto input = std::visit(executor, action);
        action = advance(flow, input, now(), random);
    }
    return std::get<FinishClaim>(std::move(action));
}

std::optional<FinishClaim> lookUpClaim(
    ClaimStore& store, const ClaimPorts& ports, const WorkspaceId& workspace, const std::string& key, Instant deadline)
{
    auto read = store.read(claimStoreKey(workspace, key), deadline);
    if (read.error)
        return FinishClaim { ClaimOutcome::Unknown, {}, "the store cannot be read: " + read.error.message() };
    if (!read.claim || read.claim->key != key)
        return std::nullopt;
    const auto& claim = *read.claim;
    if (claim.state == ClaimState::NotRun)
        return FinishClaim { ClaimOutcome::NotRun, {}, "the attempt was not run" };
    if (claim.state == ClaimState::Done && claim.answer.hasBody)
        return FinishClaim { ClaimOutcome::Done, claim.answer, "" };
    auto queried = ports.queryAttempt({ claim.attempt, claim.worker, false, now() }, deadline);
    bool isRecorded = claim.state == ClaimState::Done;
    if (queried.state == AttemptState::Done && (!isRecorded || queried.answer.digest == claim.answer.digest))
        return FinishClaim { ClaimOutcome::Done, queried.answer, "" };
    if (queried.state == AttemptState::Running)
        return FinishClaim { ClaimOutcome::InProgress, {}, "the request is still running" };
    return FinishClaim { ClaimOutcome::Unknown, {}, "the outcome is not known yet" };
}

} // namespace agatevane

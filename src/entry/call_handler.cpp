#include "entry/call_handler.h"

#include "agatevane/http/problem.h"
#include "entry/claimed_call.h"
#include "entry/identity.h"
#include <algorithm>

namespace agatevane::entry {

namespace {

    struct Call {
        ServiceId service;
        SnapshotPointer catalogue; //!< has authenticated the caller
        CallerEntry caller;
        CallOptions options;
        Instant arrival;
        Instant deadline;
    };

    //! Rounds up and returns at least 1, as Retry-After takes whole seconds.
    int wholeSeconds(Millis duration)
    {
        return static_cast<int>(std::max<std::int64_t>(1, (duration.count() + 999) / 1000));
    }

    void refuse(http::Response& response, int status, const std::string& title, const std::string& detail,
        std::optional<Millis> retryAfter = std::nullopt)
    {
        http::Problem problem { .status = status, .title = title, .detail = detail, .outcome = Outcome::NotRun };
        if (retryAfter)
            problem.retryAfterSeconds = wholeSeconds(*retryAfter);
        http::writeProblem(problem, response);
    }

    std::vector<std::string> limitKeys(const Call& call)
    {
        return { "callers/" + call.caller.id.value, "workspaces/" + call.caller.workspace.value,
            "services/" + call.service.value };
    }

    void writeCallResult(const CallResult& callResult, http::Response& response)
    {
        if (callResult.outcome == Outcome::Done) {
            response.status = callResult.answer.status;
            response.contentType = callResult.answer.contentType;
            response.body = callResult.answer.body;
            response.headers.emplace("Agatevane-Outcome", std::string(nameOf(callResult.outcome)));
            return;
        }
        if (callResult.outcome == Outcome::NotRun) {
            bool hadWorker = !callResult.worker.empty();
            return refuse(
                response, 503, hadWorker ? "no worker accepted the call" : "no worker is available", "", Millis(1000));
        }
        http::Problem problem { .status = 504, .title = "no whole answer from the worker" };
        problem.outcome = Outcome::Unknown;
        problem.detail = "the call may have run; it is idempotent, so ask again by repeating it";
        http::writeProblem(problem, response);
    }

    Outcome runCall(CallContext& context, const Call& call, const http::Request& request, http::Response& response)
    {
        auto gate = context.gates.find(call.service);
        if (!gate) {
            refuse(response, 404, "no such service", call.service.value);
            return Outcome::NotRun;
        }
        if (auto wait = context.limits.tryAdmit(limitKeys(call))) {
            context.metrics.limitedCalls.add();
            refuse(response, 429, "limit of requests/s reached", "", *wait);
            return Outcome::NotRun;
        }
        auto decision
            = gate->enter({ 0, call.options.workClass, call.caller.workspace, call.caller.id, call.deadline });
        if (!decision.slot) {
            context.metrics.countShed(decision.shed.reason);
            refuse(response, 503, "overloaded", std::string(nameOf(decision.shed.reason)), decision.shed.retryAfter);
            return Outcome::NotRun;
        }
        // The call may have waited for its slot.
        if (auto refusal = context.catalogue.findRefusal(call.catalogue, call.caller)) {
            writeRefusal(*refusal, response);
            return Outcome::NotRun;
        }
        if (!call.options.isIdempotent) {
            ClaimedCall claimed { call.caller.workspace, call.options.idempotencyKey, call.service, request.body,
                call.deadline };
            auto claimResult = runClaimedCall(context.claims, context.router, context.workerClient, claimed);
            writeClaimResult(claimResult, resultLink(claimed.workspace, claimed.key), response);
            return outcomeOf(claimResult);
        }
        CallToRun callToRun { call.service, request.body, call.options.isIdempotent, call.deadline };
        auto callResult = runIdempotentCall(context.router, context.workerClient, context.metrics, callToRun);
        writeCallResult(callResult, response);
        return callResult.outcome;
    }

} // namespace

void handleCall(CallContext& context, const http::Request& request, http::Response& response)
{
    Call call;
    call.arrival = now();
    call.service = { request.matches.at(1) };
    call.catalogue = context.catalogue.load();
    if (!call.catalogue) {
        writeRefusal(CatalogueRefusal::NotFresh, response);
        return context.metrics.countCall(call.options.workClass, Outcome::NotRun, elapsed(call.arrival, now()));
    }
    auto caller = authenticate(request, *call.catalogue, response);
    if (!caller)
        return;
    call.caller = *caller;
    if (auto findings = readCallOptions(request, context.defaultTimeout, call.options); !findings.empty()) {
        http::Problem problem { .status = 400, .title = "invalid call", .outcome = Outcome::NotRun };
        problem.findings = std::move(findings);
        return http::writeProblem(problem, response);
    }
    call.options.workClass = limitClass(call.options.workClass, caller->highestClass);
    call.deadline = call.arrival + call.options.timeout;
    auto outcome = runCall(context, call, request, response);
    context.metrics.countCall(call.options.workClass, outcome, elapsed(call.arrival, now()));
}

void showRequest(CallContext& context, const http::Request& request, http::Response& response)
{
    auto catalogue = context.catalogue.published.load();
    auto caller = authenticate(request, *catalogue, response);
    if (!caller)
        return;
    WorkspaceId workspace { request.matches.at(1) };
    auto key = request.matches.at(2);
    if (workspace != caller->workspace && !caller->isOperator)
        return http::writeProblem({ .status = 404, .title = "no such request" }, response);
    auto deadline = now() + context.defaultTimeout;
    auto claimResult = lookUpClaimedCall(context.claims, context.workerClient, workspace, key, deadline);
    if (claimResult) {
        writeClaimResult(*claimResult, resultLink(workspace, key), response);
        return;
    }
    // The outcome is unknown: another VM may be about to claim the request, or the store may be unreadable.
    http::Problem problem { .status = 404, .title = "no record of this request" };
    problem.outcome = Outcome::Unknown;
    problem.resultLink = resultLink(workspace, key);
    http::writeProblem(problem, response);
}

} // namespace agatevane::entry

#include "entry/call_handler.h"

#include "agatevane/http/problem.h"
#include "entry/claimed_call.h"
#include "entry/identity.h"
#include <algorithm>

namespace agatevane::entry {

namespace {

    struct Call {
        ServiceId service;
        CallerEntry caller;
        CallOptions options;
        Instant arrival;
        Instant deadline;
    };

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

    void writeRun(const CallRun& run, http::Response& response)
    {
        if (run.outcome == Outcome::Done) {
            response.status = run.answer.status;
            response.contentType = run.answer.contentType;
            response.body = run.answer.body;
            response.headers.emplace("Agatevane-Outcome", std::string(nameOf(run.outcome)));
            return;
        }
        if (run.outcome == Outcome::NotRun) {
            bool hadWorker = !run.worker.empty();
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
        if (!context.source.isFresh()) {
            refuse(response, 503, "the catalogue is not proved to be fresh", "", Millis(2000));
            return Outcome::NotRun;
        }
        auto gate = context.gates.find(call.service);
        if (!gate) {
            refuse(response, 404, "no such service", call.service.value);
            return Outcome::NotRun;
        }
        if (auto wait = context.limits.tryAdmit(limitKeys(call))) {
            context.metrics.limited.add();
            refuse(response, 429, "limit of requests/s reached", "", *wait);
            return Outcome::NotRun;
        }
        auto verdict = gate->enter({ 0, call.options.workClass, call.caller.workspace, call.caller.id, call.deadline });
        if (!verdict.slot) {
            context.metrics.countShed(verdict.shed.reason);
            refuse(response, 503, "overloaded", std::string(nameOf(verdict.shed.reason)), verdict.shed.retryAfter);
            return Outcome::NotRun;
        }
        if (!call.options.isIdempotent) {
            ClaimedCall claimed { call.caller.workspace, call.options.idempotencyKey, call.service, request.body,
                call.deadline };
            auto finished = runClaimedCall(context.claims, context.router, context.workers, claimed);
            writeClaimed(finished, resultLink(claimed.workspace, claimed.key), response);
            return outcomeOf(finished);
        }
        CallToRun toRun { call.service, request.body, call.options.isIdempotent, call.deadline };
        auto run = runIdempotentCall(context.router, context.workers, context.metrics, toRun);
        writeRun(run, response);
        return run.outcome;
    }

} // namespace

void handleCall(CallContext& context, const http::Request& request, http::Response& response)
{
    Call call;
    call.arrival = now();
    call.service = { request.matches.at(1) };
    auto catalogue = context.catalogue.load();
    auto caller = authenticate(request, *catalogue, response);
    if (!caller)
        return;
    call.caller = *caller;
    if (auto findings = readCallOptions(request, context.defaultTimeout, call.options); !findings.empty()) {
        http::Problem problem { .status = 400, .title = "invalid call", .outcome = Outcome::NotRun };
        problem.findings = std::move(findings);
        return http::writeProblem(problem, response);
    }
    call.options.workClass = lowerClass(call.options.workClass, caller->highestClass);
    call.deadline = call.arrival + call.options.timeout;
    auto outcome = runCall(context, call, request, response);
    context.metrics.countCall(call.options.workClass, outcome, elapsed(call.arrival, now()));
}

void showRequest(CallContext& context, const http::Request& request, http::Response& response)
{
    auto catalogue = context.catalogue.load();
    auto caller = authenticate(request, *catalogue, response);
    if (!caller)
        return;
    WorkspaceId workspace { request.matches.at(1) };
    auto key = request.matches.at(2);
    if (workspace != caller->workspace && !caller->isOperator)
        return http::writeProblem({ .status = 404, .title = "no such request" }, response);
    auto deadline = now() + context.defaultTimeout;
    auto finished = lookUpClaimedCall(context.claims, context.workers, workspace, key, deadline);
    if (finished) {
        writeClaimed(*finished, resultLink(workspace, key), response);
        return;
    }
    // The request may be about to be claimed at another VM, or the store cannot be read.
    http::Problem problem { .status = 404, .title = "no record of this request" };
    problem.outcome = Outcome::Unknown;
    problem.resultLink = resultLink(workspace, key);
    http::writeProblem(problem, response);
}

} // namespace agatevane::entry

#include "entry/job_handler.h"

#include "agatevane/base/hash.h"
#include "agatevane/base/random.h"
#include "agatevane/http/problem.h"
#include "agatevane/json/reader.h"
#include "entry/identity.h"
#include "entry/job_request.h"
#include <algorithm>
#include <future>

namespace agatevane::entry {

namespace {

    nlohmann::json toJson(const JobView& view)
    {
        nlohmann::json workers = nlohmann::json::array();
        for (const auto& worker : view.workers)
            workers.push_back(worker.value);
        return { { "id", view.spec.id.value }, { "state", nameOf(view.state) },
            { "workspace", view.spec.workspace.value }, { "caller", view.spec.caller.value },
            { "dataCentre", view.spec.dataCentre.value }, { "kind", view.spec.kind },
            { "class", nameOf(view.spec.workClass) }, { "accelerators", view.spec.accelerators },
            { "expectedSeconds", view.spec.expectedMs / 1000 }, { "canCheckpoint", view.spec.canCheckpoint },
            { "attempt", view.attempt.value }, { "workers", workers }, { "queuedForMs", view.queuedForMs },
            { "runningForMs", view.runningForMs }, { "checkpointedMs", view.checkpointedMs },
            { "reason", view.reason } };
    }

    std::string jobLinkOf(const JobId& id)
    {
        return "/v1/jobs/" + id.value;
    }

    void refuse(http::Response& response, int status, const std::string& title, const std::string& detail,
        std::optional<Outcome> outcome)
    {
        http::Problem problem { .status = status, .title = title, .detail = detail, .outcome = outcome };
        if (status == 503)
            problem.retryAfterSeconds = 1;
        http::writeProblem(problem, response);
    }

    void writeSubmission(const JobSpec& spec, const SubmitJobReply& reply, http::Response& response)
    {
        http::Problem problem { .title = std::string(nameOf(reply.result)), .detail = reply.reason };
        problem.outcome = Outcome::NotRun;
        auto retryAfter = static_cast<int>(std::clamp<std::int64_t>((reply.retryAfterMs + 999) / 1000, 1, 3600));
        switch (reply.result) {
        case SubmitResult::Accepted:
        case SubmitResult::Duplicate:
            response.status = 202;
            response.headers.emplace("Location", jobLinkOf(spec.id));
            response.body = json::dump({ { "id", spec.id.value }, { "dataCentre", spec.dataCentre.value },
                { "result", nameOf(reply.result) } });
            return;
        case SubmitResult::Impossible:
            problem.status = 422;
            break;
        case SubmitResult::QuotaExceeded:
            problem.status = 429;
            problem.retryAfterSeconds = retryAfter;
            break;
        case SubmitResult::Overloaded:
        case SubmitResult::Unavailable:
        case SubmitResult::NotOwner:
            problem.status = 503;
            problem.retryAfterSeconds = retryAfter;
            break;
        case SubmitResult::Unknown:
            problem.status = 504;
            problem.outcome = Outcome::Unknown;
            problem.resultLink = jobLinkOf(spec.id);
            break;
        }
        http::writeProblem(problem, response);
    }

    //! Returns whether the submission may be sent to another data centre without the risk that the job runs twice.
    bool mayTryOtherDataCentre(SubmitResult result)
    {
        return result == SubmitResult::Overloaded || result == SubmitResult::Unavailable
            || result == SubmitResult::NotOwner || result == SubmitResult::Impossible;
    }

    bool isVisibleTo(const CallerEntry& caller, const JobView& job)
    {
        return caller.isOperator || job.spec.workspace == caller.workspace;
    }

    //! Reading a status changes nothing, so a lost reply leaves no outcome unknown.
    JobReply readStatus(JobContext& context, const JobId& id, Instant deadline)
    {
        auto reply = context.schedulerClient.status({ dataCentreOf(id), id }, deadline);
        if (reply.status == JobReplyStatus::Unknown)
            reply.status = JobReplyStatus::Unavailable;
        return reply;
    }

    void writeJob(
        const JobReply& reply, const CallerEntry& caller, const JobId& id, int successStatus, http::Response& response)
    {
        if (reply.status == JobReplyStatus::Found && isVisibleTo(caller, reply.job)) {
            response.status = successStatus;
            response.body = json::dump(toJson(reply.job));
        } else if (reply.status == JobReplyStatus::Found || reply.status == JobReplyStatus::NotFound) {
            refuse(response, 404, "no such job", "", std::nullopt);
        } else if (reply.status == JobReplyStatus::Unknown) {
            http::Problem problem { .status = 504, .title = "no answer from the owner of the data centre" };
            problem.outcome = Outcome::Unknown;
            problem.resultLink = jobLinkOf(id);
            http::writeProblem(problem, response);
        } else {
            refuse(response, 503, "the owner of the data centre is not available", "", Outcome::NotRun);
        }
    }

} // namespace

void submitJob(JobContext& context, const http::Request& request, http::Response& response)
{
    auto arrival = now();
    auto deadline = arrival + context.defaultTimeout;
    auto catalogue = context.catalogue.load();
    if (!catalogue)
        return writeRefusal(CatalogueRefusal::NotFresh, response);
    auto caller = authenticate(request, *catalogue, response);
    if (!caller)
        return;
    JobSpec spec;
    if (auto findings = readJobRequest(request.body, *caller, *catalogue, spec); !findings.empty()) {
        http::Problem problem { .status = 400, .title = "invalid job", .outcome = Outcome::NotRun };
        problem.findings = std::move(findings);
        return http::writeProblem(problem, response);
    }
    spec.workClass = limitClass(spec.workClass, caller->highestClass);
    spec.idempotencyKey = http::headerOf(request.headers, "Idempotency-Key");
    thread_local Random random = makeRandom();
    auto jobToken = jobTokenOf(spec.workspace, spec.idempotencyKey, randomToken(random));
    auto candidates = spec.dataCentre.empty() ? rankDataCentres(spec, jobToken, *catalogue)
                                              : std::vector<DataCentreId> { spec.dataCentre };
    if (candidates.empty())
        return refuse(response, 422, "impossible", "no data centre has so many accelerators", Outcome::NotRun);
    // A repeat with the same key must go to the same data centre: a second one could accept a job that the first has
    // already accepted at an earlier attempt.
    if (!spec.idempotencyKey.empty())
        candidates.resize(1);
    SubmitJobReply reply;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // The data centres before this one have not accepted the job.
        if (auto refusal = context.catalogue.findRefusal(catalogue, *caller))
            return writeRefusal(*refusal, response);
        spec.dataCentre = candidates[i];
        spec.id = { spec.dataCentre.value + "." + jobToken };
        // The remaining time is divided equally among the remaining data centres.
        auto timeShare = elapsed(now(), deadline) / static_cast<int>(candidates.size() - i);
        reply = context.schedulerClient.submit(spec, now() + timeShare);
        if (!mayTryOtherDataCentre(reply.result))
            break;
    }
    writeSubmission(spec, reply, response);
}

void listJobs(JobContext& context, const http::Request& request, http::Response& response)
{
    auto deadline = now() + context.defaultTimeout / 4;
    auto catalogue = context.catalogue.published.load();
    auto caller = authenticate(request, *catalogue, response);
    if (!caller)
        return;
    WorkspaceId workspace = caller->workspace;
    if (caller->isOperator)
        workspace = { http::parameterOf(request, "workspace") };
    nlohmann::json jobs = nlohmann::json::array();
    nlohmann::json unansweredDataCentres = nlohmann::json::array();
    for (const auto& [id, dataCentre] : catalogue->dataCentres) {
        ListJobsRequest query { id, workspace };
        auto reply = context.schedulerClient.list(query, std::min(deadline, now() + Millis(3000)));
        if (reply.status != JobReplyStatus::Found)
            unansweredDataCentres.push_back(id.value);
        for (const auto& job : reply.jobs)
            jobs.push_back(toJson(job));
    }
    response.body = json::dump({ { "jobs", jobs }, { "dataCentresWithoutAnswer", unansweredDataCentres } });
}

void showJob(JobContext& context, const http::Request& request, http::Response& response)
{
    auto catalogue = context.catalogue.published.load();
    auto caller = authenticate(request, *catalogue, response);
    if (!caller)
        return;
    JobId id { request.matches.at(1) };
    if (!catalogue->dataCentres.contains(dataCentreOf(id)))
        return refuse(response, 404, "no such job", "", std::nullopt);
    writeJob(readStatus(context, id, now() + context.defaultTimeout), *caller, id, 200, response);
}

void cancelJob(JobContext& context, const http::Request& request, http::Response& response)
{
    auto deadline = now() + context.defaultTimeout;
    auto catalogue = context.catalogue.published.load();
    auto caller = authenticate(request, *catalogue, response);
    if (!caller)
        return;
    JobId id { request.matches.at(1) };
    if (!catalogue->dataCentres.contains(dataCentreOf(id)))
        return refuse(response, 404, "no such job", "", std::nullopt);
    // The request to the owner does not name the caller, so the job's workspace is checked here before it is cancelled.
    auto job = readStatus(context, id, deadline);
    if (job.status != JobReplyStatus::Found || !isVisibleTo(*caller, job.job))
        return writeJob(job, *caller, id, 200, response);
    writeJob(context.schedulerClient.cancel({ dataCentreOf(id), id }, deadline), *caller, id, 202, response);
}

} // namespace agatevane::entry

#include "entry/call_handler.h"

#include "agatevane/base/random.h"
#include "agatevane/http/problem.h"
#include "entry/identity.h"

namespace agatevane::entry {

namespace {

    std::vector<WorkerEntry> workersOf(const ServiceId& service, const CatalogueSnapshot& catalogue)
    {
        std::vector<WorkerEntry> workers;
        for (const auto& [id, dataCentre] : catalogue.dataCentres) {
            for (const auto& worker : dataCentre.workers) {
                if (worker.service == service)
                    workers.push_back(worker);
            }
        }
        return workers;
    }

    void writeAnswer(const WorkerAnswer& answer, http::Response& response)
    {
        if (answer.outcome == CallOutcome::Answered) {
            response.status = answer.status;
            response.contentType = answer.contentType;
            response.body = answer.body;
            return;
        }
        http::Problem problem;
        problem.status = isNotRun(answer.outcome) ? 503 : 504;
        problem.outcome = isNotRun(answer.outcome) ? Outcome::NotRun : Outcome::Unknown;
        problem.title = isNotRun(answer.outcome) ? "no worker accepted the call" : "no whole answer from the worker";
        if (isNotRun(answer.outcome))
            problem.retryAfterSeconds = 1;
        http::writeProblem(problem, response);
    }

} // namespace

void handleCall(CallContext& context, const http::Request& request, http::Response& response)
{
    auto deadline = now() + context.defaultTimeout;
    auto catalogue = context.catalogue.load();
    if (!authenticate(request, *catalogue, response))
        return;
    ServiceId service { request.matches.at(1) };
    auto workers = workersOf(service, *catalogue);
    if (workers.empty())
        return writeAnswer({}, response);
    thread_local Random random = makeRandom();
    AttemptId attempt { randomToken(random) };
    const auto& worker = workers[random() % workers.size()];
    writeAnswer(context.workers.call(worker.address, attempt, service, request.body, deadline), response);
}

} // namespace agatevane::entry

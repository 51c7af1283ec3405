#include "entry/call_runner.h"

#include <thread>

namespace agatevane::entry {

routing::Result routingResultOf(const WorkerAnswer& answer)
{
    constexpr int firstServerError = 500;
    switch (answer.outcome) {
    case CallOutcome::Answered:
        return answer.status < firstServerError ? routing::Result::Success : routing::Result::Failure;
    case CallOutcome::Leaving:
        return routing::Result::Leaving;
    case CallOutcome::Full:
        return routing::Result::Full;
    case CallOutcome::Unreachable:
        return routing::Result::Unreachable;
    case CallOutcome::TimedOut:
    case CallOutcome::InvalidAnswer:
        break;
    }
    return routing::Result::Failure;
}

bool pauseBeforeRetry(Instant deadline, Random& random)
{
    // The random delay keeps calls that were refused at the same time from retrying at the same time.
    auto pauseEnd = now() + Millis(uniform(random, 10, 30));
    if (pauseEnd >= deadline)
        return false;
    std::this_thread::sleep_until(pauseEnd);
    return true;
}

std::optional<routing::Choice> chooseWorkerOrWait(
    WorkerRouter& router, const routing::Query& query, Instant deadline, Random& random)
{
    while (true) {
        auto choice = router.choose(query);
        // If workers are excluded, the caller already has an answer or a refusal to return. If no worker is temporarily
        // full, waiting does not help.
        if (choice || !query.excluded.empty() || !router.hasTemporarilyFullWorker(query.service)
            || !pauseBeforeRetry(deadline, random))
            return choice;
    }
}

WorkerAnswer attemptCall(WorkerRouter& router, WorkerClient& workerClient, const routing::Choice& choice,
    const AttemptId& attempt, const CallToRun& call)
{
    auto sentAt = now();
    auto answer = workerClient.call(choice.address, attempt, call.service, call.body, call.deadline);
    router.finish(choice.worker, routingResultOf(answer), elapsed(sentAt, now()));
    return answer;
}

CallResult runIdempotentCall(
    WorkerRouter& router, WorkerClient& workerClient, EntryMetrics& metrics, const CallToRun& call)
{
    thread_local Random random = makeRandom();
    CallResult callResult;
    bool mayHaveRun = false;
    routing::Query query { call.service, true, {} };
    int attempts = 0; // Attempts that a full worker refused are not counted.
    while (true) {
        auto choice = chooseWorkerOrWait(router, query, call.deadline, random);
        bool wasLastWorkerFull = callResult.answer.outcome == CallOutcome::Full;
        if (!choice && wasLastWorkerFull && pauseBeforeRetry(call.deadline, random)) {
            query.excluded.clear();
            continue;
        }
        if (!choice)
            break;
        if (!callResult.worker.empty())
            metrics.retries.add();
        callResult.worker = choice->worker;
        callResult.attempt = { randomToken(random) };
        callResult.answer = attemptCall(router, workerClient, *choice, callResult.attempt, call);
        mayHaveRun = mayHaveRun || !didNotRun(callResult.answer.outcome);
        query.excluded.push_back(choice->worker);
        auto result = routingResultOf(callResult.answer);
        if (result == routing::Result::Success)
            break;
        attempts += result == routing::Result::Full ? 0 : 1;
        if (router.mayRetry(result, true, attempts, call.deadline))
            continue;
        // Full workers do not use up the retry budget; the call waits instead. It keeps its slot in the meantime, so
        // that later requests wait in the gate's fair queue instead of being refused at random.
        if (result != routing::Result::Full || !pauseBeforeRetry(call.deadline, random))
            break;
        query.excluded.clear();
    }
    if (callResult.answer.outcome == CallOutcome::Answered)
        callResult.outcome = Outcome::Done;
    else
        callResult.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    return callResult;
}

} // namespace agatevane::entry

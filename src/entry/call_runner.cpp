#include "entry/call_runner.h"

namespace agatevane::entry {

routing::Result resultOf(const WorkerAnswer& answer)
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
    case CallOutcome::Broken:
        break;
    }
    return routing::Result::Failure;
}

WorkerAnswer attemptCall(WorkerRouter& router, WorkerClient& workers, const routing::Choice& choice,
    const AttemptId& attempt, const CallToRun& call)
{
    auto sent = now();
    auto answer = workers.call(choice.address, attempt, call.service, call.body, call.deadline);
    router.finish(choice.worker, resultOf(answer), elapsed(sent, now()));
    return answer;
}

CallRun runIdempotentCall(WorkerRouter& router, WorkerClient& workers, EntryMetrics& metrics, const CallToRun& call)
{
    thread_local Random random = makeRandom();
    CallRun run;
    bool mayHaveRun = false;
    routing::Query query { call.service, true, {} };
    for (int attempts = 1;; ++attempts) {
        auto choice = router.choose(query);
        if (!choice)
            break;
        if (attempts > 1)
            metrics.retries.add();
        run.worker = choice->worker;
        run.attempt = { randomToken(random) };
        run.answer = attemptCall(router, workers, *choice, run.attempt, call);
        mayHaveRun = mayHaveRun || !isNotRun(run.answer.outcome);
        auto result = resultOf(run.answer);
        if (result == routing::Result::Success || !router.mayRetry(result, true, attempts, call.deadline))
            break;
        query.excluded.push_back(choice->worker);
    }
    if (run.answer.outcome == CallOutcome::Answered)
        run.outcome = Outcome::Done;
    else
        run.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    return run;
}

} // namespace agatevane::entry

#include "entry/call_runner.h"

#include <thread>

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

bool waitForSlot(Instant deadline, Random& random)
{
    // Spread, so that the calls that were refused together do not ask together again.
    auto until = now() + Millis(uniform(random, 10, 30));
    if (until >= deadline)
        return false;
    std::this_thread::sleep_until(until);
    return true;
}

std::optional<routing::Choice> chooseOrWait(
    WorkerRouter& router, const routing::Query& query, Instant deadline, Random& random)
{
    while (true) {
        auto choice = router.choose(query);
        // With workers excluded there is an answer or a refusal to fall back to; with none usable, waiting is in vain.
        if (choice || !query.excluded.empty() || !router.isAnyFull(query.service) || !waitForSlot(deadline, random))
            return choice;
    }
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
    int attempts = 0; // Without those that a full worker refused.
    while (true) {
        auto choice = chooseOrWait(router, query, call.deadline, random);
        bool isRefusedFull = run.answer.outcome == CallOutcome::Full;
        if (!choice && isRefusedFull && waitForSlot(call.deadline, random)) {
            query.excluded.clear();
            continue;
        }
        if (!choice)
            break;
        if (!run.worker.empty())
            metrics.retries.add();
        run.worker = choice->worker;
        run.attempt = { randomToken(random) };
        run.answer = attemptCall(router, workers, *choice, run.attempt, call);
        mayHaveRun = mayHaveRun || !isNotRun(run.answer.outcome);
        query.excluded.push_back(choice->worker);
        auto result = resultOf(run.answer);
        if (result == routing::Result::Success)
            break;
        attempts += result == routing::Result::Full ? 0 : 1;
        if (router.mayRetry(result, true, attempts, call.deadline))
            continue;
        // For full workers a wait takes the place of the budget. The call keeps its slot meanwhile, so that the
        // requests behind it queue at the gate, which is fair, instead of being refused at random.
        if (result != routing::Result::Full || !waitForSlot(call.deadline, random))
            break;
        query.excluded.clear();
    }
    if (run.answer.outcome == CallOutcome::Answered)
        run.outcome = Outcome::Done;
    else
        run.outcome = mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    return run;
}

} // namespace agatevane::entry

#include "agatevane/idempotency/claim_flow.h"

namespace agatevane {

namespace {

    using Step = ClaimFlow::Step;

    ClaimAction finish(ClaimFlow& flow, ClaimOutcome outcome, std::string reason, ClaimAnswer answer = {})
    {
        flow.step = Step::Finished;
        return FinishClaim { outcome, std::move(answer), std::move(reason) };
    }

    //! Nothing was sent under this flow's attempt, and nothing will be.
    ClaimAction finishUnsent(ClaimFlow& flow, std::string reason)
    {
        return finish(flow, ClaimOutcome::NotRun, std::move(reason));
    }

    ClaimAction write(ClaimFlow& flow, Step step)
    {
        flow.step = step;
        return WriteClaim { flow.own, flow.revision };
    }

    ClaimAction claimAttempt(ClaimFlow& flow, const ClaimWorker& worker, Random& random)
    {
        flow.own.attempt = { randomToken(random) };
        flow.own.worker = worker;
        flow.own.state = ClaimState::Claimed;
        flow.own.token = randomToken(random);
        flow.own.answer = {};
        flow.isHolder = false;
        flow.wasSent = false;
        ++flow.attempts;
        return write(flow, Step::Claiming);
    }

    //! Writes what became of the attempt that is being resolved, and answers afterwards.
    ClaimAction record(ClaimFlow& flow, ClaimState state, FinishClaim result, Random& random)
    {
        auto& base = flow.isHolder ? flow.own : flow.other;
        auto ownRequest = std::pair(flow.own.key, flow.own.requestDigest);
        flow.own = base;
        std::tie(flow.own.key, flow.own.requestDigest) = ownRequest;
        flow.own.state = state;
        flow.own.answer = result.answer;
        flow.own.token = randomToken(random);
        flow.result = std::move(result);
        return write(flow, Step::Recording);
    }

    ClaimAction ask(ClaimFlow& flow, Instant notBefore, bool forbid)
    {
        flow.step = Step::Asking;
        const auto& claim = flow.isHolder ? flow.own : flow.other;
        return QueryAttempt { claim.attempt, claim.worker, forbid, notBefore };
    }

    //! What the record of another writer means for this request.
    ClaimAction useRecord(ClaimFlow& flow, const Claim& current, Instant at, Random& random)
    {
        if (current.key != flow.own.key || current.requestDigest != flow.own.requestDigest)
            return finish(flow, ClaimOutcome::KeyReused, "the idempotency key belongs to another request");
        if (current.state == ClaimState::NotRun)
            return flow.attempts < flow.options.maxAttempts ? claimAttempt(flow, flow.own.worker, random)
                                                            : finishUnsent(flow, "earlier attempts were not run");
        if (current.state == ClaimState::Done && current.answer.hasBody)
            return finish(flow, ClaimOutcome::Done, "", current.answer);
        // Claimed, or done with an answer that only the worker has.
        flow.other = current;
        return ask(flow, at, false);
    }

    ClaimAction afterClaiming(ClaimFlow& flow, const ClaimWritten& written, Instant at, Random& random)
    {
        bool isOwn = written.current && written.current->token == flow.own.token;
        switch (written.outcome) {
        case WriteOutcome::NoEffect:
            return finish(flow, ClaimOutcome::NotSent, "the store cannot be reached");
        case WriteOutcome::Unknown:
            // The same write again: whichever of the two takes effect first makes the other one a conflict.
            return at < flow.deadline ? write(flow, Step::Claiming)
                                      : finish(flow, ClaimOutcome::NotSent, "the store did not answer in time");
        case WriteOutcome::Conflict:
            if (!isOwn) {
                flow.revision = written.revision;
                return written.current
                    ? useRecord(flow, *written.current, at, random)
                    : finish(flow, ClaimOutcome::NotSent, "the record of the request cannot be read");
            }
            break;
        case WriteOutcome::Written:
            break;
        }
        flow.revision = written.revision;
        flow.isHolder = true;
        if (at >= flow.deadline)
            return record(
                flow, ClaimState::NotRun, { ClaimOutcome::NotRun, {}, "the deadline passed before sending" }, random);
        flow.step = Step::Sending;
        flow.wasSent = true;
        return SendAttempt { flow.own.attempt, flow.own.worker };
    }

    ClaimAction afterSending(ClaimFlow& flow, const AttemptSent& sent, Instant at, Random& random)
    {
        switch (sent.outcome) {
        case SendOutcome::Answered:
            return record(flow, ClaimState::Done, { ClaimOutcome::Done, sent.answer, "" }, random);
        case SendOutcome::Refused:
            flow.result = { ClaimOutcome::NotRun, {}, sent.reason };
            if (flow.attempts < flow.options.maxAttempts && at < flow.deadline) {
                flow.step = Step::Choosing;
                return ChooseWorker { flow.own.worker.id };
            }
            return record(flow, ClaimState::NotRun, flow.result, random);
        case SendOutcome::Unknown:
            break;
        }
        return ask(flow, at, false);
    }

    ClaimAction afterAsking(ClaimFlow& flow, const AttemptQueried& asked, Instant at, Random& random)
    {
        const auto& claim = flow.isHolder ? flow.own : flow.other;
        auto nextQuestion = at + flow.options.queryInterval;
        if (asked.state == AttemptState::Done) {
            if (claim.state == ClaimState::Done) // The record has no body, only its length and digest.
                return asked.answer.digest == claim.answer.digest
                    ? finish(flow, ClaimOutcome::Done, "", asked.answer)
                    : finish(flow, ClaimOutcome::Unknown, "the worker has another answer than the one recorded");
            return record(flow, ClaimState::Done, { ClaimOutcome::Done, asked.answer, "" }, random);
        }
        if (claim.state == ClaimState::Done)
            return finish(flow, ClaimOutcome::Unknown, "the request ran, but its answer is no longer available");
        bool isSameInstance = asked.instance == claim.worker.instance;
        if (asked.state == AttemptState::Forbidden && isSameInstance)
            return record(flow, ClaimState::NotRun, { ClaimOutcome::NotRun, {}, "the attempt was forbidden" }, random);
        bool wasRestarted
            = asked.state != AttemptState::Unreachable && asked.state != AttemptState::Running && !isSameInstance;
        if (wasRestarted)
            return finish(flow, ClaimOutcome::Unknown, "the worker has been restarted since the request was sent");
        if (at >= flow.deadline) {
            return asked.state == AttemptState::Running
                ? finish(flow, ClaimOutcome::InProgress, "the request is still running")
                : finish(flow, ClaimOutcome::Unknown, "the worker did not answer in time");
        }
        if (asked.state != AttemptState::NeverSeen)
            return ask(flow, nextQuestion, false);
        // The holder's own message may still be under way, but it must not arrive after this.
        if (flow.isHolder || ++flow.unseenAnswers >= flow.options.queriesBeforeForbid)
            return ask(flow, at, true);
        return ask(flow, nextQuestion, false);
    }

    //! Another VM has changed the record while the attempt was being resolved here.
    ClaimAction afterLosingRecord(ClaimFlow& flow, const ClaimWritten& written, Instant at, Random& random)
    {
        const auto& current = written.current;
        bool isSameAttempt = current && current->attempt == flow.own.attempt;
        bool isSameAnswer = isSameAttempt && current->state == flow.own.state
            && (current->state != ClaimState::Done || current->answer.digest == flow.own.answer.digest);
        if (isSameAnswer || (!current && flow.result.outcome == ClaimOutcome::NotRun)) {
            flow.step = Step::Finished;
            return flow.result;
        }
        if (!current || flow.result.outcome == ClaimOutcome::Done)
            return finish(flow, ClaimOutcome::Unknown, "the record of the request was replaced");
        // A repeat has claimed a new attempt, which may have run by now.
        flow.isHolder = false;
        flow.revision = written.revision;
        return useRecord(flow, *current, at, random);
    }

    ClaimAction afterRecording(ClaimFlow& flow, const ClaimWritten& written, Instant at, Random& random)
    {
        bool isOwn = written.current && written.current->token == flow.own.token;
        if (written.outcome == WriteOutcome::Written || (written.outcome == WriteOutcome::Conflict && isOwn)) {
            flow.step = Step::Finished;
            return flow.result;
        }
        if (written.outcome == WriteOutcome::Conflict)
            return afterLosingRecord(flow, written, at, random);
        // Not run is true without its record; a later repeat finds the same out from the worker.
        bool canDoWithout = flow.result.outcome == ClaimOutcome::NotRun && written.outcome == WriteOutcome::NoEffect;
        if (at < flow.deadline && !canDoWithout)
            return write(flow, Step::Recording);
        if (flow.result.outcome == ClaimOutcome::NotRun) {
            flow.step = Step::Finished;
            return flow.result;
        }
        return finish(flow, ClaimOutcome::Unknown, "the answer could not be recorded in time");
    }

    ClaimAction afterChoosing(ClaimFlow& flow, const WorkerChosen& chosen, Random& random)
    {
        if (!chosen.worker)
            return record(flow, ClaimState::NotRun, flow.result, random);
        return claimAttempt(flow, *chosen.worker, random);
    }

} // namespace

ClaimAction begin(ClaimFlow& flow, const std::string& key, const std::string& requestDigest, const ClaimWorker& worker,
    Instant deadline, Random& random)
{
    flow.deadline = deadline;
    flow.own.key = key;
    flow.own.requestDigest = requestDigest;
    return claimAttempt(flow, worker, random);
}

ClaimAction advance(ClaimFlow& flow, const ClaimInput& input, Instant at, Random& random)
{
    if (const auto* written = std::get_if<ClaimWritten>(&input))
        return flow.step == Step::Claiming ? afterClaiming(flow, *written, at, random)
                                           : afterRecording(flow, *written, at, random);
    if (const auto* sent = std::get_if<AttemptSent>(&input))
        return afterSending(flow, *sent, at, random);
    if (const auto* asked = std::get_if<AttemptQueried>(&input))
        return afterAsking(flow, *asked, at, random);
    return afterChoosing(flow, std::get<WorkerChosen>(input), random);
}

} // namespace agatevane

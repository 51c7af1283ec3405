#include "agatevane/idempotency/claim_flow.h"

namespace agatevane {

namespace {

    using Step = ClaimFlow::Step;

    ClaimAction finish(ClaimFlow& flow, ClaimOutcome outcome, std::string reason, ClaimAnswer answer = {})
    {
        flow.step = Step::Finished;
        return FinishClaim { outcome, std::move(answer), std::move(reason) };
    }

    //! Ends a flow that has sent nothing under its attempt and never will.
    ClaimAction finishUnsent(ClaimFlow& flow, std::string reason)
    {
        return finish(flow, ClaimOutcome::NotRun, std::move(reason));
    }

    ClaimAction write(ClaimFlow& flow, Step step)
    {
        flow.step = step;
        return WriteClaim { flow.ownClaim, flow.revision };
    }

    ClaimAction claimAttempt(ClaimFlow& flow, const ClaimWorker& worker, Random& random)
    {
        flow.ownClaim.attempt = { randomToken(random) };
        flow.ownClaim.worker = worker;
        flow.ownClaim.state = ClaimState::Claimed;
        flow.ownClaim.token = randomToken(random);
        flow.ownClaim.answer = {};
        flow.holdsRecord = false;
        flow.wasSent = false;
        ++flow.attempts;
        return write(flow, Step::Claiming);
    }

    //! Records the state of the attempt that is being resolved. The flow returns `result` once the record is written.
    ClaimAction record(ClaimFlow& flow, ClaimState state, FinishClaim result, Random& random)
    {
        auto& attemptClaim = flow.holdsRecord ? flow.ownClaim : flow.otherClaim;
        auto ownKeyAndDigest = std::pair(flow.ownClaim.key, flow.ownClaim.requestDigest);
        flow.ownClaim = attemptClaim;
        std::tie(flow.ownClaim.key, flow.ownClaim.requestDigest) = ownKeyAndDigest;
        flow.ownClaim.state = state;
        flow.ownClaim.answer = result.answer;
        flow.ownClaim.token = randomToken(random);
        flow.result = std::move(result);
        return write(flow, Step::Recording);
    }

    ClaimAction query(ClaimFlow& flow, Instant notBefore, bool forbid)
    {
        flow.step = Step::Querying;
        const auto& claim = flow.holdsRecord ? flow.ownClaim : flow.otherClaim;
        return QueryAttempt { claim.attempt, claim.worker, forbid, notBefore };
    }

    //! Continues this request from a record that another writer left: claims a new attempt, returns the recorded answer
    //! or queries the recorded attempt.
    ClaimAction resolveRecord(ClaimFlow& flow, const Claim& current, Instant at, Random& random)
    {
        if (current.key != flow.ownClaim.key || current.requestDigest != flow.ownClaim.requestDigest)
            return finish(flow, ClaimOutcome::KeyReused, "the idempotency key belongs to another request");
        if (current.state == ClaimState::NotRun)
            return flow.attempts < flow.options.maxAttempts ? claimAttempt(flow, flow.ownClaim.worker, random)
                                                            : finishUnsent(flow, "earlier attempts were not run");
        if (current.state == ClaimState::Done && current.answer.hasBody)
            return finish(flow, ClaimOutcome::Done, "", current.answer);
        // The attempt is claimed, or is done with an answer that only the worker holds.
        flow.otherClaim = current;
        return query(flow, at, false);
    }

    ClaimAction afterClaiming(ClaimFlow& flow, const ClaimWritten& written, Instant at, Random& random)
    {
        bool isOwnWrite = written.current && written.current->token == flow.ownClaim.token;
        switch (written.outcome) {
        case WriteOutcome::NoEffect:
            return finish(flow, ClaimOutcome::NotSent, "the store cannot be reached");
        case WriteOutcome::Unknown:
            // The write is repeated: whichever of the two takes effect first makes the other one a conflict.
            return at < flow.deadline ? write(flow, Step::Claiming)
                                      : finish(flow, ClaimOutcome::NotSent, "the store did not answer in time");
        case WriteOutcome::Conflict:
            if (!isOwnWrite) {
                flow.revision = written.revision;
                return written.current
                    ? resolveRecord(flow, *written.current, at, random)
                    : finish(flow, ClaimOutcome::NotSent, "the record of the request cannot be read");
            }
            break;
        case WriteOutcome::Written:
            break;
        }
        flow.revision = written.revision;
        flow.holdsRecord = true;
        if (at >= flow.deadline)
            return record(
                flow, ClaimState::NotRun, { ClaimOutcome::NotRun, {}, "the deadline passed before sending" }, random);
        flow.step = Step::Sending;
        flow.wasSent = true;
        return SendAttempt { flow.ownClaim.attempt, flow.ownClaim.worker };
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
                return ChooseWorker { flow.ownClaim.worker.id };
            }
            return record(flow, ClaimState::NotRun, flow.result, random);
        case SendOutcome::Unknown:
            break;
        }
        return query(flow, at, false);
    }

    ClaimAction afterQuerying(ClaimFlow& flow, const AttemptQueried& queried, Instant at, Random& random)
    {
        const auto& claim = flow.holdsRecord ? flow.ownClaim : flow.otherClaim;
        auto nextQueryAt = at + flow.options.queryInterval;
        if (queried.state == AttemptState::Done) {
            if (claim.state == ClaimState::Done) // The record holds only the length and digest of the body.
                return queried.answer.digest == claim.answer.digest
                    ? finish(flow, ClaimOutcome::Done, "", queried.answer)
                    : finish(flow, ClaimOutcome::Unknown, "the worker has another answer than the one recorded");
            return record(flow, ClaimState::Done, { ClaimOutcome::Done, queried.answer, "" }, random);
        }
        if (claim.state == ClaimState::Done)
            return finish(flow, ClaimOutcome::Unknown, "the request ran, but its answer is no longer available");
        bool isSameInstance = queried.instance == claim.worker.instance;
        if (queried.state == AttemptState::Forbidden && isSameInstance)
            return record(flow, ClaimState::NotRun, { ClaimOutcome::NotRun, {}, "the attempt was forbidden" }, random);
        bool wasRestarted
            = queried.state != AttemptState::Unreachable && queried.state != AttemptState::Running && !isSameInstance;
        if (wasRestarted)
            return finish(flow, ClaimOutcome::Unknown, "the worker has been restarted since the request was sent");
        if (at >= flow.deadline) {
            return queried.state == AttemptState::Running
                ? finish(flow, ClaimOutcome::InProgress, "the request is still running")
                : finish(flow, ClaimOutcome::Unknown, "the worker did not answer in time");
        }
        if (queried.state != AttemptState::NeverSeen)
            return query(flow, nextQueryAt, false);
        // This flow's own message may still be in transit; forbidding the attempt ensures that a later arrival is
        // refused.
        if (flow.holdsRecord || ++flow.neverSeenAnswers >= flow.options.queriesBeforeForbid)
            return query(flow, at, true);
        return query(flow, nextQueryAt, false);
    }

    //! Another VM has changed the record while this flow was resolving the attempt.
    ClaimAction afterRecordConflict(ClaimFlow& flow, const ClaimWritten& written, Instant at, Random& random)
    {
        const auto& current = written.current;
        bool isSameAttempt = current && current->attempt == flow.ownClaim.attempt;
        bool isSameAnswer = isSameAttempt && current->state == flow.ownClaim.state
            && (current->state != ClaimState::Done || current->answer.digest == flow.ownClaim.answer.digest);
        if (isSameAnswer || (!current && flow.result.outcome == ClaimOutcome::NotRun)) {
            flow.step = Step::Finished;
            return flow.result;
        }
        if (!current || flow.result.outcome == ClaimOutcome::Done)
            return finish(flow, ClaimOutcome::Unknown, "the record of the request was replaced");
        // A repeated request has claimed a new attempt, which may have run by now.
        flow.holdsRecord = false;
        flow.revision = written.revision;
        return resolveRecord(flow, *current, at, random);
    }

    ClaimAction afterRecording(ClaimFlow& flow, const ClaimWritten& written, Instant at, Random& random)
    {
        bool isOwnWrite = written.current && written.current->token == flow.ownClaim.token;
        if (written.outcome == WriteOutcome::Written || (written.outcome == WriteOutcome::Conflict && isOwnWrite)) {
            flow.step = Step::Finished;
            return flow.result;
        }
        if (written.outcome == WriteOutcome::Conflict)
            return afterRecordConflict(flow, written, at, random);
        // NotRun holds even if it is not recorded; a later repeat learns the same from the worker.
        bool isRecordOptional
            = flow.result.outcome == ClaimOutcome::NotRun && written.outcome == WriteOutcome::NoEffect;
        if (at < flow.deadline && !isRecordOptional)
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
    flow.ownClaim.key = key;
    flow.ownClaim.requestDigest = requestDigest;
    return claimAttempt(flow, worker, random);
}

ClaimAction advance(ClaimFlow& flow, const ClaimInput& input, Instant at, Random& random)
{
    if (const auto* written = std::get_if<ClaimWritten>(&input))
        return flow.step == Step::Claiming ? afterClaiming(flow, *written, at, random)
                                           : afterRecording(flow, *written, at, random);
    if (const auto* sent = std::get_if<AttemptSent>(&input))
        return afterSending(flow, *sent, at, random);
    if (const auto* queried = std::get_if<AttemptQueried>(&input))
        return afterQuerying(flow, *queried, at, random);
    return afterChoosing(flow, std::get<WorkerChosen>(input), random);
}

} // namespace agatevane

#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include "agatevane/idempotency/claim.h"
#include <variant>

//! One non-idempotent request at one VM as a state machine: claim, send once, record, answer. No I/O: the driver
//! carries out the returned action and reports what happened.
namespace agatevane {

// ---- actions

//! Writes the record if the key's modification revision is `expectedRevision` (0: the key does not exist).
struct WriteClaim {
    Claim claim;
    std::int64_t expectedRevision = 0;
};

//! Sends the attempt, exactly once, for that instance of the worker only.
struct SendAttempt {
    AttemptId attempt;
    ClaimWorker worker;
};

//! Asks the worker what became of the attempt; with `forbid`, an attempt that it has never seen is refused for good.
struct QueryAttempt {
    AttemptId attempt;
    ClaimWorker worker;
    bool forbid = false;
    Instant notBefore; //!< later than now if the same question was just answered
};

//! Chooses another worker, since this one refused before the start.
struct ChooseWorker {
    WorkerId refusedBy;
};

enum class ClaimOutcome {
    Done, //!< `answer` is whole, and recorded unless it is too large
    NotRun, //!< no attempt of this request ran or will run
    Unknown,
    NotSent, //!< this request sent nothing, but its record cannot be read: an earlier one with its key may have run
    InProgress, //!< another VM's attempt is running
    KeyReused //!< another request has the same idempotency key; this one was not run
};

struct FinishClaim {
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    ClaimAnswer answer;
    std::string reason;
};

using ClaimAction = std::variant<WriteClaim, SendAttempt, QueryAttempt, ChooseWorker, FinishClaim>;

// ---- inputs

enum class WriteOutcome {
    Written,
    Conflict, //!< `current` holds the record, or nothing if the key does not exist
    NoEffect, //!< the store was not reached
    Unknown //!< the answer was lost; the write may still take effect
};

struct ClaimWritten {
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::int64_t revision = 0; //!< of the record, after Written and Conflict
    std::optional<Claim> current;
};

enum class SendOutcome {
    Answered, //!< `answer` is whole and belongs to the attempt
    Refused, //!< before the start, or no connection was made
    Unknown //!< may have run, may still run
};

struct AttemptSent {
    SendOutcome outcome = SendOutcome::Unknown;
    ClaimAnswer answer;
    std::string reason;
};

enum class AttemptState { Done, Running, NeverSeen, Forbidden, Unreachable };

struct AttemptQueried {
    AttemptState state = AttemptState::Unreachable;
    std::string instance; //!< that answered
    ClaimAnswer answer; //!< whole, if done
};

struct WorkerChosen {
    std::optional<ClaimWorker> worker; //!< nothing if there is no other
};

using ClaimInput = std::variant<ClaimWritten, AttemptSent, AttemptQueried, WorkerChosen>;

// ---- the machine

struct ClaimOptions {
    Millis queryInterval { 200 };
    //! How often another VM's attempt that its worker has not seen is asked for before it is forbidden; its holder may
    //! be about to send it.
    int queriesBeforeForbid = 5;
    int maxAttempts = 3; //!< workers tried after refusals before the start
};

struct ClaimFlow {
    ClaimOptions options;
    Instant deadline;
    Claim own; //!< the record as this VM last wrote or is writing it
    std::int64_t revision = 0; //!< of the record in the store, as far as known
    bool isHolder = false; //!< the record holds an attempt of this flow
    bool wasSent = false; //!< that attempt was handed to the network
    int attempts = 0;
    int unseenAnswers = 0;
    Claim other; //!< the record of another VM whose attempt is being resolved
    FinishClaim result; //!< what to answer after the record is written
    enum class Step { Claiming, Sending, Asking, Recording, Choosing, Finished } step = Step::Claiming;
};

//! Begins with the first write. `deadline` bounds the whole request.
ClaimAction begin(ClaimFlow& flow, const std::string& key, const std::string& requestDigest, const ClaimWorker& worker,
    Instant deadline, Random& random);

//! The next action after `input`, which reports on the last one.
ClaimAction advance(ClaimFlow& flow, const ClaimInput& input, Instant at, Random& random);

} // namespace agatevane

#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include "agatevane/idempotency/claim.h"
#include <variant>

//! State machine for one non-idempotent request at one VM: it claims the idempotency key, sends the attempt once,
//! records the answer and returns it. It does no I/O: its caller carries out each returned action and passes the result
//! back.
namespace agatevane {

// ---- Actions

//! Writes the record if the key's modification revision is `expectedRevision` (0: the key does not exist).
struct WriteClaim {
    Claim claim;
    std::int64_t expectedRevision = 0;
};

//! Sends the attempt exactly once. Only the given instance of the worker may run it.
struct SendAttempt {
    AttemptId attempt;
    ClaimWorker worker;
};

//! Queries the attempt's state at the worker. With `forbid`, a worker that has never seen the attempt refuses it from
//! then on.
struct QueryAttempt {
    AttemptId attempt;
    ClaimWorker worker;
    bool forbid = false;
    //! Earliest time for the query; in the future if the worker answered the same query a moment ago.
    Instant notBefore;
};

//! Chooses another worker, because `refusedBy` refused the attempt before it started.
struct ChooseWorker {
    WorkerId refusedBy;
};

enum class ClaimOutcome {
    //! `answer` is complete and recorded. Only length and digest are recorded of an answer too large for the record.
    Done,
    NotRun, //!< no attempt of this request ran or will run
    Unknown, //!< an attempt may have run
    //! This flow sent nothing, but could not read or write its record: an earlier request with the key may have run.
    NotSent,
    InProgress, //!< another VM's attempt is running
    KeyReused //!< a different request has used the same idempotency key; this one was not run
};

struct FinishClaim {
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    ClaimAnswer answer;
    std::string reason;
};

using ClaimAction = std::variant<WriteClaim, SendAttempt, QueryAttempt, ChooseWorker, FinishClaim>;

// ---- Inputs: the results of the actions

enum class WriteOutcome {
    Written,
    Conflict, //!< `current` holds the record, or nothing if the key does not exist
    NoEffect, //!< the write had no effect and never will; usually it did not reach the store
    Unknown //!< the answer was lost; the write may still take effect
};

struct ClaimWritten {
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::int64_t revision = 0; //!< modification revision of the record after Written and Conflict
    std::optional<Claim> current; //!< the record in the store, after Conflict
};

enum class SendOutcome {
    Answered, //!< `answer` is complete and belongs to the attempt
    Refused, //!< the worker refused the attempt before it started, or no connection was made
    Unknown //!< the attempt may have run or may still run
};

struct AttemptSent {
    SendOutcome outcome = SendOutcome::Unknown;
    ClaimAnswer answer;
    std::string reason;
};

enum class AttemptState { Done, Running, NeverSeen, Forbidden, Unreachable };

struct AttemptQueried {
    AttemptState state = AttemptState::Unreachable;
    std::string instance; //!< instance of the worker that answered
    ClaimAnswer answer; //!< complete answer if `state` is Done
};

struct WorkerChosen {
    std::optional<ClaimWorker> worker; //!< nothing if no other worker is available
};

using ClaimInput = std::variant<ClaimWritten, AttemptSent, AttemptQueried, WorkerChosen>;

// ---- State machine

struct ClaimOptions {
    Millis queryInterval { 200 }; //!< time between two queries of the same attempt
    //! Number of queries that must find another VM's attempt unknown to its worker before the attempt is forbidden. The
    //! VM that claimed it may be about to send it.
    int queriesBeforeForbid = 5;
    int maxAttempts = 3; //!< limit of attempts when workers refuse before the start
};

struct ClaimFlow {
    ClaimOptions options;
    Instant deadline;
    Claim ownClaim; //!< the record that this VM wrote last or is writing
    std::int64_t revision = 0; //!< last known modification revision of the record in the store; 0 if there is none
    bool holdsRecord = false; //!< whether the record in the store holds an attempt of this flow
    bool wasSent = false; //!< whether that attempt was handed to the network
    int attempts = 0; //!< attempts claimed by this flow
    int neverSeenAnswers = 0; //!< queries that found another VM's attempt unknown to its worker
    Claim otherClaim; //!< the record of another VM whose attempt is being resolved
    FinishClaim result; //!< the result to return once the record is written
    enum class Step { Claiming, Sending, Querying, Recording, Choosing, Finished } step = Step::Claiming;
};

//! Starts the flow and returns the first action, which writes the claim. `deadline` bounds the whole request.
ClaimAction begin(ClaimFlow& flow, const std::string& key, const std::string& requestDigest, const ClaimWorker& worker,
    Instant deadline, Random& random);

//! Returns the next action. `input` is the result of the previous one.
ClaimAction advance(ClaimFlow& flow, const ClaimInput& input, Instant at, Random& random);

} // namespace agatevane

#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/journal/record.h"
#include "agatevane/store_call/store_call.h"
#include "agatevane/worker_api/worker_api.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

//! State machine of the journal of one data centre, which the owner of the data centre writes and replays. It does no
//! I/O and has at most one store call in progress.
namespace agatevane::journal {

struct Timing {
    Millis commitInterval { 100 }; //!< minimum time between two new batches
    Millis retryDelay { 500 }; //!< wait after a store call without an answer
    Millis answerTimeout { 3000 }; //!< longer than the store client's own timeout
    int batchesBeforeCompaction = 64;
    std::size_t maxKeptOutcomes = 20000; //!< outcomes kept for callers that query a job or repeat its submission later
};

//! State of one job according to its records. Applying a record is idempotent and the first outcome wins, so that a
//! snapshot that overlaps batches or an older snapshot changes nothing.
struct JournaledJob {
    JobSpec spec;
    bool isAccepted = false;
    std::optional<Record> outcome;
    std::uint64_t outcomeOrder = 0; //!< order in which outcomes were applied; the lowest is the oldest
    //! Whether a completed compaction has left only the outcome, without the Accepted record.
    bool isOutcomeCompacted = false;
};

//! A record that is not known to be durable yet.
struct PendingRecord {
    std::uint64_t sequence = 0; //!< position in the order of appends, from 1
    Record record;
    std::string encoded;
};

enum class Phase { Idle, Writing, Reading, Compacting, Replaying };

struct State {
    DataCentreId dataCentre;
    std::string ownerKey;
    Timing timing;

    Epoch epoch = 0;
    std::int64_t ownerRevision = 0;
    std::string tokenPrefix;
    bool isReplayed = false;
    bool isFenced = false;

    std::map<JobId, JournaledJob> jobs;
    std::uint64_t nextOutcomeOrder = 1;

    std::deque<PendingRecord> pending;
    std::vector<PendingRecord> batch; //!< records being written; kept until the outcome of the write is known
    std::string batchKey;
    std::string batchToken;
    std::string batchValue;
    bool mayHaveEffect = false; //!< whether an earlier write of this batch got no answer
    bool mustReadBack = false; //!< whether the batch key must be read to learn if the batch was written
    bool hadConflict = false; //!< whether a write of this batch was answered with a conflict

    Phase phase = Phase::Idle;
    std::uint64_t currentCallId = 0;
    Instant sentAt;
    Instant nextCommitAt;
    Instant nextAttemptAt;
    bool isStoreUnavailable = false; //!< whether the last store call got no answer

    std::uint64_t nextBatchSequence = 1;
    std::uint64_t nextRecordSequence = 1;
    std::uint64_t nextCallId = 1;
    std::uint64_t firstCallId = 1; //!< smaller call ids belong to an earlier tenure
    std::string replayFrom; //!< first key of the next page to replay

    int batchesSinceCompaction = 0;
    std::uint64_t snapshotGeneration = 0;
    std::deque<StoreCall> compaction; //!< remaining steps of the compaction in progress
    std::vector<JobId> compactedOutcomes; //!< jobs marked `isOutcomeCompacted` after the last step of the compaction
};

//! What a call of `tick` or `onStoreReply` has led to.
struct Result {
    std::optional<StoreCall> call; //!< the store call to send now
    std::vector<PendingRecord> committed;
    std::vector<PendingRecord> dropped; //!< records that are not durable and never will be
    bool didFinishReplay = false;
    bool wasFenced = false; //!< another owner has replaced the owner record; nothing more can be written
};

//! `ownerRevision` is the owner record's modification revision, which guards every write.
State makeState(const DataCentreId& dataCentre, const std::string& ownerKey, Epoch epoch, std::int64_t ownerRevision,
    const std::string& tokenPrefix, Instant at);

//! Queues a record and returns its sequence.
std::uint64_t append(State& state, Record record);

//! Whether a new job may be accepted: the journal is replayed and not fenced, and the last store call was answered.
bool isAvailable(const State& state);

//! Starts the next store call that is due; takes a call without an answer within `answerTimeout` for Unknown.
Result tick(State& state, Instant at);
//! Handles the answer to a store call; ignores answers to calls other than the current one.
Result onStoreReply(State& state, const StoreReply& reply, Instant at);

//! Removes and returns the queued records that are in no batch, so were never sent. Used when ownership is lost.
std::vector<PendingRecord> takeUnsent(State& state);

//! Updates `state.jobs` with a durable record.
void applyRecord(State& state, const Record& record);

//! Queues the steps that replace all batches written so far by the chunks of a snapshot.
void planCompaction(State& state);

std::string journalPrefix(const DataCentreId& dataCentre);
std::string snapshotPrefix(const DataCentreId& dataCentre);

} // namespace agatevane::journal

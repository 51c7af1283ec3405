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

//! The journal of one data centre, as its owner writes and replays it. No I/O; one store call at a time.
namespace agatevane::journal {

struct Timing {
    Millis commitInterval { 100 };
    Millis retry { 500 };
    Millis answerTimeout { 3000 }; //!< longer than the store client's own timeout
    int batchesBeforeCompaction = 64;
    std::size_t maxKeptOutcomes = 20000; //!< outcomes kept for callers that ask or repeat a submission later
};

//! What the journal says about one job. Folding is idempotent and the first final record wins, so that a snapshot that
//! overlaps batches or an older snapshot changes nothing.
struct JournaledJob {
    JobSpec spec;
    bool isAccepted = false;
    std::optional<Record> outcome;
    std::uint64_t outcomeOrder = 0; //!< age among the final records
    bool isOutcomeCompacted = false; //!< a completed snapshot holds only the outcome
};

struct PendingRecord {
    std::uint64_t sequence = 0;
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
    std::vector<PendingRecord> batch; //!< being written; kept until its fate is known
    std::string batchKey;
    std::string batchToken;
    std::string batchValue;
    bool mayHaveEffect = false; //!< an earlier write of this batch got no answer
    bool mustRead = false;
    bool hasConflict = false; //!< a write of this batch was answered with a conflict

    Phase phase = Phase::Idle;
    std::uint64_t callId = 0;
    Instant sentAt;
    Instant nextCommit;
    Instant nextTry;
    bool isStoreDown = false;

    std::uint64_t nextBatchSequence = 1;
    std::uint64_t nextRecordSequence = 1;
    std::uint64_t nextCallId = 1;
    std::uint64_t firstCallId = 1; //!< smaller ids belong to an earlier tenure
    std::string replayFrom;

    int batchesSinceCompaction = 0;
    std::uint64_t snapshotGeneration = 0;
    std::deque<StoreCall> compaction; //!< remaining steps
    std::vector<JobId> compactedOutcomes; //!< become `isOutcomeCompacted` after the last step
};

struct Result {
    std::optional<StoreCall> call;
    std::vector<PendingRecord> committed;
    std::vector<PendingRecord> dropped; //!< certainly not durable, now or later
    bool didFinishReplay = false;
    bool wasFenced = false;
};

//! `ownerRevision` is the owner record's modification revision, which guards every write.
State makeState(const DataCentreId& dataCentre, const std::string& ownerKey, Epoch epoch, std::int64_t ownerRevision,
    const std::string& tokenPrefix, Instant at);

//! Queues a record and returns its ticket.
std::uint64_t append(State& state, Record record);

//! Whether a new job may be promised: the journal is replayed and the last store call was answered.
bool isAvailable(const State& state);

Result tick(State& state, Instant at);
Result onStoreReply(State& state, const StoreReply& reply, Instant at);

//! Removes the Accepted records that were never sent; for a loss of ownership.
std::vector<PendingRecord> takeUnsent(State& state);

void fold(State& state, const Record& record);

//! Steps that replace all batches written so far by snapshot chunks.
void planCompaction(State& state);

std::string journalPrefix(const DataCentreId& dataCentre);
std::string snapshotPrefix(const DataCentreId& dataCentre);

} // namespace agatevane::journal

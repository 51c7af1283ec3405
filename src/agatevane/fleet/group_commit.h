#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/kv/kv.h"
#include <vector>

//! Group commit: one transaction of the store writes the records of many changes. The acceptance of a job also stores
//! the settings of its queue. A write of many records may take several transactions, and other writes may come between
//! them.
namespace agatevane::fleet {

constexpr const char* acceptancePrefix = "agatevane/job/";
constexpr const char* progressPrefix = "agatevane/progress/";

//! Bounds of one batch. A batch has at least one write, or a part of one, whatever its size.
struct BatchLimits {
    std::size_t entries = 0; //!< puts and deletes
    std::size_t bytes = 256UL * 1024; //!< of all values together
};

//! A write, or that part of it that is in the batch.
struct TakenWrite {
    PendingWrite write;
    std::set<PartNumber> parts; //!< written or removed by the batch
    bool isComplete = true; //!< the write is durable once the batch is
    std::size_t entries = 0; //!< that the write has added to the batch
};

struct WriteBatch {
    std::vector<TakenWrite> writes;
    std::vector<kv::Put> puts;
    std::vector<std::string> deletes;

    //! The newest write that is durable once the batch is; 0: there is none.
    CommitSequence lastSequence() const;
};

//! Removes the oldest writes that are due at `at` from the queue and encodes their records in their present state.
WriteBatch takeBatch(Fleet& fleet, const BatchLimits& limits, Instant at);
WriteBatch takeBatch(Fleet& fleet, std::size_t maxEntries);
//! Puts a batch that the store has certainly not applied back at the head of the queue.
void returnBatch(Fleet& fleet, const WriteBatch& batch);
//! Adds the records of `batch` to `txn`.
void encodeBatch(const WriteBatch& batch, kv::Txn& txn);
//! Records that the batch is durable.
void applyCommitted(Fleet& fleet, const WriteBatch& batch);

} // namespace agatevane::fleet

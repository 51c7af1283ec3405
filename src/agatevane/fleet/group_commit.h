#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/kv/kv.h"

//! Group commit: one transaction of the store writes the records of many changes. The acceptance of a job also stores
//! the settings of its queue.
namespace agatevane::fleet {

constexpr const char* acceptancePrefix = "agatevane/job/";
constexpr const char* progressPrefix = "agatevane/progress/";

struct WriteBatch {
    std::vector<PendingWrite> writes;

    CommitSequence lastSequence() const { return writes.empty() ? 0 : writes.back().sequence; }
};

//! Removes the oldest writes, with at most `maxEntries` records, from the queue.
WriteBatch takeBatch(Fleet& fleet, std::size_t maxEntries);
//! Puts a batch that the store has certainly not applied back at the head of the queue.
void returnBatch(Fleet& fleet, const WriteBatch& batch);
//! Adds the records of `batch`, in their present state, to `txn`.
void encodeBatch(Fleet& fleet, const WriteBatch& batch, kv::Txn& txn);

} // namespace agatevane::fleet

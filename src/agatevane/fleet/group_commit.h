#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/kv/kv.h"

//! Group commit: many changed records travel in one transaction of the store.
namespace agatevane::fleet {

constexpr const char* acceptancePrefix = "agatevane/job/";
constexpr const char* progressPrefix = "agatevane/progress/";

struct WriteBatch {
    std::vector<PendingWrite> writes;

    CommitSequence lastSequence() const { return writes.empty() ? 0 : writes.back().ticket; }
};

//! Takes the oldest writes, at most `maxEntries` records, out of the queue.
WriteBatch takeBatch(Fleet& fleet, std::size_t maxEntries);
//! Puts a batch that was certainly not applied back in its place.
void returnBatch(Fleet& fleet, const WriteBatch& batch);
//! The records of `batch` as they are now.
void encodeBatch(Fleet& fleet, const WriteBatch& batch, kv::Txn& txn);

} // namespace agatevane::fleet

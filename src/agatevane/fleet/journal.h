#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/kv/kv.h"

//! Group commit: many changed records travel in one transaction of the store.
namespace agatevane::fleet {

constexpr const char* acceptancePrefix = "agatevane/job/";
constexpr const char* progressPrefix = "agatevane/progress/";

struct Batch {
    std::vector<PendingWrite> writes;

    Ticket lastTicket() const { return writes.empty() ? 0 : writes.back().ticket; }
};

//! Takes the oldest writes, at most `maxEntries` records, out of the queue.
Batch takeBatch(Fleet& fleet, std::size_t maxEntries);
//! Puts a batch that was certainly not applied back in its place.
void returnBatch(Fleet& fleet, const Batch& batch);
//! The records of `batch` as they are now.
void encodeBatch(Fleet& fleet, const Batch& batch, kv::Txn& txn);

} // namespace agatevane::fleet

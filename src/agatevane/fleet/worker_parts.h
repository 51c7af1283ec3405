#pragma once

#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/workers.h"
#include "agatevane/kv/kv.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! How the record of workers, see worker_record.h, is stored: as one value, or, once that grows long, in parts by the
//! digests of the workers' ids, of which only those that have changed are written. The key of the one value then says
//! that there are parts, which an owner of an earlier build can't read: it waits for all workers.
namespace agatevane::fleet {

constexpr const char* knownWorkersKey = "agatevane/workers";
//! Followed by the number of the part.
constexpr const char* workerPartPrefix = "agatevane/workers/";
//! A longer record is split.
constexpr std::size_t maxWholeWorkerBytes = 64UL * 1024;

using WorkerPart = std::uint32_t;

//! What the store holds.
struct StoredWorkers {
    std::string whole; //!< the undivided record; empty: none
    bool isSplit = false;
    std::map<WorkerPart, std::string> parts;
    WorkerPart nextPart = 0; //!< the first to be written, so that each has its turn
};

//! What one transaction writes.
struct WorkersWrite {
    std::optional<std::string> whole;
    std::map<WorkerPart, std::string> parts;
    bool marksSplit = false; //!< the parts are complete, and replace the undivided record
    bool namesAll = false; //!< once the write is durable, the records name exactly `names`
    bool arePartsInForce = false; //!< the records of these parts are replaced, and name exactly `names`
    bool isLast = true; //!< false: further parts have changed
    std::set<WorkerId> names; //!< empty while the parts are not in force
};

//! The next write towards records that name `listings`; nothing if they do.
std::optional<WorkersWrite> nextWorkersWrite(
    const StoredWorkers& stored, const std::vector<WorkerListing>& listings, const BatchLimits& limits);
std::vector<kv::Put> putsOf(const WorkersWrite& write);

//! The write is on its way: workers that it leaves out get no starts any more, unless a later one names them.
void beginNaming(Fleet& fleet, const WorkersWrite& write);
//! The write is durable.
void completeNaming(Fleet& fleet, StoredWorkers& stored, const WorkersWrite& write);

//! What a new owner has read.
struct ReadWorkers {
    std::vector<WorkerListing> listings; //!< of all records; parts count also while they are incomplete
    StoredWorkers stored;
    bool isMissing = true; //!< nothing stands at `knownWorkersKey`
    const kv::Item* unreadable = nullptr; //!< one that can't be read; null: none
};

//! Reads the items whose keys begin with `knownWorkersKey`.
ReadWorkers readWorkers(const std::vector<kv::Item>& items);

} // namespace agatevane::fleet

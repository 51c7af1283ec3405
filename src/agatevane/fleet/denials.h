#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/fleet/model.h"
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

//! Cancellations that were answered with "no such job". Their callers count on the job not to run, also if an earlier
//! submission of it is still on its way, and also after the owner that answered is gone. So each denial is stored
//! before it is answered, and a new owner inherits those of earlier ones.
namespace agatevane::fleet {

struct Fleet;

constexpr const char* denialPrefix = "agatevane/denied/";

//! Longer than callers usually wait for an answer: a node holds a submission no longer than that.
constexpr Millis denialRetention { 60000 };
//! Jobs in stored records at a time. Beyond it, cancellations of unknown jobs are refused until records expire.
constexpr std::size_t maxStoredDenials = 20000;

//! A stored record that names denied jobs.
struct DenialRecord {
    std::set<JobId> jobs;
    Instant openedAt;
    Instant changedAt; //!< for inherited records the takeover
    CommitSequence queuedSequence = 0; //!< the queued write of this record; 0: there is none
};

struct Denials {
    std::map<std::string, DenialRecord> records; //!< by key in the store
    std::string openRecord; //!< key of the record that takes further jobs; empty: there is none
    std::uint32_t recordsOpened = 0; //!< in this tenure
    std::size_t storedJobs = 0; //!< in all records
    //! When the last denial of a job was answered, on the clock of bootNow(); the takeover for those of earlier owners.
    std::map<JobId, Instant> answeredAt;
    //! An inherited record can't be read, so that any job may have been denied before the takeover.
    bool hasUnreadableRecord = false;
};

//! Queues the write that has to be durable before the denial is answered. Nothing if too many are stored.
std::optional<CommitSequence> queueDenial(Fleet& fleet, const JobId& job, Instant at);
//! The denial is durable and is answered now.
void noteDenialAnswered(Fleet& fleet, const JobId& job, Instant at);
//! Enters a record of an earlier owner. A damaged one stands for denials of all jobs.
void inheritDenials(Fleet& fleet, const std::string& key, std::optional<std::set<JobId>> jobs);
//! Time before which a submission of the job may precede a denial. Nothing if the job exists or was not denied.
std::optional<Instant> deniedUntil(const Fleet& fleet, const JobId& job);
//! Forgets denials that are old enough and queues the removal of their records.
void pruneDenials(Fleet& fleet, Instant at);

//! The write `sequence` of the record at `key` has been taken from the queue.
void noteDenialTaken(Denials& denials, const std::string& key, CommitSequence sequence);

std::string encodeDenials(const DenialRecord& record);
//! Nothing if the bytes can't be read.
std::optional<std::set<JobId>> decodeDenials(const std::string& bytes);

} // namespace agatevane::fleet

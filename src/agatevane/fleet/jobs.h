#pragma once

#include "agatevane/fleet/state.h"
#include <optional>
#include <string_view>

//! Jobs from submission to their end, and their states as callers see them.
namespace agatevane::fleet {

//! How a run has ended.
enum class EndKind {
    Done,
    Failed,
    Stopped,
    Lapsed, //!< the worker's lease has expired
    Broken, //!< another member of the gang has ended
    Alone //!< the other members of the gang did not start in time
};

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::EndKind> {
    static constexpr std::array<std::pair<agatevane::fleet::EndKind, std::string_view>, 6> table { {
        { agatevane::fleet::EndKind::Done, "done" },
        { agatevane::fleet::EndKind::Failed, "failed" },
        { agatevane::fleet::EndKind::Stopped, "stopped" },
        { agatevane::fleet::EndKind::Lapsed, "lapsed" },
        { agatevane::fleet::EndKind::Broken, "broken" },
        { agatevane::fleet::EndKind::Alone, "alone" },
    } };
};

namespace agatevane::fleet {

enum class VisibleState { Queued, Running, Completed, Failed, Cancelled };

//! Adds a job unless it is known. It is accepted once the write at the returned position is committed.
CommitSequence submit(Fleet& fleet, JobSpec spec, const desired_state::Queue& queue, std::int64_t unixMs, Instant at);
//! Removes a job whose record has not been handed to the store. False if the job may still become accepted.
bool withdraw(Fleet& fleet, const JobId& id);
//! The write that makes the cancellation durable; nothing if no such job is known. A job is found by its id alone: the
//! desired state may give its queue's prefix to another queue.
std::optional<CommitSequence> cancel(Fleet& fleet, const JobId& id, std::int64_t unixMs, Instant at);
//! Nothing if no such job has been accepted, in whatever queue.
std::optional<VisibleState> visibleState(const Fleet& fleet, const JobId& id);
//! Open jobs of the queue, except scheduled ones, that have not started.
std::uint32_t waitingJobCount(const Fleet& fleet, const std::string& queue);

//! Adds a job that was read from the store at a takeover.
void inherit(Fleet& fleet, Job job, std::int64_t unixMs, Instant at);

//! Applies the end of a run, which is already removed from the worker's runs. Returns the write that has to be
//! committed before the end is acknowledged to the worker; 0 if nothing has to be stored, `neverCommitted` if this
//! owner must not acknowledge the end.
CommitSequence applyEnd(Fleet& fleet, Worker& worker, const RunKey& key, EndKind kind, const std::string& checkpoint,
    std::int64_t unixMs, Instant at);

//! Records that all writes up to `sequence` are durable, except those that were overtaken.
void applyCommitted(Fleet& fleet, CommitSequence sequence);
//! Removes ended jobs whose state no longer has to be available to callers.
void pruneEnded(Fleet& fleet, std::int64_t unixMs, Instant at);

} // namespace agatevane::fleet

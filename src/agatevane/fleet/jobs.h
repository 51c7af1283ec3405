#pragma once

#include "agatevane/fleet/state.h"
#include <optional>
#include <string_view>

//! Jobs from submission to their end, and what callers are told about them.
namespace agatevane::fleet {

enum class EndKind { Done, Failed, Stopped, Lapsed, Broken, Alone };

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

//! Enters a job, or finds it if it was entered before. It is accepted once the ticket is committed.
CommitSequence submit(Fleet& fleet, JobSpec spec, const desired_state::Queue& queue, std::int64_t unixMs, Instant at);
//! Takes back a job whose record has not been handed to the store. False if it may become accepted.
bool withdraw(Fleet& fleet, const JobId& id);
//! Nothing if no such job is known; else the ticket that makes the cancelling durable.
std::optional<CommitSequence> cancel(
    Fleet& fleet, const JobId& id, std::string_view queue, std::int64_t unixMs, Instant at);
//! Nothing if no such job has been accepted in `queue`.
std::optional<VisibleState> visibleState(const Fleet& fleet, const JobId& id, std::string_view queue);
std::uint32_t waitingJobCount(const Fleet& fleet, const std::string& queue);

//! Enters a job that was read from the store at a takeover.
void inherit(Fleet& fleet, Job job, std::int64_t unixMs, Instant at);

//! Applies the end of a run that its worker has listed. Returns the ticket after which the worker may forget it, 0 if
//! nothing has to be stored. The run is no longer among the worker's runs.
CommitSequence applyEnd(Fleet& fleet, Worker& worker, const RunKey& key, EndKind kind, const std::string& checkpoint,
    std::int64_t unixMs, Instant at);

//! Notes that all writes up to `ticket` are durable.
void applyCommitted(Fleet& fleet, CommitSequence ticket);
//! Forgets jobs that ended longer ago than their state has to be known.
void pruneEnded(Fleet& fleet, std::int64_t unixMs);

} // namespace agatevane::fleet

#pragma once

#include "agatevane/base/job.h"
#include "agatevane/net/archive.h"
#include "agatevane/worker_api/worker_api.h"
#include <cstdint>
#include <string>
#include <vector>

//! Messages between agatevane's own processes, encoded with net::encode and net::decode.
namespace agatevane {

//! The `kind` of an RPC frame. Values are part of the wire format.
enum class MessageKind : std::uint16_t {
    SubmitJob = 1,
    JobStatus = 2,
    ListJobs = 3,
    CancelJob = 4,
    ShardStatus = 5,
    CataloguePull = 6,
    BorrowLimit = 7,
    DrainVm = 8 //!< the request is empty; the reply is one byte that confirms that the VM is draining
};

//! Outcome of a job submission. Only `Accepted` and `Duplicate` mean that the job is durable and will run. After
//! `Unknown` the submission may be durable, so that a repeated submission must use the same idempotency key or id.
enum class SubmitResult : std::uint8_t {
    Accepted,
    Duplicate,
    Impossible,
    QuotaExceeded,
    Overloaded,
    Unavailable,
    NotOwner,
    Unknown
};

template <> struct EnumNames<SubmitResult> {
    static constexpr std::array<std::pair<SubmitResult, std::string_view>, 8> table { {
        { SubmitResult::Accepted, "accepted" },
        { SubmitResult::Duplicate, "duplicate" },
        { SubmitResult::Impossible, "impossible" },
        { SubmitResult::QuotaExceeded, "quota_exceeded" },
        { SubmitResult::Overloaded, "overloaded" },
        { SubmitResult::Unavailable, "unavailable" },
        { SubmitResult::NotOwner, "not_owner" },
        { SubmitResult::Unknown, "unknown" },
    } };
};

struct SubmitJobRequest {
    JobSpec spec; //!< its id is "<data centre>.<token>"; a repeated submission has the same token

    template <typename Archive> void serialize(Archive& archive) { archive(spec); }
};

struct SubmitJobReply {
    SubmitResult result = SubmitResult::Unknown;
    std::string reason;
    std::int64_t retryAfterMs = 0;
    MemberId owner; //!< with `NotOwner`: the member to ask instead; may be empty

    template <typename Archive> void serialize(Archive& archive) { archive(result, reason, retryAfterMs, owner); }
};

//! A job's state as the owner of its data centre knows it.
struct JobView {
    JobSpec spec;
    JobState state = JobState::Queued;
    AttemptId attempt;
    Epoch epoch = 0;
    std::vector<WorkerId> workers;
    std::int64_t queuedForMs = 0;
    std::int64_t runningForMs = 0;
    std::int64_t checkpointedMs = 0; //!< work that checkpoints have saved: a stop does not lose it
    std::string reason; //!< why the job waits, failed or is impossible, and what it would need

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(spec, state, attempt, epoch, workers, queuedForMs, runningForMs, checkpointedMs, reason);
    }
};

//! Request of JobStatus and CancelJob.
struct JobRequest {
    DataCentreId dataCentre;
    JobId job;

    template <typename Archive> void serialize(Archive& archive) { archive(dataCentre, job); }
};

enum class JobReplyStatus : std::uint8_t {
    Found,
    NotFound,
    NotOwner,
    Unavailable, //!< nothing was changed
    Unknown //!< a cancellation may or may not be durable
};

//! Reply to JobStatus and CancelJob.
struct JobReply {
    JobReplyStatus status = JobReplyStatus::Unavailable;
    MemberId owner;
    JobView job;

    template <typename Archive> void serialize(Archive& archive) { archive(status, owner, job); }
};

struct ListJobsRequest {
    DataCentreId dataCentre;
    WorkspaceId workspace; //!< empty for all workspaces
    int limit = 1000;

    template <typename Archive> void serialize(Archive& archive) { archive(dataCentre, workspace, limit); }
};

struct ListJobsReply {
    JobReplyStatus status = JobReplyStatus::Unavailable;
    std::vector<JobView> jobs;

    template <typename Archive> void serialize(Archive& archive) { archive(status, jobs); }
};

//! Guarantee and use of one workspace in a data centre, counted in accelerators.
struct WorkspaceStatus {
    WorkspaceId workspace;
    int guaranteed = 0;
    int effectiveGuarantee = 0; //!< less than `guaranteed` after a rack or data-centre failure
    int used = 0;
    int lent = 0; //!< part of its guarantee that other workspaces use now
    int waiting = 0; //!< accelerators that its queued jobs need
    double dominantShare = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(workspace, guaranteed, effectiveGuarantee, used, lent, waiting, dominantShare);
    }
};

struct ShardStatusRequest {
    DataCentreId dataCentre;

    template <typename Archive> void serialize(Archive& archive) { archive(dataCentre); }
};

struct ShardStatusReply {
    JobReplyStatus status = JobReplyStatus::Unavailable;
    MemberId owner;
    Epoch epoch = 0;
    int workers = 0;
    int workersReachable = 0;
    int accelerators = 0;
    int acceleratorsFree = 0;
    int largestFreeGang = 0; //!< number of accelerators of the largest gang that could start now
    int jobsQueued = 0;
    int jobsRunning = 0;
    std::int64_t oldestQueuedMs = 0;
    std::vector<WorkspaceStatus> workspaces;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(status, owner, epoch, workers, workersReachable, accelerators, acceleratorsFree, largestFreeGang,
            jobsQueued, jobsRunning, oldestQueuedMs, workspaces);
    }
};

//! The owner of a data centre sends this to all schedulers every 500 ms.
struct OwnerHeartbeat {
    DataCentreId dataCentre;
    MemberId owner;
    Epoch epoch = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(dataCentre, owner, epoch); }
};

} // namespace agatevane

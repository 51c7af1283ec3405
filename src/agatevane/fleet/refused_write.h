#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/fleet/group_commit.h"

//! Writes that the store refuses for good while it takes others.
namespace agatevane::fleet {

//! What becomes of a write that the store refuses for good.
enum class RefusalEffect {
    SubmissionRefused, //!< the job does not exist
    StoredWithoutCheckpoints, //!< the job's progress is stored from now on without checkpoints
    Delayed //!< the write is tried again later
};

//! A write that the store refuses for good.
struct RefusedWrite {
    CommitSequence sequence = 0;
    RefusalEffect effect = RefusalEffect::Delayed;
};

//! Handles a batch with the entries of a single write that the store refuses while it takes other writes. The batch
//! goes back to the queue.
RefusedWrite handleLastingRefusal(Fleet& fleet, const WriteBatch& refused, Instant at);

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::RefusalEffect> {
    static constexpr std::array<std::pair<agatevane::fleet::RefusalEffect, std::string_view>, 3> table { {
        { agatevane::fleet::RefusalEffect::SubmissionRefused, "submission_refused" },
        { agatevane::fleet::RefusalEffect::StoredWithoutCheckpoints, "stored_without_checkpoints" },
        { agatevane::fleet::RefusalEffect::Delayed, "delayed" },
    } };
};

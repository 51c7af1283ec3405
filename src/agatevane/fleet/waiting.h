#pragma once

#include "agatevane/fleet/state.h"

//! Tells operators why a job does not run. Nothing is decided here.
namespace agatevane::fleet {

enum class WaitReason {
    NotWaiting, //!< it has ended, or all that could run has a worker
    NotDue, //!< no occurrence has come to its time
    RunsOfEarlierOwner, //!< they may still run on a worker that has not answered since the takeover
    RunsBeingStopped, //!< a gang starts again once the rest of its last run is gone
    NoSuitableWorker, //!< no usable worker is of the right kind and large enough, or too few for a gang
    NoTicket, //!< the queue's policy has named no worker yet
    NoRoom
};

struct WaitStatus {
    WaitReason reason = WaitReason::NotWaiting;
    std::uint32_t occurrence = 0; //!< the first one with waiting tasks
    std::uint32_t step = 0;
    std::uint32_t tasks = 0; //!< that wait in this step
};

WaitStatus explainWait(const Fleet& fleet, const Job& job, std::int64_t unixMs, Instant at);

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::WaitReason> {
    using Reason = agatevane::fleet::WaitReason;
    static constexpr std::array<std::pair<Reason, std::string_view>, 7> table { {
        { Reason::NotWaiting, "not_waiting" },
        { Reason::NotDue, "not_due" },
        { Reason::RunsOfEarlierOwner, "runs_of_earlier_owner" },
        { Reason::RunsBeingStopped, "runs_being_stopped" },
        { Reason::NoSuitableWorker, "no_suitable_worker" },
        { Reason::NoTicket, "no_ticket" },
        { Reason::NoRoom, "no_room" },
    } };
};

#pragma once

#include "agatevane/fleet/state.h"

//! Explains to operators why a job does not run. Decides nothing.
namespace agatevane::fleet {

enum class WaitReason {
    NotWaiting, //!< the job is not open, or all tasks that could run have a worker
    NotDue, //!< no occurrence is due yet
    StartsHeld, //!< nothing starts, since it is not known which data centres are evacuated
    RunsOfEarlierOwner, //!< earlier runs may still run on a worker that has not answered since the takeover
    EarlierRunOpen, //!< an earlier run of the tasks is not known to have ended, or may still be started by a late order
    RunsBeingStopped, //!< a gang starts again once all members of its last run have ended
    NoSuitableWorker, //!< too few usable workers are of the right kind and large enough
    NoTicket, //!< the advice service has issued no ticket for the step
    PreferredRack, //!< other racks have free capacity, but the job still waits for the rack that suits it best
    NoRoom //!< the suitable workers lack free capacity
};

struct WaitStatus {
    WaitReason reason = WaitReason::NotWaiting;
    std::uint32_t occurrence = 0; //!< first occurrence with waiting tasks
    std::uint32_t step = 0;
    std::uint32_t tasks = 0; //!< tasks of this step that wait
};

WaitStatus explainWait(const Fleet& fleet, const Job& job, std::int64_t unixMs, Instant at);

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::WaitReason> {
    using Reason = agatevane::fleet::WaitReason;
    static constexpr std::array<std::pair<Reason, std::string_view>, 10> table { {
        { Reason::NotWaiting, "not_waiting" },
        { Reason::NotDue, "not_due" },
        { Reason::StartsHeld, "starts_held" },
        { Reason::RunsOfEarlierOwner, "runs_of_earlier_owner" },
        { Reason::EarlierRunOpen, "earlier_run_open" },
        { Reason::RunsBeingStopped, "runs_being_stopped" },
        { Reason::NoSuitableWorker, "no_suitable_worker" },
        { Reason::NoTicket, "no_ticket" },
        { Reason::PreferredRack, "preferred_rack" },
        { Reason::NoRoom, "no_room" },
    } };
};

#pragma once

#include "agatevane/base/instant.h"
#include <cstddef>
#include <optional>

//! What the platform's settings say of the fleet.
namespace agatevane::fleet {

//! Limits and durations, set by the platform's settings.
struct Limits {
    Millis leaseDuration { 6000 }; //!< length of the lease that each order asks for
    Millis maxLease { 6000 }; //!< a worker grants no longer lease, whatever an order asks for
    Millis reportInterval { 1500 }; //!< workers report to the platform this often; entries lapse after three intervals
    Millis stopDuration { 200 }; //!< time that a worker takes to stop a run
    Millis restoreDuration { 250 }; //!< time that a run takes to resume from a checkpoint
    Millis checkpointInterval { 1000 }; //!< a run that saves its progress does so after this much work
    Millis gangAssemblyTimeout { 3000 }; //!< a member of a gang waits this long for the others
    Millis reclaimDeadline { 2700 }; //!< guaranteed work must begin within this time
    Millis statusRetention { 120000 }; //!< callers can query the state of an ended job for this long
    //! Nothing starts in a data centre this long after the request to evacuate it was stored; nothing: operators do not
    //! evacuate data centres.
    std::optional<Millis> evacuationBound;
    double remoteRackSlowdown = 3; //!< factor by which work takes longer on another rack than its own
    //! Starts whose answers may be awaited at a time. An owner that has more of them under way than it can handle in
    //! time would take their answers for lost, and order them again.
    std::size_t maxStartsUnderWay = 2000;
    std::size_t maxValueBytes = 1024UL * 1024; //!< the store takes no longer value
    Millis startAnswerTimeout { 500 }; //!< a start that has no answer by then is no longer under way
    Millis earlierLeaseTimeout { 7000 }; //!< this long after a takeover, all leases that earlier owners gave have ended
};

//! True if to stop a run and to resume it elsewhere takes longer than the half second that the choice of victims has
//! always allowed for. Work is then placed by learned run times and with room kept for urgent work, since a start that
//! has to be corrected by a stop costs callers more than a start that waits.
bool areStopsCostly(const Limits& limits);

} // namespace agatevane::fleet

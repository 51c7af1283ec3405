#pragma once

#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/state.h"
#include <optional>
#include <string>
#include <vector>

//! Processes workers' reports, and concludes which runs have ended when workers do not answer.
namespace agatevane::fleet {

//! A worker's entry in the platform's list.
struct WorkerListing {
    WorkerId id;
    net::PeerAddress address;
    std::string service;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels;
    Capacity capacity;
    bool isDraining = false;
    std::int64_t incarnation = 0;
    std::optional<Millis> timeLeft; //!< shortest time that a draining worker still stays
    Millis coldFor { 0 }; //!< time until the worker works at its full speed

    bool operator==(const WorkerListing&) const = default;

    //! Omits `timeLeft` and `coldFor`, which are out of date when the record is read again.
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(id, address.address, address.port, service, zone, rack, labels, capacity, isDraining, incarnation);
    }
};

//! Progress of a run whose row doesn't tell it in a readable form.
constexpr int unknownPercent = -1;

struct RunningReport {
    RunKey key;
    std::string checkpoint;
    int percent = 0; //!< share of the work that is done; may be `unknownPercent`
    //! Over the last half second: the tail latency in milliseconds for a task that serves users, the used thousandths
    //! of a core for any other task.
    std::int64_t recentMeasurement = 0;
};

struct EndReport {
    std::int64_t number = 0; //!< ascends within one incarnation
    RunKey key;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
    bool isReadable = true; //!< false: only `number` holds, as a lower bound
};

struct PollAnswer {
    std::int64_t incarnation = 0; //!< 0: not reported
    std::int64_t clockMs = 0;
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
    std::size_t unreadableRuns = 0; //!< number of runs whose rows name no run
    bool mayLackEnds = false; //!< `ended` is as long as an answer can be: further ends may wait at the worker
};

//! False if the listing names a service that is neither in the desired state nor that of an accepted job, nor the
//! worker's own so far. Another program may have written such an entry, so that it says nothing of the worker.
bool isServiceNamed(const Fleet& fleet, const WorkerListing& listing);

void applyListing(Fleet& fleet, const WorkerListing& listing, Instant at);
//! The platform has removed the worker's entry from its list.
void applyUnlisted(Fleet& fleet, const WorkerId& id);
//! Also marks every worker that is missing in `listings` as unlisted.
void applyFullList(Fleet& fleet, const std::vector<WorkerListing>& listings, Instant at);

//! Adds the workers that the inherited record names, as not listed. They are the only ones that may still run tasks of
//! earlier owners.
void addKnownWorkers(Fleet& fleet, const std::vector<WorkerListing>& listings, Instant at);

void applyPollAnswer(Fleet& fleet, const WorkerId& id, const PollAnswer& answer, std::int64_t unixMs, Instant at);
//! Whether a poll without a valid answer may have been carried out, or may still be.
enum class FailedPoll { MayBeCarriedOut, NotCarriedOut };

void applyPollFailure(Fleet& fleet, const WorkerId& id, Instant at, FailedPoll effect = FailedPoll::MayBeCarriedOut);

//! True if new work may be placed on the worker.
bool isUsable(const Worker& worker, Instant at);
//! True if no run of an earlier owner is left on a worker that has not answered this owner.
bool haveInheritedRunsEnded(const Fleet& fleet, Instant at);
//! True if an acknowledgement that was made out for an earlier incarnation may still reach the present one.
bool mayReceiveLateAcknowledgement(const Worker& worker, Instant at);
//! True if a run that starts now may end unseen: an acknowledgement is on the way to the worker, and a new incarnation
//! would apply it to the run's end.
bool mayEndUnseen(const Worker& worker, Instant at);
//! True if a later incarnation of the worker may carry out a start unnoticed: one that this owner has sent, or one
//! of an earlier owner if the worker's restart would not be listed.
bool mayTakeLateStart(const Fleet& fleet, const Worker& worker, Instant at);
//! True while a task that an earlier owner has started may run on a worker that has not answered this owner, or may
//! have ended on one whose answers may lack ends.
bool mayHaveUnreportedRuns(const Fleet& fleet, Instant at);

//! Emits the polls of the workers that are due.
void emitPolls(Fleet& fleet, const std::vector<Worker*>& workers, Instant at, Orders& orders);
//! When emitPolls() has to look at the worker unless it changes; Instant::max(): never.
Instant nextPollOf(const Fleet& fleet, const Worker& worker);
//! Makes polls due at once for workers with a durable end that is not acknowledged.
void scheduleAcknowledgements(Fleet& fleet, Instant at);

} // namespace agatevane::fleet

#pragma once

#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/state.h"
#include <optional>
#include <string>
#include <vector>

//! What workers say of themselves, and what is concluded when they say nothing.
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
    std::optional<Millis> timeLeft; //!< of a draining worker: it stays at least so long

    bool operator==(const WorkerListing&) const = default;

    //! Without the time left, which is old when it is read again.
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(id, address.address, address.port, service, zone, rack, labels, capacity, isDraining, incarnation);
    }
};

struct RunningReport {
    RunKey key;
    std::string checkpoint;
    int percent = 0;
    //! Of the last half second: the tail in milliseconds of a task that serves users, the thousandths of a core in use
    //! of any other task.
    std::int64_t recentMeasurement = 0;
};

struct EndReport {
    std::int64_t number = 0; //!< ascends within one lifetime
    RunKey key;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

struct PollAnswer {
    std::int64_t incarnation = 0; //!< 0: not said
    std::int64_t clockMs = 0;
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
};

void applyListing(Fleet& fleet, const WorkerListing& listing, Instant at);
void applyUnlisted(Fleet& fleet, const WorkerId& id, Instant at);
//! Every worker that is missing in `ids` is unlisted.
void applyFullList(Fleet& fleet, const std::vector<WorkerListing>& listings, Instant at);

//! Enters workers that an earlier owner knew; whether they are still listed shows later. They may run its tasks.
void addKnownWorkers(Fleet& fleet, const std::vector<WorkerListing>& listings, Instant at);

void applyPollAnswer(Fleet& fleet, const WorkerId& id, const PollAnswer& answer, std::int64_t unixMs, Instant at);
void applyPollFailure(Fleet& fleet, const WorkerId& id, Instant at);

//! True if new work may be placed on the worker.
bool isUsable(const Worker& worker, Instant at);
//! True while a task that an earlier owner has started may run on a worker that has not answered yet.
bool mayHaveUnreportedRuns(const Fleet& fleet, Instant at);

//! Gives up the runs of workers whose lease has passed without an answer, and runs that stand still.
void expireRuns(Fleet& fleet, Instant at);
//! Emits the looks that are due.
void emitPolls(Fleet& fleet, Instant at, Orders& orders);
//! Moves the next looks forward where ends became durable.
void scheduleAcknowledgements(Fleet& fleet, Instant at);

} // namespace agatevane::fleet

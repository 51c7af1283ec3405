//! The part of workers.h that applies the platform's list of workers.
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/due_workers.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/incarnations.h"
#include "agatevane/fleet/workers.h"
#include <algorithm>

namespace agatevane::fleet {

namespace {

    using event_log::Line;

    //! False if the listing does not change whether the worker is known, listed or draining.
    bool updateFromListing(Fleet& fleet, const WorkerListing& listing, Instant at)
    {
        auto [found, isNew] = fleet.workers.try_emplace(listing.id);
        auto& worker = found->second;
        worker.id = listing.id;
        markDue(fleet, worker);
        // The entry of an earlier incarnation may be read late.
        if (!isNew && listing.incarnation < worker.incarnation)
            return false;
        worker.awaitsNaming = isNew ? fleet.doStartsNeedNaming : worker.awaitsNaming;
        if (isNew || listing.incarnation != worker.incarnation)
            beginIncarnation(fleet, worker, listing.incarnation, at);
        bool wasEntryCurrent = isEntryCurrent(worker);
        bool hasChanged = isNew || worker.isDraining != listing.isDraining || !worker.isListed || !wasEntryCurrent;
        worker.describedIncarnation = listing.incarnation;
        fleet.isPlacementDue = fleet.isPlacementDue || hasChanged;
        worker.address = listing.address;
        worker.service = listing.service;
        worker.zone = listing.zone;
        worker.rack = listing.rack;
        worker.labels = listing.labels;
        worker.capacity = listing.capacity;
        worker.isDraining = listing.isDraining;
        worker.leavesAt = listing.timeLeft ? at + *listing.timeLeft : Instant {};
        worker.coldUntil = listing.coldFor > Millis(0) ? at + listing.coldFor : Instant {};
        worker.isListed = true;
        updateEvacuationOf(fleet, worker);
        if (!wasEntryCurrent)
            stopUnsuitableStarts(fleet, worker, at);
        return hasChanged;
    }

    bool isServiceOfJob(const Fleet& fleet, const std::string& service)
    {
        return std::any_of(fleet.openJobs.begin(), fleet.openJobs.end(), [&](const JobId& id) {
            const auto* job = findJob(fleet, id);
            return job && job->policy.service == service;
        });
    }

    void logListing(const WorkerListing& listing)
    {
        Line("worker_listed")
            .with("worker", listing.id)
            .with("lifetime", listing.incarnation)
            .with("draining", listing.isDraining)
            .with("time_left_ms", listing.timeLeft.value_or(Millis(0)).count());
    }

} // namespace

bool isServiceNamed(const Fleet& fleet, const WorkerListing& listing)
{
    const auto& desired = fleet.desired;
    const auto* known = findWorker(fleet, listing.id);
    bool isKnown = known && known->service == listing.service;
    auto isListed = [&listing](const desired_state::Service& service) { return service.name == listing.service; };
    auto isServed = [&listing](const desired_state::Queue& queue) { return queue.service == listing.service; };
    return isKnown || (desired.services.empty() && desired.queues.empty())
        || std::any_of(desired.services.begin(), desired.services.end(), isListed)
        || std::any_of(desired.queues.begin(), desired.queues.end(), isServed)
        || isServiceOfJob(fleet, listing.service);
}

void applyListing(Fleet& fleet, const WorkerListing& listing, Instant at)
{
    if (updateFromListing(fleet, listing, at))
        logListing(listing);
}

void applyUnlisted(Fleet& fleet, const WorkerId& id)
{
    auto* worker = changeWorker(fleet, id);
    if (!worker || !std::exchange(worker->isListed, false))
        return;
    Line("worker_unlisted").with("worker", id).with("runs", worker->runs.size());
}

void applyFullList(Fleet& fleet, const std::vector<WorkerListing>& listings, Instant at)
{
    std::set<WorkerId> listed;
    std::size_t changes = 0;
    for (const auto& listing : listings) {
        listed.insert(listing.id);
        const auto* known = findWorker(fleet, listing.id);
        bool hasAnswered = known && known->hasAnsweredPoll;
        if (!updateFromListing(fleet, listing, at))
            continue;
        ++changes;
        // A new owner reads thousands of entries at once; their log lines would displace all others.
        if (hasAnswered)
            logListing(listing);
    }
    for (auto& [id, worker] : fleet.workers) {
        if (!listed.contains(id))
            applyUnlisted(fleet, id);
    }
    if (changes > 0)
        Line("workers_read").with("listed", listings.size()).with("news", changes).with("known", fleet.workers.size());
}

void addKnownWorkers(Fleet& fleet, const std::vector<WorkerListing>& listings, Instant at)
{
    for (const auto& listing : listings) {
        updateFromListing(fleet, listing, at);
        auto& worker = fleet.workers.at(listing.id);
        worker.isListed = false;
        worker.isInEarlierRecord = true;
        worker.awaitsNaming = false;
    }
    fleet.earlierWorkers = EarlierWorkers::Recorded;
    Line("known_workers_read").with("workers", listings.size());
}

} // namespace agatevane::fleet

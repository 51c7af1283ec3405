//! The part of FleetOwner that takes over what the store holds: all jobs once, the workers continuously.
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/progress_parts.h"
#include "agatevane/fleet/queue_record.h"
#include "node/fleet_owner.h"
#include "node/unreadable_records.h"
#include <algorithm>

namespace agatevane::node {

namespace {

    using event_log::Line;

    std::string_view idOf(const kv::Item& item, std::string_view prefix)
    {
        return std::string_view(item.key).substr(prefix.size());
    }

} // namespace

void FleetOwner::load(StoredFleet stored)
{
    loadQueues(stored.queues);
    loadJobs(stored);
    loadDenials(stored.denials);
    loadKnownWorkers(stored.knownWorkers);
    runTimeRecorder_.load(stored.runTimes, bootNow());
    applyListings(stored.listings);
    if (evacuationFeed_)
        evacuationFeed_->start(stored.evacuations, stored.askedAt);
    isReady_ = true;
    Line("fleet_loaded")
        .with("tenure", fleet_.tenure)
        .with("jobs", fleet_.jobs.size())
        .with("open", fleet_.openJobs.size())
        .with("denials", fleet_.denials.storedJobs)
        .with("workers", fleet_.workers.size())
        .with("evacuated_data_centres", fleet_.evacuations.byZone.size())
        .with("as_of", stored.listings.asOf);
    workersFollower_.startAfter(stored.listings.asOf);
    if (upkeepController_)
        upkeepController_->start();
    tick();
}

void FleetOwner::loadQueues(const kv::ReadResult& queues)
{
    for (const auto& item : queues.items) {
        auto queue = fleet::decodeQueue(item.value);
        if (!queue)
            reportUnreadableRecord(item);
        else
            fleet_.storedQueues.insert_or_assign(queue->name, *queue);
    }
}

void FleetOwner::loadJobs(const StoredFleet& stored)
{
    std::map<fleet::JobId, StoredJob> jobs;
    for (const auto& item : stored.acceptances.items)
        jobs[fleet::JobId(idOf(item, fleet::acceptancePrefix))].acceptance = &item;
    for (const auto& item : stored.progress.items)
        jobs[fleet::JobId(idOf(item, fleet::progressPrefix))].progress = &item;
    for (const auto& item : stored.parts.items) {
        if (auto name = fleet::readPartKey(item.key))
            jobs[name->job].parts.emplace_back(name->number, &item);
        else
            reportUnreadableRecord(item);
    }
    auto unixMs = unixMillis();
    auto at = bootNow();
    for (const auto& [id, records] : jobs)
        loadJob(id, records, unixMs, at);
}

void FleetOwner::loadJob(const fleet::JobId& id, const StoredJob& records, std::int64_t unixMs, Instant at)
{
    using fleet::RecordKind;
    // A job's acceptance is removed together with its progress, and after its parts.
    if (!records.acceptance) {
        bool hasProgress = records.progress != nullptr;
        return holdJob(hasProgress ? RecordKind::Progress : RecordKind::Part,
            hasProgress ? *records.progress : *records.parts.front().second, id);
    }
    auto job = fleet::decodeAcceptance(records.acceptance->value);
    if (!job || job->spec.id != id)
        return holdJob(RecordKind::Acceptance, *records.acceptance, id);
    if (records.progress && !fleet::decodeProgress(records.progress->value, *job))
        return holdJob(RecordKind::Progress, *records.progress, id);
    for (const auto& [number, item] : records.parts) {
        if (!fleet::inheritPart(item->value, number, *job))
            return holdJob(RecordKind::Part, *item, id);
    }
    fleet::inherit(fleet_, std::move(*job), unixMs, at);
}

//! The item belongs to a job that was accepted, and can't be read.
void FleetOwner::holdJob(fleet::RecordKind kind, const kv::Item& item, const fleet::JobId& id)
{
    auto fault = fleet::faultOf(kind, item.value);
    reportUnreadableRecord(item, fault);
    fleet_.unreadableJobs.emplace(id, fault);
}

void FleetOwner::loadDenials(const kv::ReadResult& denials)
{
    for (const auto& item : denials.items) {
        auto jobs = fleet::decodeDenials(item.value);
        if (!jobs)
            reportUnreadableRecord(item);
        fleet::inheritDenials(fleet_, item.key, std::move(jobs));
    }
}

//! Enters the workers that the inherited record names. They may still run tasks of earlier owners even if the platform
//! no longer lists them. Each owner writes the record before it starts anything, so that it is missing only where
//! nothing was started.
void FleetOwner::loadKnownWorkers(const kv::ReadResult& known)
{
    auto read = fleet::readWorkers(known.items);
    committer_.setStoredWorkers(std::move(read.stored));
    bool isNothingStarted = read.isMissing && fleet_.jobs.empty() && fleet_.unreadableJobs.empty();
    if (isNothingStarted)
        return fleet::addKnownWorkers(fleet_, {}, bootNow());
    if (!read.isMissing && !read.unreadable)
        return fleet::addKnownWorkers(fleet_, read.listings, bootNow());
    fleet_.earlierWorkers = fleet::EarlierWorkers::Unreadable;
    reportUnreadableRecord(read.unreadable ? *read.unreadable : kv::Item { knownWorkersKey, {} });
}

//! No value if the entry names no worker to use. Its findings are logged once, however often it is written again.
std::optional<fleet::WorkerListing> FleetOwner::decodeEntry(const kv::Item& item)
{
    Findings findings;
    auto listing = environment_.translation.decodeListing(item, findings);
    if (listing && fleet::isServiceNamed(fleet_, *listing)) {
        ignoredEntries_.erase(item.key);
        return listing;
    }
    if (listing)
        findings.push_back({ item.key, "names a service that is not in the desired state: " + listing->service });
    if (ignoredEntries_.insert(item.key).second) {
        for (const auto& finding : findings)
            Line("entry_ignored").with("place", finding.place).with("text", finding.text);
    }
    return std::nullopt;
}

void FleetOwner::applyListings(const kv::ReadResult& listed)
{
    std::vector<fleet::WorkerListing> listings;
    std::set<std::string_view> keys;
    for (const auto& item : listed.items) {
        keys.insert(item.key);
        if (auto listing = decodeEntry(item))
            listings.push_back(std::move(*listing));
    }
    std::erase_if(ignoredEntries_, [&keys](const std::string& key) { return !keys.contains(key); });
    fleet::applyFullList(fleet_, listings, bootNow());
    fleet_.haveWorkersChanged = true;
}

void FleetOwner::applyWorkerChanges(const std::vector<kv::Change>& changes)
{
    for (const auto& change : changes)
        applyWorkerChange(change);
    fleet_.haveWorkersChanged = true;
    scheduleAdvance();
}

void FleetOwner::applyWorkerChange(const kv::Change& change)
{
    auto id = change.item.key.substr(environment_.translation.workerPrefix.size());
    if (change.isRemoval) {
        ignoredEntries_.erase(change.item.key);
        return fleet::applyUnlisted(fleet_, id);
    }
    if (auto listing = decodeEntry(change.item))
        return fleet::applyListing(fleet_, *listing, bootNow());
    fleet::applyUnlisted(fleet_, id);
}

} // namespace agatevane::node

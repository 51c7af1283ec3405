#include "agatevane/fleet/denials.h"

#include "agatevane/fleet/state.h"
#include "agatevane/net/archive.h"
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>

namespace agatevane::fleet {

namespace {

    constexpr std::uint8_t recordVersion = 1;
    //! A record with more jobs takes no further ones: it is written again with each of them.
    constexpr std::size_t maxJobsPerRecord = 64;
    //! A record takes further jobs for this long, so that few records hold the denials of a minute.
    constexpr Millis maxOpenTime { 1000 };
    //! A record is kept longer than the denials, which are answered after it was changed.
    constexpr Millis recordRetention = denialRetention + Millis(10000);

    struct StoredDenials {
        std::uint8_t version = recordVersion;
        std::set<JobId> jobs;

        template <typename Archive> void serialize(Archive& archive) { archive(version, jobs); }
    };

    DenialRecord& openRecordFor(Fleet& fleet, Instant at)
    {
        auto& denials = fleet.denials;
        auto open = denials.records.find(denials.openRecord);
        if (open != denials.records.end() && open->second.jobs.size() < maxJobsPerRecord
            && at - open->second.openedAt < maxOpenTime)
            return open->second;
        auto number = std::to_string(++denials.recordsOpened);
        denials.openRecord = denialPrefix + std::to_string(fleet.tenure) + "." + number;
        auto& record = denials.records[denials.openRecord];
        record.openedAt = at;
        return record;
    }

} // namespace

std::optional<CommitSequence> queueDenial(Fleet& fleet, const JobId& job, Instant at)
{
    auto& denials = fleet.denials;
    if (denials.storedJobs >= maxStoredDenials)
        return std::nullopt;
    auto& record = openRecordFor(fleet, at);
    if (record.jobs.insert(job).second)
        ++denials.storedJobs;
    record.changedAt = at;
    if (record.queuedSequence == 0) {
        record.queuedSequence = ++fleet.lastSequence;
        fleet.writes.push_back({ record.queuedSequence, denials.openRecord, Mutation::Deny, at, {}, false, {} });
    }
    return record.queuedSequence;
}

void noteDenialAnswered(Fleet& fleet, const JobId& job, Instant at)
{
    fleet.denials.answeredAt[job] = at;
}

void inheritDenials(Fleet& fleet, const std::string& key, std::optional<std::set<JobId>> jobs)
{
    auto& denials = fleet.denials;
    auto& record = denials.records[key];
    record.openedAt = record.changedAt = fleet.tookOverAt;
    if (!jobs) {
        denials.hasUnreadableRecord = true;
        return;
    }
    record.jobs = std::move(*jobs);
    denials.storedJobs += record.jobs.size();
    for (const auto& job : record.jobs)
        denials.answeredAt[job] = fleet.tookOverAt;
}

std::optional<Instant> deniedUntil(const Fleet& fleet, const JobId& job)
{
    if (fleet.jobs.contains(job))
        return std::nullopt;
    auto answered = fleet.denials.answeredAt.find(job);
    if (answered != fleet.denials.answeredAt.end())
        return answered->second;
    return fleet.denials.hasUnreadableRecord ? std::optional(fleet.tookOverAt) : std::nullopt;
}

void pruneDenials(Fleet& fleet, Instant at)
{
    auto& denials = fleet.denials;
    std::erase_if(denials.answeredAt, [at](const auto& each) { return at - each.second >= denialRetention; });
    if (at - fleet.tookOverAt >= denialRetention)
        denials.hasUnreadableRecord = false;
    std::erase_if(denials.records, [&](const auto& each) {
        const auto& [key, record] = each;
        if (at - record.changedAt < recordRetention)
            return false;
        fleet.writes.push_back({ ++fleet.lastSequence, key, Mutation::ForgetDenials, at, {}, false, {} });
        denials.storedJobs -= record.jobs.size();
        return true;
    });
}

void noteDenialTaken(Denials& denials, const std::string& key, CommitSequence sequence)
{
    auto record = denials.records.find(key);
    if (record != denials.records.end() && record->second.queuedSequence == sequence)
        record->second.queuedSequence = 0;
}

std::string encodeDenials(const DenialRecord& record)
{
    return net::encode(StoredDenials { recordVersion, record.jobs });
}

std::optional<std::set<JobId>> decodeDenials(const std::string& bytes)
{
    StoredDenials stored;
    if (!net::decode(bytes, stored) || stored.version != recordVersion)
        return std::nullopt;
    return std::move(stored.jobs);
}

} // namespace agatevane::fleet

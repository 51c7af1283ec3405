#include "agatevane/fleet/urgent_reserve.h"

#include "agatevane/fleet/placement.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace agatevane::fleet {

namespace {

    //! About the time that an urgent job is allowed to take, so that capacity is still kept when the next one arrives
    //! and is given back after a few of them have not come.
    constexpr Millis peakHalfLife { 4000 };
    //! The reserve is at most one part in this many of a service's accelerators, so that other work always goes on.
    constexpr std::int64_t reservedPart = 4;

    struct UrgentUse {
        std::int64_t running = 0; //!< accelerators of runs, and of waiting tasks for which capacity is held
        std::int64_t waiting = 0; //!< accelerators of other waiting tasks
    };

    void addOccurrence(const Fleet& fleet, const Job& job, std::uint32_t occurrenceIndex, UrgentUse& use)
    {
        const auto& occurrence = job.occurrences[occurrenceIndex];
        for (std::uint32_t stepIndex = 0; stepIndex < occurrence.steps.size(); ++stepIndex) {
            const auto& step = occurrence.steps[stepIndex];
            const auto& spec = job.spec.steps[stepIndex];
            use.running += step.active * spec.need.accelerators;
            // Occurrences of a scheduled job wait for their time.
            if (job.spec.occurrences > 0 || !arePredecessorsDone(occurrence, spec))
                continue;
            auto waiting = static_cast<std::int64_t>(step.tasks.size()) - step.done - step.active;
            bool isHeld = fleet.roomHolds.byStep.contains({ job.spec.id, occurrenceIndex, stepIndex });
            (isHeld ? use.running : use.waiting) += waiting * spec.need.accelerators;
        }
    }

    std::map<std::string, UrgentUse> urgentUseByService(const Fleet& fleet)
    {
        std::map<std::string, UrgentUse> uses;
        for (const auto& id : fleet.openJobs) {
            const auto& job = fleet.jobs.at(id);
            if (job.policy.priority != 0)
                continue;
            auto& use = uses[job.policy.service];
            for (std::uint32_t index = 0; index < job.occurrences.size(); ++index) {
                if (job.occurrences[index].stepsDone < job.occurrences[index].steps.size())
                    addOccurrence(fleet, job, index, use);
            }
        }
        return uses;
    }

    double decayed(const UrgentPeak& peak, Instant at)
    {
        std::chrono::duration<double, std::milli> since = at - peak.updatedAt;
        return peak.accelerators * std::exp2(-since.count() / static_cast<double>(peakHalfLife.count()));
    }

    void updatePeaks(std::map<std::string, UrgentPeak>& peaks, const std::map<std::string, UrgentUse>& uses, Instant at)
    {
        for (const auto& [service, use] : uses)
            peaks.try_emplace(service, UrgentPeak { 0, at });
        for (auto each = peaks.begin(); each != peaks.end();) {
            auto use = uses.find(each->first);
            auto now = use == uses.end() ? 0 : use->second.running + use->second.waiting;
            each->second = { std::max(decayed(each->second, at), static_cast<double>(now)), at };
            each = each->second.accelerators < 1 ? peaks.erase(each) : std::next(each);
        }
    }

    //! The service's workers with free accelerators: racks with the most free ones first.
    std::vector<WorkerHeadroom*> candidatesOf(const std::string& service, std::vector<WorkerHeadroom>& headrooms)
    {
        std::map<std::string, std::int64_t> freeOfRack;
        std::vector<WorkerHeadroom*> candidates;
        for (auto& headroom : headrooms) {
            if (headroom.worker->service != service || headroom.free.accelerators <= 0)
                continue;
            freeOfRack[headroom.worker->rack] += headroom.free.accelerators;
            candidates.push_back(&headroom);
        }
        std::sort(
            candidates.begin(), candidates.end(), [&freeOfRack](const WorkerHeadroom* a, const WorkerHeadroom* b) {
                const auto& rackA = a->worker->rack;
                const auto& rackB = b->worker->rack;
                if (rackA != rackB)
                    return std::pair(-freeOfRack.at(rackA), rackA) < std::pair(-freeOfRack.at(rackB), rackB);
                return std::pair(-a->free.accelerators, a->worker->id)
                    < std::pair(-b->free.accelerators, b->worker->id);
            });
        return candidates;
    }

    void closeWorker(WorkerHeadroom& headroom)
    {
        Capacity closed { std::max<std::int64_t>(0, headroom.free.milliCores),
            std::max<std::int64_t>(0, headroom.free.memoryMiB), headroom.free.accelerators };
        headroom.free -= closed;
        headroom.afterStops -= closed;
    }

    std::int64_t usableAccelerators(const std::string& service, const std::vector<WorkerHeadroom>& headrooms)
    {
        std::int64_t sum = 0;
        for (const auto& headroom : headrooms)
            sum += headroom.worker->service == service ? headroom.worker->capacity.accelerators : 0;
        return sum;
    }

    //! Returns the accelerators that are kept free.
    std::int64_t closeWorkers(const std::string& service, std::int64_t wanted, std::vector<WorkerHeadroom>& headrooms)
    {
        auto most = usableAccelerators(service, headrooms) / reservedPart;
        wanted = std::min(wanted, most);
        if (wanted <= 0)
            return 0;
        std::int64_t reserved = 0;
        for (auto* headroom : candidatesOf(service, headrooms)) {
            auto free = headroom->free.accelerators;
            if (reserved >= wanted)
                break;
            if (reserved + free > most)
                continue;
            closeWorker(*headroom);
            reserved += free;
        }
        return reserved;
    }

} // namespace

void reserveForUrgentWork(Fleet& fleet, std::vector<WorkerHeadroom>& headrooms, Instant at)
{
    auto& reserve = fleet.urgentReserve;
    auto uses = urgentUseByService(fleet);
    updatePeaks(reserve.peaks, uses, at);
    reserve.reservedAccelerators = 0;
    for (const auto& [service, peak] : reserve.peaks) {
        auto use = uses.find(service);
        auto running = use == uses.end() ? 0 : use->second.running;
        reserve.reservedAccelerators
            += closeWorkers(service, static_cast<std::int64_t>(peak.accelerators) - running, headrooms);
    }
}

} // namespace agatevane::fleet

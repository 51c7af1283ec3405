#include "agatevane/scheduling/invariants.h"
#include <algorithm>

namespace agatevane::scheduling {

namespace {

    class Checker {
    public:
        explicit Checker(const Shard& shard)
            : shard_(shard)
        {
        }

        Findings check()
        {
            checkJobs();
            checkWorkers();
            checkWorkspaces();
            if (!areTotalsConsistent(shard_))
                addFinding("shard", "totals of the fleet and its workspaces are inconsistent");
            return std::move(findings_);
        }

    private:
        void addFinding(const std::string& place, const std::string& text) { findings_.push_back({ place, text }); }

        void require(bool isTrue, const std::string& place, const std::string& text)
        {
            if (!isTrue)
                addFinding(place, text);
        }

        void checkJobs()
        {
            usedOnWorker_.assign(shard_.fleet.workers.size(), 0);
            usedByWorkspace_.assign(shard_.workspaces.size(), 0);
            protectedByWorkspace_.assign(shard_.workspaces.size(), 0);
            int queued = 0;
            for (const auto& job : shard_.jobs) {
                if (job.state == GangState::Vacant)
                    continue;
                int parts = 0;
                for (const auto& part : job.allocation) {
                    usedOnWorker_[part.worker] += part.accelerators;
                    parts += part.accelerators;
                }
                if (job.state == GangState::Queued) {
                    ++queued;
                    require(
                        parts == 0, job.id.value, "queued, but " + std::to_string(parts) + " accelerators are charged");
                    continue;
                }
                require(parts == job.accelerators, job.id.value,
                    std::to_string(parts) + " of the gang's " + std::to_string(job.accelerators)
                        + " accelerators are charged");
                require(!job.hasReservation, job.id.value, "started, but still has a reservation");
                usedByWorkspace_[job.workspace] += job.accelerators;
                protectedByWorkspace_[job.workspace] += job.isProtected ? job.accelerators : 0;
            }
            require(queued == shard_.queuedJobs, "shard",
                "counts " + std::to_string(shard_.queuedJobs) + " queued jobs, but " + std::to_string(queued)
                    + " are queued");
        }

        void checkWorkers()
        {
            std::vector<int> held(shard_.fleet.workers.size(), 0);
            for (const auto& reservation : shard_.reservations) {
                for (const auto& part : reservation.allocation)
                    held[part.worker] += part.accelerators;
            }
            for (std::size_t slot = 0; slot < shard_.fleet.workers.size(); ++slot) {
                const Worker& worker = shard_.fleet.workers[slot];
                const std::string& place = worker.id.value;
                require(worker.used == usedOnWorker_[slot], place,
                    std::to_string(worker.used) + " accelerators are charged, but its gangs use "
                        + std::to_string(usedOnWorker_[slot]));
                require(worker.held == held[slot], place,
                    std::to_string(worker.held) + " accelerators are held, but reservations need "
                        + std::to_string(held[slot]));
                // The capacity of a worker can fall while gangs run on it; `decide` itself never overcommits a worker.
                require(worker.used <= worker.capacity || shard_.isOvercommitExpected, place, "overcommitted");
                int free = worker.isAvailable ? std::max(0, worker.capacity - worker.used - worker.held) : 0;
                require(worker.free == free, place,
                    "index has " + std::to_string(worker.free) + " free accelerators instead of "
                        + std::to_string(free));
            }
        }

        void checkWorkspaces()
        {
            for (std::size_t slot = 0; slot < shard_.workspaces.size(); ++slot) {
                const Workspace& workspace = shard_.workspaces[slot];
                const std::string& place = workspace.id.value;
                require(workspace.used == usedByWorkspace_[slot], place,
                    std::to_string(workspace.used) + " accelerators are charged, but its gangs use "
                        + std::to_string(usedByWorkspace_[slot]));
                require(workspace.protectedUsed == protectedByWorkspace_[slot], place,
                    std::to_string(workspace.protectedUsed) + " accelerators are counted as protected instead of "
                        + std::to_string(protectedByWorkspace_[slot]));
                require(workspace.protectedUsed <= workspace.effectiveGuarantee, place,
                    std::to_string(workspace.protectedUsed) + " accelerators are protected, but only "
                        + std::to_string(workspace.effectiveGuarantee) + " are guaranteed");
            }
        }

        const Shard& shard_;
        std::vector<int> usedOnWorker_;
        std::vector<int> usedByWorkspace_;
        std::vector<int> protectedByWorkspace_;
        Findings findings_;
    };

} // namespace

Findings checkInvariants(const Shard& shard)
{
    return Checker(shard).check();
}

bool areTotalsConsistent(const Shard& shard)
{
    int used = 0;
    std::int64_t committed = 0;
    for (const auto& workspace : shard.workspaces) {
        if (workspace.used < 0 || workspace.preempting < 0 || workspace.reserved < 0
            || workspace.preempting > workspace.used)
            return false;
        used += workspace.used;
        committed
            += workspace.effectiveGuarantee + std::max(0, workspace.unstoppableUsed - workspace.effectiveGuarantee);
    }
    // All guarantees can be reclaimed: work that cannot be stopped leaves enough capacity for them, unless capacity
    // fell or guarantees rose after that work had started.
    bool isReclaimable = committed <= shard.fleet.capacity || shard.isGuaranteeShortfallExpected;
    return used == shard.fleet.used && shard.fleet.free >= 0 && isReclaimable;
}

} // namespace agatevane::scheduling

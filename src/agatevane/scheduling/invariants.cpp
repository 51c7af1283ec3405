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
                add("shard", "totals are inconsistent");
            return std::move(findings_);
        }

    private:
        void add(const std::string& place, const std::string& text) { findings_.push_back({ place, text }); }

        void require(bool isTrue, const std::string& place, const std::string& text)
        {
            if (!isTrue)
                add(place, text);
        }

        void checkJobs()
        {
            usedOnWorker_.assign(shard_.fleet.workers.size(), 0);
            usedBy_.assign(shard_.workspaces.size(), 0);
            protectedBy_.assign(shard_.workspaces.size(), 0);
            int queued = 0;
            for (const auto& job : shard_.jobs) {
                if (job.state == GangState::Vacant)
                    continue;
                int parts = 0;
                for (const auto& part : job.slots) {
                    usedOnWorker_[part.worker] += part.accelerators;
                    parts += part.accelerators;
                }
                if (job.state == GangState::Queued) {
                    ++queued;
                    require(parts == 0, job.id.value, "a queued job is charged");
                    continue;
                }
                require(parts == job.accelerators, job.id.value, "only part of the gang is charged");
                require(!job.hasReservation, job.id.value, "a started gang still has a reservation");
                usedBy_[job.workspace] += job.accelerators;
                protectedBy_[job.workspace] += job.isProtected ? job.accelerators : 0;
            }
            require(queued == shard_.queuedJobs, "shard", "the number of queued jobs is wrong");
        }

        void checkWorkers()
        {
            std::vector<int> held(shard_.fleet.workers.size(), 0);
            for (const auto& reservation : shard_.reservations) {
                for (const auto& part : reservation.slots)
                    held[part.worker] += part.accelerators;
            }
            for (std::size_t slot = 0; slot < shard_.fleet.workers.size(); ++slot) {
                const Worker& worker = shard_.fleet.workers[slot];
                const std::string& place = worker.id.value;
                require(
                    worker.used == usedOnWorker_[slot], place, "charged accelerators differ from those of its gangs");
                require(worker.held == held[slot], place, "held accelerators differ from the reservations");
                // The fleet may shrink under running work; decide itself never charges more than there is.
                require(worker.used <= worker.capacity || shard_.hasOvercommitted, place, "overcommitted");
                int free = worker.isAvailable ? std::max(0, worker.capacity - worker.used - worker.held) : 0;
                require(worker.free == free, place, "indexed free accelerators are wrong");
            }
        }

        void checkWorkspaces()
        {
            for (std::size_t slot = 0; slot < shard_.workspaces.size(); ++slot) {
                const Workspace& workspace = shard_.workspaces[slot];
                const std::string& place = workspace.id.value;
                require(workspace.used == usedBy_[slot], place, "used accelerators differ from those of its gangs");
                require(workspace.protectedUsed == protectedBy_[slot], place, "protected accelerators are wrong");
                require(workspace.protectedUsed <= workspace.effectiveGuarantee, place,
                    "more is protected than is guaranteed");
            }
        }

        const Shard& shard_;
        std::vector<int> usedOnWorker_;
        std::vector<int> usedBy_;
        std::vector<int> protectedBy_;
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
        if (workspace.used < 0 || workspace.leaving < 0 || workspace.pending < 0 || workspace.leaving > workspace.used)
            return false;
        used += workspace.used;
        committed
            += workspace.effectiveGuarantee + std::max(0, workspace.unstoppableUsed - workspace.effectiveGuarantee);
    }
    // Guarantees are reclaimable: work that cannot be stopped leaves room for all of them, unless the fleet shrank or
    // the guarantees grew after that work had started.
    bool isReclaimable = committed <= shard.fleet.capacity || shard.hasCommitmentChanged;
    return used == shard.fleet.used && shard.fleet.free >= 0 && isReclaimable;
}

} // namespace agatevane::scheduling

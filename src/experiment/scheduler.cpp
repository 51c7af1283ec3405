#include "scheduler.h"
#include <algorithm>
#include <set>
#include <unordered_map>

namespace agatevane::experiment {

using namespace scheduling;

namespace {

    class Agatevane : public Scheduler {
    public:
        Agatevane(const Policy& policy, const std::vector<WorkerState>& workers)
        {
            setPolicy(*shard_, policy);
            for (const auto& worker : workers)
                setWorker(*shard_, worker);
        }
        void submit(const JobSpec& spec, Instant queuedAt, std::int64_t restoredMs) override
        {
            enqueue(*shard_, spec, queuedAt, restoredMs);
        }
        void markRunning(const JobId& job, Instant at) override { scheduling::markRunning(*shard_, job, at); }
        void markEnded(const JobId& job, EndReason reason, Instant at) override
        {
            scheduling::markEnded(*shard_, job, reason, at);
        }
        void adopt(const JobSpec& spec, const Placement& placement, Instant at) override
        {
            scheduling::adopt(*shard_, spec, placement, at, 0);
        }
        std::vector<Decision> decide(Instant at) override { return scheduling::decide(*shard_, at); }

    private:
        ShardPtr shard_ = makeShard();
    };

    class Baseline : public Scheduler {
    public:
        Baseline(const std::vector<WorkerState>& workers, bool mayOvertake)
            : mayOvertake_(mayOvertake)
        {
            for (const auto& worker : workers) {
                workerIndexes_[worker.id] = freeAccelerators_.size();
                workerIds_.push_back(worker.id);
                freeAccelerators_.push_back(worker.capacity.accelerators);
            }
        }
        void submit(const JobSpec& spec, Instant, std::int64_t) override { queue_.push_back(spec); }
        void markRunning(const JobId&, Instant) override { }
        void markEnded(const JobId& job, EndReason, Instant) override
        {
            for (const auto& part : running_[job])
                freeAccelerators_[workerIndexes_[part.worker]] += part.accelerators;
            running_.erase(job);
        }
        void adopt(const JobSpec& spec, const Placement& placement, Instant) override
        {
            for (const auto& part : placement)
                freeAccelerators_[workerIndexes_[part.worker]] -= part.accelerators;
            running_[spec.id] = placement;
        }
        std::vector<Decision> decide(Instant) override
        {
            std::vector<Decision> decisions;
            std::set<std::pair<int, Spread>> unplaceableShapes;
            for (auto next = queue_.begin(); next != queue_.end();) {
                std::pair shape { next->accelerators, next->maxSpread };
                Placement placement = unplaceableShapes.contains(shape) ? Placement {} : firstFit(*next);
                if (placement.empty()) {
                    unplaceableShapes.insert(shape);
                    if (!mayOvertake_)
                        break;
                    ++next;
                    continue;
                }
                adopt(*next, placement, {});
                decisions.emplace_back(StartGang { next->id, placement });
                next = queue_.erase(next);
            }
            return decisions;
        }

    private:
        Placement firstFit(const JobSpec& spec) const
        {
            Placement placement;
            int minPerWorker = spec.acceleratorsPerWorker;
            if (minPerWorker == 0)
                minPerWorker = spec.maxSpread == Spread::Worker ? spec.accelerators : 1;
            int remaining = spec.accelerators;
            for (std::size_t index = 0; index < freeAccelerators_.size() && remaining > 0; ++index) {
                if (freeAccelerators_[index] < minPerWorker)
                    continue;
                int taken
                    = spec.acceleratorsPerWorker > 0 ? minPerWorker : std::min(remaining, freeAccelerators_[index]);
                placement.push_back({ workerIds_[index], taken });
                remaining -= taken;
            }
            return remaining > 0 ? Placement {} : placement;
        }

        bool mayOvertake_;
        std::unordered_map<WorkerId, std::size_t> workerIndexes_;
        std::vector<WorkerId> workerIds_;
        std::vector<int> freeAccelerators_;
        std::deque<JobSpec> queue_;
        std::unordered_map<JobId, Placement> running_;
    };

} // namespace

std::unique_ptr<Scheduler> makeAgatevane(const Policy& policy, const std::vector<WorkerState>& workers)
{
    return std::make_unique<Agatevane>(policy, workers);
}

std::unique_ptr<Scheduler> makeBaseline(const std::vector<WorkerState>& workers, bool mayOvertake)
{
    return std::make_unique<Baseline>(workers, mayOvertake);
}

} // namespace agatevane::experiment

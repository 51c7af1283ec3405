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
                slots_[worker.id] = free_.size();
                ids_.push_back(worker.id);
                free_.push_back(worker.capacity.accelerators);
            }
        }
        void submit(const JobSpec& spec, Instant, std::int64_t) override { queue_.push_back(spec); }
        void markRunning(const JobId&, Instant) override { }
        void markEnded(const JobId& job, EndReason, Instant) override
        {
            for (const auto& part : running_[job])
                free_[slots_[part.worker]] += part.accelerators;
            running_.erase(job);
        }
        void adopt(const JobSpec& spec, const Placement& placement, Instant) override
        {
            for (const auto& part : placement)
                free_[slots_[part.worker]] -= part.accelerators;
            running_[spec.id] = placement;
        }
        std::vector<Decision> decide(Instant) override
        {
            std::vector<Decision> decisions;
            std::set<std::pair<int, Spread>> misfits;
            for (auto next = queue_.begin(); next != queue_.end();) {
                std::pair shape { next->accelerators, next->maxSpread };
                Placement placement = misfits.contains(shape) ? Placement {} : firstFit(*next);
                if (placement.empty()) {
                    misfits.insert(shape);
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
            int least = spec.acceleratorsPerWorker;
            if (least == 0)
                least = spec.maxSpread == Spread::Worker ? spec.accelerators : 1;
            int left = spec.accelerators;
            for (std::size_t slot = 0; slot < free_.size() && left > 0; ++slot) {
                if (free_[slot] < least)
                    continue;
                int taken = spec.acceleratorsPerWorker > 0 ? least : std::min(left, free_[slot]);
                placement.push_back({ ids_[slot], taken });
                left -= taken;
            }
            return left > 0 ? Placement {} : placement;
        }

        bool mayOvertake_;
        std::unordered_map<WorkerId, std::size_t> slots_;
        std::vector<WorkerId> ids_;
        std::vector<int> free_;
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

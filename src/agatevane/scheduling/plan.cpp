#include "agatevane/scheduling/plan.h"
#include <algorithm>
#include <unordered_map>

namespace agatevane::scheduling {

namespace {

    //! Releases the accelerators of the first candidates in the fleet index, and charges them again on destruction.
    class TemporaryRelease {
    public:
        TemporaryRelease(Shard& shard, const std::vector<int>& candidates)
            : shard_(shard)
            , candidates_(candidates)
        {
        }
        ~TemporaryRelease() { setReleasedCount(0); }
        TemporaryRelease(const TemporaryRelease&) = delete;
        TemporaryRelease& operator=(const TemporaryRelease&) = delete;

        //! Releases or charges candidates so that exactly the first `count` are released.
        void setReleasedCount(std::size_t count)
        {
            for (; released_ < count; ++released_)
                release(shard_.fleet, shard_.jobs[candidates_[released_]].allocation);
            for (; released_ > count; --released_)
                charge(shard_.fleet, shard_.jobs[candidates_[released_ - 1]].allocation);
        }

    private:
        Shard& shard_;
        const std::vector<int>& candidates_;
        std::size_t released_ = 0;
    };

    //! The first `count` candidates without those that are not needed: each one, from the least preferred, is dropped
    //! if the rest still frees every part of the allocation.
    std::vector<int> neededVictims(
        const Shard& shard, const Allocation& allocation, const std::vector<int>& candidates, std::size_t count)
    {
        std::unordered_map<int, int> slack;
        for (const auto& part : allocation)
            slack[part.worker] = shard.fleet.workers[part.worker].free - part.accelerators;
        std::vector<int> needed;
        for (std::size_t i = count; i-- > 0;) {
            const Allocation& parts = shard.jobs[candidates[i]].allocation;
            bool isNeeded = std::any_of(parts.begin(), parts.end(), [&](const AllocationPart& part) {
                auto found = slack.find(part.worker);
                return found != slack.end() && found->second < part.accelerators;
            });
            if (isNeeded) {
                needed.push_back(candidates[i]);
                continue;
            }
            for (const auto& part : parts) {
                auto found = slack.find(part.worker);
                if (found != slack.end())
                    found->second -= part.accelerators;
            }
        }
        std::reverse(needed.begin(), needed.end());
        return needed;
    }

} // namespace

std::optional<ReleasePlan> planReleases(Shard& shard, const Shape& shape, const std::vector<int>& candidates)
{
    std::int64_t reachable = shard.fleet.free;
    std::size_t low = 0; // smallest number of candidates whose accelerators could suffice
    while (low < candidates.size() && reachable < shape.accelerators)
        reachable += shard.jobs[candidates[low++]].accelerators;
    if (reachable < shape.accelerators)
        return std::nullopt;
    TemporaryRelease temporaryRelease(shard, candidates);
    // A shape that fits still fits if more is released. The shortest prefix is therefore found by exponential and then
    // binary search.
    std::size_t high = low;
    for (std::size_t step = 1;; step *= 2) {
        temporaryRelease.setReleasedCount(high);
        if (!findAllocation(shard.fleet, shape).empty())
            break;
        if (high == candidates.size())
            return std::nullopt;
        low = high + 1;
        high = std::min(candidates.size(), high + step);
    }
    while (low < high) {
        std::size_t middle = low + (high - low) / 2;
        temporaryRelease.setReleasedCount(middle);
        if (findAllocation(shard.fleet, shape).empty())
            low = middle + 1;
        else
            high = middle;
    }
    temporaryRelease.setReleasedCount(high);
    ReleasePlan plan { .allocation = findAllocation(shard.fleet, shape), .victims = {} };
    plan.victims = neededVictims(shard, plan.allocation, candidates, high);
    return plan;
}

bool canPlaceVictimsElsewhere(Shard& shard, const ReleasePlan& plan)
{
    TemporaryRelease temporaryRelease(shard, plan.victims);
    temporaryRelease.setReleasedCount(plan.victims.size());
    charge(shard.fleet, plan.allocation);
    std::vector<Allocation> placed;
    for (int victim : plan.victims) {
        Allocation allocation = findAllocation(shard.fleet, shard.shapes[shard.jobs[victim].shape]);
        if (allocation.empty())
            break;
        charge(shard.fleet, allocation);
        placed.push_back(std::move(allocation));
    }
    bool areAllPlaced = placed.size() == plan.victims.size();
    for (const auto& allocation : placed)
        release(shard.fleet, allocation);
    release(shard.fleet, plan.allocation);
    return areAllPlaced;
}

} // namespace agatevane::scheduling

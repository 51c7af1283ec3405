#include "agatevane/scheduling/plan.h"
#include <algorithm>
#include <unordered_map>

namespace agatevane::scheduling {

namespace {

    //! Releases the first candidates in the index and charges them again on destruction.
    class Trial {
    public:
        Trial(Shard& shard, const std::vector<int>& candidates)
            : shard_(shard)
            , candidates_(candidates)
        {
        }
        ~Trial() { setReleased(0); }
        Trial(const Trial&) = delete;
        Trial& operator=(const Trial&) = delete;

        void setReleased(std::size_t count)
        {
            for (; released_ < count; ++released_)
                release(shard_.fleet, shard_.jobs[candidates_[released_]].slots);
            for (; released_ > count; --released_)
                charge(shard_.fleet, shard_.jobs[candidates_[released_ - 1]].slots);
        }

    private:
        Shard& shard_;
        const std::vector<int>& candidates_;
        std::size_t released_ = 0;
    };

    //! Drops victims from the least preferred on while the rest still frees every part of the placement.
    std::vector<int> neededVictims(
        const Shard& shard, const Slots& slots, const std::vector<int>& candidates, std::size_t count)
    {
        std::unordered_map<int, int> slack;
        for (const auto& part : slots)
            slack[part.worker] = shard.fleet.workers[part.worker].free - part.accelerators;
        std::vector<int> needed;
        for (std::size_t i = count; i-- > 0;) {
            const Slots& parts = shard.jobs[candidates[i]].slots;
            bool isNeeded = std::any_of(parts.begin(), parts.end(), [&](const SlotPart& part) {
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

std::optional<Plan> planWithout(Shard& shard, const Shape& shape, const std::vector<int>& candidates)
{
    std::int64_t reachable = shard.fleet.free;
    std::size_t low = 0; // fewest candidates whose accelerators could suffice
    while (low < candidates.size() && reachable < shape.accelerators)
        reachable += shard.jobs[candidates[low++]].accelerators;
    if (reachable < shape.accelerators)
        return std::nullopt;
    Trial trial(shard, candidates);
    // Releasing more never makes a fitting shape misfit, so the shortest prefix is found by doubling and halving.
    std::size_t high = low;
    for (std::size_t step = 1;; step *= 2) {
        trial.setReleased(high);
        if (!fit(shard.fleet, shape).empty())
            break;
        if (high == candidates.size())
            return std::nullopt;
        low = high + 1;
        high = std::min(candidates.size(), high + step);
    }
    while (low < high) {
        std::size_t middle = low + (high - low) / 2;
        trial.setReleased(middle);
        if (fit(shard.fleet, shape).empty())
            low = middle + 1;
        else
            high = middle;
    }
    trial.setReleased(high);
    Plan plan { .slots = fit(shard.fleet, shape), .victims = {} };
    plan.victims = neededVictims(shard, plan.slots, candidates, high);
    return plan;
}

bool canReplaceVictims(Shard& shard, const Plan& plan)
{
    Trial trial(shard, plan.victims);
    trial.setReleased(plan.victims.size());
    charge(shard.fleet, plan.slots);
    std::vector<Slots> placed;
    for (int victim : plan.victims) {
        Slots slots = fit(shard.fleet, shard.shapes[shard.jobs[victim].shape]);
        if (slots.empty())
            break;
        charge(shard.fleet, slots);
        placed.push_back(std::move(slots));
    }
    bool areAllPlaced = placed.size() == plan.victims.size();
    for (const auto& slots : placed)
        release(shard.fleet, slots);
    release(shard.fleet, plan.slots);
    return areAllPlaced;
}

} // namespace agatevane::scheduling

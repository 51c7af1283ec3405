#include "agatevane/fleet/ranking.h"

namespace agatevane::fleet {

namespace {

    //! Beyond this many times its objective a job earns nothing any more.
    constexpr double lateFactor = 3;
    struct Objective {
        std::int64_t dueMs = 0; //!< since acceptance or due time
        std::int64_t lateMs = 0;
    };

    Objective objectiveOf(const Job& job)
    {
        auto chain = static_cast<double>(longestChainMs(job.spec.steps));
        auto due = job.policy.objectiveFactor * chain + static_cast<double>(job.policy.objectiveBase.count());
        return { static_cast<std::int64_t>(due), static_cast<std::int64_t>(lateFactor * due) };
    }

    std::int64_t remainingChainMs(const Job& job, const Occurrence& occurrence)
    {
        auto steps = job.spec.steps;
        for (std::size_t s = 0; s < steps.size(); ++s) {
            if (occurrence.steps[s].done == occurrence.steps[s].tasks.size())
                steps[s].estimatedMs = 0;
        }
        return longestChainMs(steps);
    }

} // namespace

void rank(const Fleet& fleet, Unit& unit, std::int64_t ageMs)
{
    const auto& job = *unit.job;
    auto objective = objectiveOf(job);
    auto remaining = remainingChainMs(job, job.occurrences[unit.occurrence]);
    auto dueSlack = objective.dueMs - ageMs - remaining;
    auto lateSlack = objective.lateMs - ageMs - remaining;
    unit.isWithinGuarantee = job.policy.priority == 0 && fleet.tenantsWithinGuarantee.contains(job.spec.tenant);
    unit.slackMs = dueSlack >= 0 ? dueSlack : lateSlack;
    if (unit.isWithinGuarantee)
        unit.tier = guaranteedTier;
    else if (job.policy.priority == 0)
        unit.tier = urgentTier;
    else if (unit.spec().isContinuous)
        unit.tier = continuousTier;
    else
        unit.tier = lateSlack < 0 ? hopelessTier : (dueSlack < 0 ? lateTier : timelyTier) + job.policy.priority;
}

} // namespace agatevane::fleet

#include "agatevane/fleet/ranking.h"

namespace agatevane::fleet {

namespace {

    //! A job that takes this many times its objective has no value any more.
    constexpr double lateFactor = 3;

    std::int64_t remainingChainMs(const Job& job, const Occurrence& occurrence)
    {
        auto steps = job.spec.steps;
        for (std::size_t stepIndex = 0; stepIndex < steps.size(); ++stepIndex) {
            if (occurrence.steps[stepIndex].done == occurrence.steps[stepIndex].tasks.size())
                steps[stepIndex].estimatedMs = 0;
        }
        return longestChainMs(steps);
    }

} // namespace

Objective objectiveOf(const Job& job)
{
    auto chain = static_cast<double>(longestChainMs(job.spec.steps));
    auto due = job.policy.objectiveFactor * chain + static_cast<double>(job.policy.objectiveBase.count());
    return { static_cast<std::int64_t>(due), static_cast<std::int64_t>(lateFactor * due) };
}

void rank(const Fleet& fleet, PendingStep& pending, std::int64_t ageMs)
{
    const auto& job = *pending.job;
    auto objective = objectiveOf(job);
    auto remaining = remainingChainMs(job, job.occurrences[pending.occurrence]);
    auto dueSlack = objective.dueMs - ageMs - remaining;
    auto lateSlack = objective.lateMs - ageMs - remaining;
    pending.isWithinGuarantee = job.policy.priority == 0 && fleet.tenantsWithinGuarantee.contains(job.spec.tenant);
    pending.dueSlackMs = dueSlack;
    pending.lateSlackMs = lateSlack;
    pending.slackMs = dueSlack >= 0 ? dueSlack : lateSlack;
    if (pending.isWithinGuarantee)
        pending.tier = guaranteedTier;
    else if (job.policy.priority == 0)
        pending.tier = urgentTier;
    else if (pending.spec().isContinuous)
        pending.tier = continuousTier;
    else
        pending.tier = lateSlack < 0 ? expiredTier : (dueSlack < 0 ? lateTier : onTimeTier) + job.policy.priority;
}

} // namespace agatevane::fleet

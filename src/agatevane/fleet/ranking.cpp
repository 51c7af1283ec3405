#include "agatevane/fleet/ranking.h"

#include <algorithm>

namespace agatevane::fleet {

namespace {

    //! A job that takes this many times its objective has no value any more.
    constexpr double lateFactor = 3;

    Objective objectiveOfChain(const Job& job, std::int64_t chainMs)
    {
        auto due = job.policy.objectiveFactor * static_cast<double>(chainMs)
            + static_cast<double>(job.policy.objectiveBase.count());
        return { static_cast<std::int64_t>(due), static_cast<std::int64_t>(lateFactor * due) };
    }

    //! Time until the rest of the job's work must start.
    struct Slack {
        std::int64_t dueMs = 0; //!< ... for the job to meet its objective
        std::int64_t lateMs = 0; //!< ... for the job to have any value
    };

    //! The slack if each task takes the time that this fraction of such tasks does not exceed. The job's objective
    //! depends on the time that its work truly takes, so that it is computed from the same times.
    Slack slackOf(const Fleet& fleet, const PendingStep& pending, double fraction, std::int64_t ageMs)
    {
        const auto& job = *pending.job;
        const auto& occurrence = job.occurrences[pending.occurrence];
        bool isAnyDone = std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
            [](const Step& step) { return step.done == step.tasks.size(); });
        auto chain = learnedChainMs(fleet, job, fraction);
        auto objective = objectiveOfChain(job, chain);
        auto spentMs = ageMs + (isAnyDone ? learnedChainMs(fleet, job, fraction, &occurrence) : chain);
        return { objective.dueMs - spentMs, objective.lateMs - spentMs };
    }

    //! Work that has lost its value goes last, so that it must have lost it whether it is long or short: a longer job
    //! has a later objective, and a shorter one ends sooner.
    bool isExpired(const Fleet& fleet, const PendingStep& pending, const Slack& median, std::int64_t ageMs)
    {
        // Without learned times, all quantiles are the declared time.
        if (median.lateMs >= 0 || !areStopsCostly(fleet.limits))
            return median.lateMs < 0;
        auto isLate = [&](double fraction) { return slackOf(fleet, pending, fraction, ageMs).lateMs < 0; };
        return isLate(shortFraction) && isLate(longFraction);
    }

} // namespace

Objective objectiveOf(const Fleet& fleet, const Job& job, double fraction)
{
    return objectiveOfChain(job, learnedChainMs(fleet, job, fraction));
}

void rank(const Fleet& fleet, PendingStep& pending, std::int64_t ageMs)
{
    const auto& job = *pending.job;
    auto slack = slackOf(fleet, pending, medianFraction, ageMs);
    pending.isWithinGuarantee = job.policy.priority == 0 && fleet.tenantsWithinGuarantee.contains(job.spec.tenant);
    pending.dueSlackMs = slack.dueMs;
    pending.lateSlackMs = slack.lateMs;
    pending.slackMs = slack.dueMs >= 0 ? slack.dueMs : slack.lateMs;
    if (pending.isWithinGuarantee)
        pending.tier = guaranteedTier;
    else if (job.policy.priority == 0)
        pending.tier = urgentTier;
    else if (pending.spec().isContinuous)
        pending.tier = continuousTier;
    else if (isExpired(fleet, pending, slack, ageMs))
        pending.tier = expiredTier;
    else
        pending.tier = (slack.dueMs < 0 ? lateTier : onTimeTier) + job.policy.priority;
}

} // namespace agatevane::fleet

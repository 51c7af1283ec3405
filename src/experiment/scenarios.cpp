#include "scenarios.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace agatevane::experiment {

namespace {

    constexpr double urgentBoundMs = 9300; //!< longest wait of urgent work that counts as in time
    constexpr int largeGang = 64; //!< smallest number of accelerators of a gang that counts as large
    //! Ordinary load, as a share of all accelerators, in the scenarios that add other work.
    constexpr double moderateLoad = 0.6;

    //! Length of the arrival period.
    std::int64_t horizonMs(const Setting& setting)
    {
        return static_cast<std::int64_t>(setting.hours * 3'600'000);
    }

    Result run(const Setting& setting, Candidate candidate, const std::vector<Arrival>& arrivals, bool isFragmented,
        std::uint64_t seed, std::int64_t untilMs)
    {
        auto workers = workersOf(setting);
        auto scheduler = candidate == Candidate::Agatevane ? makeAgatevane(setting.policy, workers)
                                                           : makeBaseline(workers, candidate == Candidate::Overtaking);
        return simulate(setting, *scheduler, arrivals, isFragmented, seed, untilMs);
    }

    std::vector<Arrival> concatenate(std::vector<Arrival> arrivals, std::vector<Arrival> added)
    {
        std::move(added.begin(), added.end(), std::back_inserter(arrivals));
        return arrivals;
    }

    double mean(const std::vector<double>& values)
    {
        return values.empty() ? 0
                              : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
    }

    double quantile(std::vector<double> values, double fraction)
    {
        if (values.empty())
            return 0;
        auto index = static_cast<std::size_t>(std::lround(fraction * static_cast<double>(values.size() - 1)));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
        return values[index];
    }

    //! Returns the accelerator-milliseconds of the jobs that ended in the middle third of the arrival period, without
    //! the jobs under test.
    double otherWorkCompleted(const Setting& setting, const Result& result)
    {
        std::int64_t third = horizonMs(setting) / 3;
        double sum = 0;
        for (const auto& outcome : result.outcomes) {
            const Arrival& arrival = *outcome.arrival;
            if (!arrival.isUnderTest && outcome.endedMs >= third && outcome.endedMs < 2 * third)
                sum += static_cast<double>(arrival.spec.accelerators) * static_cast<double>(arrival.durationMs);
        }
        return sum;
    }

    //! Returns the mean of (time from arrival to end) / (run time) over the jobs of workspace w0 that are not under
    //! test. Run times below 10 s count as 10 s; a job that has not ended counts as ended at `untilMs`.
    double meanSlowdown(const Result& result, std::int64_t untilMs)
    {
        std::vector<double> slowdowns;
        for (const auto& outcome : result.outcomes) {
            const Arrival& arrival = *outcome.arrival;
            if (arrival.isUnderTest || arrival.spec.workspace.value != "w0")
                continue;
            auto endedMs = outcome.endedMs < 0 ? untilMs : outcome.endedMs;
            slowdowns.push_back(static_cast<double>(endedMs - arrival.atMs)
                / static_cast<double>(std::max<std::int64_t>(arrival.durationMs, 10000)));
        }
        return mean(slowdowns);
    }

} // namespace

std::string_view nameOf(Candidate candidate)
{
    switch (candidate) {
    case Candidate::Agatevane:
        return "agatevane";
    case Candidate::FirstCome:
        return "first-come";
    case Candidate::Overtaking:
        return "first-come-overtaking";
    }
    return "unknown";
}

Measurements runOrdinary(const Setting& setting, Candidate candidate, std::uint64_t seed)
{
    auto arrivals = ordinaryLoad(setting, {}, seed);
    std::int64_t untilMs = 3 * horizonMs(setting);
    Result result = run(setting, candidate, arrivals, true, seed, untilMs);
    std::vector<double> completion;
    std::vector<double> largeWaits;
    std::vector<double> urgentWaits;
    double preemptions = 0;
    double unfinished = 0;
    double urgentInTime = 0;
    for (const auto& outcome : result.outcomes) {
        const Arrival& arrival = *outcome.arrival;
        // A job that has not ended counts as ended at the end of the run, which favours a scheduler that leaves jobs
        // unfinished.
        auto ended = static_cast<double>((outcome.endedMs < 0 ? untilMs : outcome.endedMs) - arrival.atMs);
        auto wait = static_cast<double>((outcome.startedMs < 0 ? untilMs : outcome.startedMs) - arrival.atMs);
        completion.push_back(ended / 1000);
        if (arrival.spec.accelerators >= largeGang)
            largeWaits.push_back(wait / 1000);
        if (arrival.spec.workClass == WorkClass::Urgent) {
            urgentWaits.push_back(wait / 1000);
            urgentInTime += wait <= urgentBoundMs ? 1 : 0;
        }
        preemptions += outcome.preemptions;
        unfinished += outcome.endedMs < 0 ? 1 : 0;
    }
    return { { "completion mean s", mean(completion) }, { "completion p50 s", quantile(completion, 0.5) },
        { "completion p99 s", quantile(completion, 0.99) }, { "wait of gangs >= 64 p99 s", quantile(largeWaits, 0.99) },
        { "wait of gangs >= 64 mean s", mean(largeWaits) }, { "fragmentation %", result.fragmentation * 100 },
        { "utilisation %", result.utilisation * 100 }, { "urgent wait p99 s", quantile(urgentWaits, 0.99) },
        { "urgent within 9.3 s %",
            urgentWaits.empty() ? 100 : 100 * urgentInTime / static_cast<double>(urgentWaits.size()) },
        { "preemptions per job", preemptions / static_cast<double>(std::max<std::size_t>(arrivals.size(), 1)) },
        { "jobs", static_cast<double>(arrivals.size()) }, { "unfinished jobs", unfinished } };
}

Measurements runFloods(const Setting& setting, Candidate candidate, std::uint64_t seed)
{
    Load load { .share = moderateLoad };
    std::int64_t untilMs = 2 * horizonMs(setting) / 3;
    auto ordinary = ordinaryLoad(setting, load, seed);
    double workWithoutFlood = otherWorkCompleted(setting, run(setting, candidate, ordinary, false, seed, untilMs));
    auto completedPercent = [&](WorkClass workClass) {
        auto arrivals = concatenate(ordinary, flood(setting, load, workClass, seed));
        Result result = run(setting, candidate, arrivals, false, seed, untilMs);
        return 100 * otherWorkCompleted(setting, result) / std::max(workWithoutFlood, 1.0);
    };
    return { { "kept in batch flood %", completedPercent(WorkClass::Batch) },
        { "kept in urgent flood %", completedPercent(WorkClass::Urgent) } };
}

Measurements runLargeCaller(const Setting& setting, Candidate candidate, std::uint64_t seed)
{
    Load load { .share = moderateLoad };
    std::int64_t untilMs = 3 * horizonMs(setting) / 2;
    auto ordinary = ordinaryLoad(setting, load, seed);
    double slowdownAlone = meanSlowdown(run(setting, candidate, ordinary, false, seed, untilMs), untilMs);
    auto arrivals = concatenate(ordinary, largeCaller(setting, load, seed));
    double slowdownBesideLargeCaller = meanSlowdown(run(setting, candidate, arrivals, false, seed, untilMs), untilMs);
    return { { "slowdown ratio beside 100x caller", slowdownBesideLargeCaller / std::max(slowdownAlone, 1e-9) },
        { "slowdown alone", slowdownAlone } };
}

Measurements runClaim(const Setting& setting, Candidate candidate, std::uint64_t seed)
{
    auto arrivals = ordinaryLoad(setting, { .share = 1.3 }, seed);
    const WorkspaceId& claimant = setting.policy.workspaces.back().id;
    for (auto& arrival : arrivals) {
        if (arrival.spec.workspace == claimant)
            arrival.spec.workspace = { "w0" };
    }
    auto claims = fullClaim(setting, seed);
    std::int64_t claimedMs = claims.front().atMs;
    arrivals = concatenate(std::move(arrivals), std::move(claims));
    Result result = run(setting, candidate, arrivals, true, seed, claimedMs + 600'000);
    double longestWaitMs = 0;
    for (const auto& outcome : result.outcomes) {
        if (outcome.arrival->isUnderTest) {
            auto startedMs = outcome.startedMs < 0 ? claimedMs + 600'000 : outcome.startedMs;
            longestWaitMs = std::max(longestWaitMs, static_cast<double>(startedMs - claimedMs));
        }
    }
    bool isMet = longestWaitMs <= static_cast<double>(setting.policy.reclaimDeadline.count());
    return { { "claims met in time %", isMet ? 100.0 : 0.0 }, { "claim complete after s", longestWaitMs / 1000 } };
}

} // namespace agatevane::experiment

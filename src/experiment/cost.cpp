#include "cost.h"
#include "workload.h"
#include <algorithm>
#include <cmath>
#include <deque>
#include <malloc.h>

namespace agatevane::experiment {

using namespace scheduling;

namespace {

    constexpr int targetAccelerators = 33000 / 12;
    constexpr int targetTasks = 210000 / 12;
    constexpr int targetWorkers = 19000 / 12;
    constexpr int targetWorkspaces = 420;
    constexpr int decideCalls = 2000;

    double allocatedMiB()
    {
        auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd) / (1024 * 1024);
    }

    JobSpec randomJob(Random& random, int jobNumber, int workspaces)
    {
        static const std::vector<int> sizes { 1, 1, 1, 1, 1, 2, 2, 4, 4, 8, 8, 16, 32, 64, 128 };
        int accelerators = sizes[static_cast<std::size_t>(uniform(random, 0, 14))];
        if (accelerators > 8 && uniform(random, 0, 3) != 0)
            accelerators = 1;
        return { .id = { "job-" + std::to_string(jobNumber) },
            .workspace = { "workspace-" + std::to_string(uniform(random, 0, workspaces - 1)) },
            .caller = { "caller-" + std::to_string(uniform(random, 0, 9)) },
            .kind = "kind-" + std::to_string(uniform(random, 0, 3)),
            .workClass = static_cast<WorkClass>(uniform(random, 0, 9) == 0 ? 0 : uniform(random, 1, 2)),
            .accelerators = accelerators,
            .acceleratorsPerWorker = accelerators >= 8 ? 8 : 0,
            .expectedMs = uniform(random, 60'000, 36'000'000),
            .canCheckpoint = uniform(random, 0, 9) != 0 };
    }

    CostSample measure(double scale, std::uint64_t seed)
    {
        Random random(seed);
        CostSample sample { .accelerators = static_cast<int>(targetAccelerators * scale),
            .tasks = static_cast<int>(targetTasks * scale),
            .workspaces = static_cast<int>(targetWorkspaces * scale) };
        Policy policy;
        for (int i = 0; i < sample.workspaces; ++i) {
            policy.workspaces.push_back(
                { .id = { "workspace-" + std::to_string(i) }, .guaranteedAccelerators = 4, .quotaAccelerators = 400 });
        }
        Instant at = Instant {} + std::chrono::hours(1);
        double initialMiB = allocatedMiB();
        ShardPtr shard = makeShard();
        setPolicy(*shard, policy);
        int workers = static_cast<int>(targetWorkers * scale);
        for (int i = 0; i < workers; ++i) {
            // The accelerators are in workers with eight each; the other workers have none.
            setWorker(*shard,
                { .id = { "worker-" + std::to_string(i) },
                    .rack = { "rack-" + std::to_string(i / 8) },
                    .capacity = { .accelerators = i < sample.accelerators / 8 ? 8 : 0 } });
        }
        std::deque<JobId> running;
        int nextJobNumber = 0;
        auto submit = [&] {
            auto spec = randomJob(random, nextJobNumber++, sample.workspaces);
            enqueue(*shard, spec, at, 0);
            return spec;
        };
        for (int i = 0; i < sample.tasks; ++i)
            submit();
        double filledMiB = 0;
        std::vector<double> decisionTimesUs;
        for (int call = 0; call < decideCalls; ++call) {
            at += Millis(100);
            // In every second call one running gang ends, as if gangs ran for minutes. This gives far more changes than
            // gangs that run for hours.
            if (!running.empty() && call % 2 == 0) {
                std::swap(running[static_cast<std::size_t>(
                              uniform(random, 0, static_cast<std::int64_t>(running.size()) - 1))],
                    running.front());
                markEnded(*shard, running.front(), EndReason::Finished, at);
                running.pop_front();
                submit();
            }
            auto begin = std::chrono::steady_clock::now();
            auto decisions = decide(*shard, at);
            auto end = std::chrono::steady_clock::now();
            if (call > 0) // The first call is left out because it fills the whole shard.
                decisionTimesUs.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
            sample.decisions += static_cast<int>(decisions.size());
            for (const auto& decision : decisions) {
                if (const auto* start = std::get_if<StartGang>(&decision)) {
                    markRunning(*shard, start->job, at);
                    running.push_back(start->job);
                } else if (const auto* preempt = std::get_if<PreemptGang>(&decision)) {
                    markEnded(*shard, preempt->job, EndReason::Stopped, at);
                    std::erase(running, preempt->job);
                    submit();
                }
            }
            if (call == decideCalls / 2)
                filledMiB = allocatedMiB();
        }
        sample.memoryMiB = filledMiB - initialMiB;
        std::sort(decisionTimesUs.begin(), decisionTimesUs.end());
        sample.medianUs = decisionTimesUs[decisionTimesUs.size() / 2];
        sample.p99Us = decisionTimesUs[decisionTimesUs.size() * 99 / 100];
        sample.worstUs = decisionTimesUs.back();
        return sample;
    }

} // namespace

std::vector<CostSample> measureCost(std::uint64_t seed)
{
    std::vector<CostSample> samples;
    for (double scale : { 0.25, 0.5, 1.0, 2.0 })
        samples.push_back(measure(scale, seed));
    return samples;
}

double growthExponent(const std::vector<double>& size, const std::vector<double>& value)
{
    double meanX = 0;
    double meanY = 0;
    auto count = static_cast<double>(size.size());
    for (std::size_t i = 0; i < size.size(); ++i) {
        meanX += std::log(size[i]) / count;
        meanY += std::log(value[i]) / count;
    }
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < size.size(); ++i) {
        covariance += (std::log(size[i]) - meanX) * (std::log(value[i]) - meanY);
        variance += (std::log(size[i]) - meanX) * (std::log(size[i]) - meanX);
    }
    return variance > 0 ? covariance / variance : 0;
}

} // namespace agatevane::experiment

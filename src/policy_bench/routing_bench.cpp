#include "agatevane/routing/routing.h"
#include "policy_bench/benches.h"
#include "policy_bench/simulation.h"
#include <algorithm>
#include <cstdio>
#include <deque>

namespace agatevane::bench {

namespace {

    enum class Policy { Random, LeastReportedLoad, Module };

    constexpr int vmCount = 8;
    constexpr int workerCount = 50;
    constexpr int slots = 8;
    constexpr double meanServiceMs = 50;
    const ServiceId service { "visitdesk" };
    const RegionId region { "harju" };

    struct SimulatedWorker {
        int inProgress = 0;
        bool isBroken = false;
        std::deque<std::function<void()>> queue;
    };

    struct Measurements {
        std::vector<double> latencies;
        int failures = 0;
        int requests = 0;
    };

    class Simulation {
    public:
        Simulation(Policy policy, double utilisation, bool hasBrokenWorker, std::uint64_t seed)
            : policy_(policy)
            , random_(seed)
            , workers_(workerCount)
            , vms_(vmCount)
        {
            workers_[0].isBroken = hasBrokenWorker;
            std::vector<routing::WorkerConfig> configs;
            configs.reserve(workerCount);
            for (int i = 0; i < workerCount; ++i)
                configs.push_back({ { std::to_string(i) }, region, service, "", slots, 64 });
            for (auto& vm : vms_) {
                routing::configure(vm, region, configs, {});
                poll(vm, Millis(uniform(random_, 0, 999)));
            }
            meanInterarrivalMs_ = meanServiceMs / (workerCount * slots * utilisation);
            arrive();
        }

        Measurements run()
        {
            timeline_.runUntil(Instant() + Millis(30000));
            return measurements_;
        }

    private:
        //! Each VM polls every worker once a second; the first poll of each VM has a random offset.
        void poll(routing::State& vm, Millis delay)
        {
            timeline_.after(delay, [this, &vm] {
                for (int i = 0; i < workerCount; ++i) {
                    const auto& worker = workers_[i];
                    int ownInProgress = vm.workers[i].ownInProgress;
                    routing::Observation observation { timeline_.now(), "", false, std::min(worker.inProgress, slots),
                        worker.inProgress, ownInProgress };
                    routing::onReport(vm, vm.workers[i].config.id, observation);
                }
                poll(vm, Millis(1000));
            });
        }

        void arrive()
        {
            timeline_.after(exponential(random_, meanInterarrivalMs_), [this] {
                arrive();
                if (timeline_.now() < Instant() + Millis(2000))
                    return; // Requests start only after every VM has received its first reports.
                send(vms_[random_() % vmCount]);
            });
        }

        std::optional<int> choose(routing::State& vm)
        {
            if (policy_ == Policy::Random)
                return static_cast<int>(random_() % workerCount);
            if (policy_ == Policy::LeastReportedLoad) {
                auto used = [](const routing::Worker& worker) {
                    return worker.lastObservation ? worker.lastObservation->connectionsUsed : 0;
                };
                auto least = std::min_element(vm.workers.begin(), vm.workers.end(),
                    [&used](const auto& a, const auto& b) { return used(a) < used(b); });
                return static_cast<int>(least - vm.workers.begin());
            }
            auto choice = routing::choose(vm, { service, true, {} }, timeline_.now(), random_);
            return choice ? std::optional(std::stoi(choice->worker.value)) : std::nullopt;
        }

        void send(routing::State& vm)
        {
            auto arrived = timeline_.now();
            ++measurements_.requests;
            auto index = choose(vm);
            if (!index || workers_[*index].inProgress >= 64) {
                ++measurements_.failures;
                if (index && policy_ == Policy::Module)
                    routing::onResult(
                        vm, { std::to_string(*index) }, routing::Result::Full, Millis(0), arrived, random_);
                return;
            }
            auto& worker = workers_[*index];
            ++worker.inProgress;
            auto serve = [this, &vm, &worker, index = *index, arrived] {
                auto serviceTime
                    = worker.isBroken ? std::chrono::microseconds(500) : exponential(random_, meanServiceMs);
                timeline_.after(
                    serviceTime, [this, &vm, &worker, index, arrived] { finish(vm, worker, index, arrived); });
            };
            if (worker.inProgress <= slots)
                serve();
            else
                worker.queue.push_back(serve);
        }

        void finish(routing::State& vm, SimulatedWorker& worker, int index, Instant arrived)
        {
            --worker.inProgress;
            if (!worker.queue.empty()) {
                auto next = std::move(worker.queue.front());
                worker.queue.pop_front();
                next();
            }
            double latencyMs = std::chrono::duration<double, std::milli>(timeline_.now() - arrived).count();
            auto result = worker.isBroken ? routing::Result::Failure : routing::Result::Success;
            if (worker.isBroken)
                ++measurements_.failures;
            else
                measurements_.latencies.push_back(latencyMs);
            if (policy_ == Policy::Module)
                routing::onResult(vm, { std::to_string(index) }, result, Millis(static_cast<int>(latencyMs)),
                    timeline_.now(), random_);
        }

        Policy policy_;
        Random random_;
        Timeline timeline_;
        std::vector<SimulatedWorker> workers_;
        std::vector<routing::State> vms_;
        double meanInterarrivalMs_ = 0;
        Measurements measurements_;
    };

} // namespace

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    auto position = values.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

void measureRouting(std::uint64_t seed)
{
    constexpr const char* names[] = { "random", "least_by_report", "least_of_two" };
    std::printf("routing: policy utilisation broken_workers p50_ms p99_ms failed_percent\n");
    for (double utilisation : { 0.7, 0.9 }) {
        for (bool hasBrokenWorker : { false, true }) {
            for (auto policy : { Policy::Random, Policy::LeastReportedLoad, Policy::Module }) {
                auto measurements = Simulation(policy, utilisation, hasBrokenWorker, seed).run();
                std::printf("routing: %-16s %.1f %d %7.1f %8.1f %7.3f\n", names[static_cast<int>(policy)], utilisation,
                    hasBrokenWorker ? 1 : 0, percentile(measurements.latencies, 0.5),
                    percentile(measurements.latencies, 0.99),
                    100.0 * measurements.failures / std::max(1, measurements.requests));
            }
        }
    }
}

} // namespace agatevane::bench

#include "agatevane/admission/admission.h"
#include "policy_bench/benches.h"
#include "policy_bench/simulation.h"
#include <cstdio>

namespace agatevane::bench {

namespace {

    using admission::RequestId;

    constexpr int slots = 50;
    constexpr double meanServiceMs = 50;
    constexpr Millis deadline { 2000 };
    constexpr Millis duration { 30000 };

    //! One source of traffic. The simulated system can serve 1,000 requests/s in total.
    struct Source {
        const char* name;
        WorkspaceId workspace;
        CallerId caller;
        WorkClass workClass;
        double requestsPerSecond;
        int offered = 0;
        int served = 0; //!< requests completed within the deadline
        std::vector<double> latencies {}; //!< latency of each served request, in milliseconds
    };

    struct Request {
        std::size_t source = 0;
        Instant arrived;
    };

    class Simulation {
    public:
        Simulation(bool usesModule, std::vector<Source> sources, std::uint64_t seed)
            : usesModule_(usesModule)
            , random_(seed)
            , sources_(std::move(sources))
        {
            admission::Config config;
            config.slots = slots;
            config.classFloors = { 0.1, 0.1, 0.1 };
            config.maxQueued = config.maxQueuedTotal = 1000;
            for (const char* name : { "small1", "small2", "small3", "large" })
                config.workspaces[{ name }] = { 1, 0.1 };
            admission::configure(state_, config, timeline_.now());
            for (std::size_t i = 0; i < sources_.size(); ++i)
                arrive(i);
            tick();
        }

        std::vector<Source> run()
        {
            timeline_.runUntil(Instant() + duration);
            return sources_;
        }

    private:
        void arrive(std::size_t index)
        {
            timeline_.after(exponential(random_, 1000 / sources_[index].requestsPerSecond), [this, index] {
                arrive(index);
                const auto& source = sources_[index];
                ++sources_[index].offered;
                auto requestId = ++lastRequestId_;
                requests_[requestId] = { index, timeline_.now() };
                if (usesModule_) {
                    apply(admission::arrive(state_,
                        { requestId, source.workClass, source.workspace, source.caller, timeline_.now() + deadline },
                        timeline_.now(), random_));
                } else if (running_ < slots) {
                    serve(requestId);
                } else if (fifo_.size() < 1000) {
                    fifo_.push_back(requestId);
                }
            });
        }

        void tick()
        {
            timeline_.after(Millis(50), [this] {
                apply(admission::expire(state_, timeline_.now(), random_));
                tick();
            });
        }

        void apply(const admission::Actions& actions)
        {
            for (const auto& action : actions) {
                if (const auto* start = std::get_if<admission::Start>(&action))
                    serve(start->requestId);
                else
                    requests_.erase(std::get<admission::Shed>(action).requestId);
            }
        }

        void serve(RequestId requestId)
        {
            ++running_;
            timeline_.after(exponential(random_, meanServiceMs), [this, requestId] {
                --running_;
                auto request = requests_.at(requestId);
                requests_.erase(requestId);
                auto& source = sources_[request.source];
                auto latency = timeline_.now() - request.arrived;
                if (latency <= deadline) {
                    ++source.served;
                    source.latencies.push_back(std::chrono::duration<double, std::milli>(latency).count());
                }
                if (usesModule_) {
                    apply(admission::finish(state_, requestId, timeline_.now()));
                } else if (!fifo_.empty()) {
                    auto next = fifo_.front();
                    fifo_.pop_front();
                    serve(next);
                }
            });
        }

        bool usesModule_;
        Random random_;
        Timeline timeline_;
        std::vector<Source> sources_;
        admission::State state_;
        std::deque<RequestId> fifo_;
        std::unordered_map<RequestId, Request> requests_;
        RequestId lastRequestId_ = 0;
        int running_ = 0;
    };

    std::vector<Source> ordinaryTraffic()
    {
        return { { "urgent", { "small1" }, { "a" }, WorkClass::Urgent, 50 },
            { "standard", { "small1" }, { "b" }, WorkClass::Standard, 100 },
            { "batch", { "small2" }, { "c" }, WorkClass::Batch, 100 },
            { "small_partner", { "small3" }, { "d" }, WorkClass::Standard, 100 } };
    }

    void comparePolicies(const char* scenario, const Source& flood, std::uint64_t seed)
    {
        for (bool usesModule : { false, true }) {
            auto sources = ordinaryTraffic();
            sources.push_back(flood);
            for (const auto& source : Simulation(usesModule, sources, seed).run())
                std::printf("admission: %-22s %-6s %-14s %7d %7d %6.1f %8.1f %8.1f\n", scenario,
                    usesModule ? "module" : "fifo", source.name, source.offered, source.served,
                    100.0 * source.served / std::max(1, source.offered), percentile(source.latencies, 0.5),
                    percentile(source.latencies, 0.99));
        }
    }

} // namespace

void measureAdmission(std::uint64_t seed)
{
    std::printf("admission: scenario policy source offered served_in_time percent p50_ms p99_ms\n");
    comparePolicies("batch_flood", { "flood", { "large" }, { "x" }, WorkClass::Batch, 3000 }, seed);
    comparePolicies("urgent_flood", { "flood", { "large" }, { "x" }, WorkClass::Urgent, 3000 }, seed);
    comparePolicies("flood_in_own_workspace", { "flood", { "small1" }, { "x" }, WorkClass::Urgent, 3000 }, seed);
    comparePolicies("caller_asks_100x", { "flood", { "small3" }, { "x" }, WorkClass::Standard, 10000 }, seed);
}

} // namespace agatevane::bench

#include "simulation.h"
#include <algorithm>
#include <queue>
#include <set>
#include <unordered_map>

namespace agatevane::experiment {

using namespace scheduling;

namespace {

    constexpr std::int64_t gangStartMs = 200; //!< time to prepare and start a gang
    constexpr std::int64_t minDecisionIntervalMs = 100; //!< shortest time between two decisions
    constexpr std::int64_t maxDecisionIntervalMs = 1000; //!< longest time between two decisions while jobs wait

    enum class EventKind { Arrive, Run, Finish, Stop };

    struct Event {
        std::int64_t atMs = 0;
        std::uint64_t sequence = 0;
        EventKind kind = EventKind::Arrive;
        int job = 0;
        int attempt = 0;

        bool operator<(const Event& other) const
        {
            return std::pair(atMs, sequence) > std::pair(other.atMs, other.sequence);
        }
    };

    struct Progress {
        int attempt = 0;
        std::int64_t savedMs = 0; //!< run time that checkpoints have saved
        std::int64_t runningSinceMs = -1;
        std::int64_t checkpointStartedMs = -1; //!< start of the checkpoint before preemption; -1 if none is saved
    };

    Instant instant(std::int64_t ms)
    {
        return Instant {} + std::chrono::hours(1) + Millis(ms);
    }

    class Simulation {
    public:
        Simulation(const Setting& setting, Scheduler& scheduler, const std::vector<Arrival>& arrivals)
            : setting_(setting)
            , scheduler_(scheduler)
            , freeAccelerators_(acceleratorsOf(setting))
        {
            for (const auto& arrival : arrivals)
                addJob(arrival, arrival.atMs);
        }

        //! Places a small job on every worker, so that no large block of accelerators is free.
        void addFragmentingJobs(std::uint64_t seed)
        {
            Random random(seed + 5000);
            int nextJobNumber = 0;
            initial_.reserve(setting_.workers);
            for (const auto& worker : workersOf(setting_)) {
                Arrival arrival;
                arrival.durationMs = uniform(random, 1, static_cast<std::int64_t>(setting_.meanDurationSeconds * 4000));
                arrival.checkpointMs = uniform(random, 500, 15000);
                int workspace = nextJobNumber % setting_.workspaces;
                arrival.spec = { .id = { "initial" + std::to_string(nextJobNumber++) },
                    .workspace = { "w" + std::to_string(workspace) },
                    .caller = { "c0" },
                    .kind = "initial",
                    .accelerators = static_cast<int>(uniform(random, 1, 6)),
                    .maxSpread = Spread::Worker,
                    .expectedMs = arrival.durationMs,
                    .canCheckpoint = true };
                initial_.push_back(arrival);
                int job = addJob(initial_.back(), -1);
                scheduler_.adopt(arrival.spec, { { worker.id, arrival.spec.accelerators } }, instant(0));
                freeAccelerators_ -= arrival.spec.accelerators;
                outcomes_[job].startedMs = 0;
                progress_[job].runningSinceMs = 0;
                schedule(arrival.durationMs, EventKind::Finish, job);
            }
        }

        Result run(std::int64_t untilMs)
        {
            auto horizonMs = static_cast<std::int64_t>(setting_.hours * 3'600'000);
            std::int64_t nowMs = 0;
            while (nowMs < untilMs && (!events_.empty() || !waiting_.empty())) {
                std::int64_t nextMs = events_.empty() ? untilMs : events_.top().atMs;
                nextMs = std::max(nextMs, nowMs + minDecisionIntervalMs);
                if (!waiting_.empty())
                    nextMs = std::min(nextMs, nowMs + maxDecisionIntervalMs);
                nextMs = std::min(nextMs, untilMs);
                accumulateUsage(nowMs, std::min(nextMs, horizonMs));
                nowMs = nextMs;
                while (!events_.empty() && events_.top().atMs <= nowMs) {
                    Event event = events_.top();
                    events_.pop();
                    handle(event, nowMs);
                }
                for (const auto& decision : scheduler_.decide(instant(nowMs)))
                    applyDecision(decision, nowMs);
            }
            Result result { .outcomes = std::move(outcomes_) };
            double totalAcceleratorMs = static_cast<double>(acceleratorsOf(setting_)) * static_cast<double>(horizonMs);
            result.fragmentation = unusableAcceleratorMs_ / totalAcceleratorMs;
            result.utilisation = 1 - idleAcceleratorMs_ / totalAcceleratorMs;
            return result;
        }

    private:
        int addJob(const Arrival& arrival, std::int64_t atMs)
        {
            int job = static_cast<int>(outcomes_.size());
            outcomes_.push_back({ .arrival = &arrival });
            progress_.emplace_back();
            jobs_[arrival.spec.id] = job;
            if (atMs >= 0)
                schedule(atMs, EventKind::Arrive, job);
            return job;
        }

        void schedule(std::int64_t atMs, EventKind kind, int job)
        {
            events_.push({ atMs, ++sequence_, kind, job, progress_[job].attempt });
        }

        //! Adds the free accelerators to the idle time, and to the unusable time while any job waits: a waiting gang
        //! cannot use them.
        void accumulateUsage(std::int64_t fromMs, std::int64_t toMs)
        {
            if (toMs <= fromMs)
                return;
            double time = static_cast<double>(toMs - fromMs);
            idleAcceleratorMs_ += freeAccelerators_ * time;
            if (!waiting_.empty())
                unusableAcceleratorMs_ += freeAccelerators_ * time;
        }

        void handle(const Event& event, std::int64_t nowMs)
        {
            const Arrival& arrival = *outcomes_[event.job].arrival;
            Progress& progress = progress_[event.job];
            if (event.kind == EventKind::Arrive) {
                submit(event.job);
                return;
            }
            if (event.attempt != progress.attempt)
                return;
            if (event.kind == EventKind::Run) {
                progress.runningSinceMs = nowMs;
                scheduler_.markRunning(arrival.spec.id, instant(nowMs));
                schedule(nowMs + arrival.durationMs - progress.savedMs, EventKind::Finish, event.job);
                return;
            }
            ++progress.attempt;
            freeAccelerators_ += arrival.spec.accelerators;
            bool isFinished = event.kind == EventKind::Finish;
            scheduler_.markEnded(
                arrival.spec.id, isFinished ? EndReason::Finished : EndReason::Stopped, instant(nowMs));
            if (isFinished) {
                outcomes_[event.job].endedMs = nowMs;
                return;
            }
            if (progress.checkpointStartedMs >= 0 && progress.runningSinceMs >= 0)
                progress.savedMs += std::max<std::int64_t>(0, progress.checkpointStartedMs - progress.runningSinceMs);
            progress.runningSinceMs = -1;
            submit(event.job);
        }

        void submit(int job)
        {
            const Arrival& arrival = *outcomes_[job].arrival;
            scheduler_.submit(arrival.spec, instant(std::max<std::int64_t>(0, arrival.atMs)), progress_[job].savedMs);
            waiting_.insert(job);
        }

        void applyDecision(const Decision& decision, std::int64_t nowMs)
        {
            if (const auto* start = std::get_if<StartGang>(&decision)) {
                int job = jobs_.at(start->job);
                waiting_.erase(job);
                freeAccelerators_ -= outcomes_[job].arrival->spec.accelerators;
                if (outcomes_[job].startedMs < 0)
                    outcomes_[job].startedMs = nowMs;
                progress_[job].checkpointStartedMs = -1;
                schedule(nowMs + gangStartMs, EventKind::Run, job);
            } else if (const auto* preempt = std::get_if<PreemptGang>(&decision)) {
                int job = jobs_.at(preempt->job);
                const Arrival& arrival = *outcomes_[job].arrival;
                auto deadlineMs = elapsed(instant(0), preempt->deadline).count();
                std::int64_t stopMs = nowMs + gangStartMs;
                if (arrival.spec.canCheckpoint) {
                    stopMs = std::min(deadlineMs, nowMs + arrival.checkpointMs);
                    progress_[job].checkpointStartedMs = nowMs + arrival.checkpointMs <= deadlineMs ? nowMs : -1;
                }
                ++outcomes_[job].preemptions;
                schedule(stopMs, EventKind::Stop, job);
            }
        }

        const Setting& setting_;
        Scheduler& scheduler_;
        std::vector<Arrival> initial_;
        std::vector<Outcome> outcomes_;
        std::vector<Progress> progress_;
        std::unordered_map<JobId, int> jobs_;
        std::priority_queue<Event> events_;
        std::set<int> waiting_;
        std::uint64_t sequence_ = 0;
        int freeAccelerators_ = 0;
        double idleAcceleratorMs_ = 0;
        double unusableAcceleratorMs_ = 0;
    };

} // namespace

Result simulate(const Setting& setting, Scheduler& scheduler, const std::vector<Arrival>& arrivals,
    bool isFragmentedAtStart, std::uint64_t seed, std::int64_t untilMs)
{
    Simulation simulation(setting, scheduler, arrivals);
    if (isFragmentedAtStart)
        simulation.addFragmentingJobs(seed);
    Result result = simulation.run(untilMs);
    result.outcomes.resize(arrivals.size()); // Outcomes of the initial jobs are not reported.
    return result;
}

} // namespace agatevane::experiment

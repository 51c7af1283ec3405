#include "simulation.h"
#include <algorithm>
#include <queue>
#include <set>
#include <unordered_map>

namespace agatevane::experiment {

using namespace scheduling;

namespace {

    constexpr std::int64_t startMs = 200; //!< prepare and start of a gang
    constexpr std::int64_t decideMs = 100; //!< shortest time between two decisions
    constexpr std::int64_t idleDecideMs = 1000; //!< between decisions while work waits and nothing happens

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
        std::int64_t savedMs = 0; //!< work kept by checkpoints
        std::int64_t runningSinceMs = -1;
        std::int64_t checkpointFromMs = -1; //!< start of the checkpoint that ends the attempt
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
            , free_(acceleratorsOf(setting))
        {
            for (const auto& arrival : arrivals)
                add(arrival, arrival.atMs);
        }

        //! Small jobs on every worker, so that no large block is free.
        void fragment(std::uint64_t seed)
        {
            Random random(seed + 5000);
            int number = 0;
            initial_.reserve(setting_.workers);
            for (const auto& worker : workersOf(setting_)) {
                Arrival arrival;
                arrival.durationMs = uniform(random, 1, static_cast<std::int64_t>(setting_.meanSeconds * 4000));
                arrival.checkpointMs = uniform(random, 500, 15000);
                int workspace = number % setting_.workspaces;
                arrival.spec = { .id = { "initial" + std::to_string(number++) },
                    .workspace = { "w" + std::to_string(workspace) },
                    .caller = { "c0" },
                    .kind = "initial",
                    .accelerators = static_cast<int>(uniform(random, 1, 6)),
                    .maxSpread = Spread::Worker,
                    .expectedMs = arrival.durationMs,
                    .canCheckpoint = true };
                initial_.push_back(arrival);
                int job = add(initial_.back(), -1);
                scheduler_.adopt(arrival.spec, { { worker.id, arrival.spec.accelerators } }, instant(0));
                free_ -= arrival.spec.accelerators;
                outcomes_[job].startedMs = 0;
                progress_[job].runningSinceMs = 0;
                push(arrival.durationMs, EventKind::Finish, job);
            }
        }

        Result run(std::int64_t untilMs)
        {
            auto horizonMs = static_cast<std::int64_t>(setting_.hours * 3'600'000);
            std::int64_t nowMs = 0;
            while (nowMs < untilMs && (!events_.empty() || !waiting_.empty())) {
                std::int64_t nextMs = events_.empty() ? untilMs : events_.top().atMs;
                nextMs = std::max(nextMs, nowMs + decideMs);
                if (!waiting_.empty())
                    nextMs = std::min(nextMs, nowMs + idleDecideMs);
                nextMs = std::min(nextMs, untilMs);
                measure(nowMs, std::min(nextMs, horizonMs));
                nowMs = nextMs;
                while (!events_.empty() && events_.top().atMs <= nowMs) {
                    Event event = events_.top();
                    events_.pop();
                    handle(event, nowMs);
                }
                for (const auto& decision : scheduler_.decide(instant(nowMs)))
                    carryOut(decision, nowMs);
            }
            Result result { .outcomes = std::move(outcomes_) };
            double all = static_cast<double>(acceleratorsOf(setting_)) * static_cast<double>(horizonMs);
            result.fragmentation = unusable_ / all;
            result.utilisation = 1 - idle_ / all;
            return result;
        }

    private:
        int add(const Arrival& arrival, std::int64_t atMs)
        {
            int job = static_cast<int>(outcomes_.size());
            outcomes_.push_back({ .arrival = &arrival });
            progress_.emplace_back();
            jobs_[arrival.spec.id] = job;
            if (atMs >= 0)
                push(atMs, EventKind::Arrive, job);
            return job;
        }

        void push(std::int64_t atMs, EventKind kind, int job)
        {
            events_.push({ atMs, ++sequence_, kind, job, progress_[job].attempt });
        }

        //! Free accelerators are unusable for the largest waiting gang as long as it waits.
        void measure(std::int64_t fromMs, std::int64_t toMs)
        {
            if (toMs <= fromMs)
                return;
            double time = static_cast<double>(toMs - fromMs);
            idle_ += free_ * time;
            if (!waiting_.empty())
                unusable_ += free_ * time;
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
                push(nowMs + arrival.durationMs - progress.savedMs, EventKind::Finish, event.job);
                return;
            }
            ++progress.attempt;
            free_ += arrival.spec.accelerators;
            bool isFinished = event.kind == EventKind::Finish;
            scheduler_.markEnded(
                arrival.spec.id, isFinished ? EndReason::Finished : EndReason::Stopped, instant(nowMs));
            if (isFinished) {
                outcomes_[event.job].endedMs = nowMs;
                return;
            }
            if (progress.checkpointFromMs >= 0 && progress.runningSinceMs >= 0)
                progress.savedMs += std::max<std::int64_t>(0, progress.checkpointFromMs - progress.runningSinceMs);
            progress.runningSinceMs = -1;
            submit(event.job);
        }

        void submit(int job)
        {
            const Arrival& arrival = *outcomes_[job].arrival;
            scheduler_.submit(arrival.spec, instant(std::max<std::int64_t>(0, arrival.atMs)), progress_[job].savedMs);
            waiting_.insert(job);
        }

        void carryOut(const Decision& decision, std::int64_t nowMs)
        {
            if (const auto* start = std::get_if<StartGang>(&decision)) {
                int job = jobs_.at(start->job);
                waiting_.erase(job);
                free_ -= outcomes_[job].arrival->spec.accelerators;
                if (outcomes_[job].startedMs < 0)
                    outcomes_[job].startedMs = nowMs;
                progress_[job].checkpointFromMs = -1;
                push(nowMs + startMs, EventKind::Run, job);
            } else if (const auto* preempt = std::get_if<PreemptGang>(&decision)) {
                int job = jobs_.at(preempt->job);
                const Arrival& arrival = *outcomes_[job].arrival;
                auto deadlineMs = elapsed(instant(0), preempt->deadline).count();
                std::int64_t stopMs = nowMs + startMs;
                if (arrival.spec.canCheckpoint) {
                    stopMs = std::min(deadlineMs, nowMs + arrival.checkpointMs);
                    progress_[job].checkpointFromMs = nowMs + arrival.checkpointMs <= deadlineMs ? nowMs : -1;
                }
                ++outcomes_[job].preemptions;
                push(stopMs, EventKind::Stop, job);
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
        int free_ = 0;
        double idle_ = 0;
        double unusable_ = 0;
    };

} // namespace

Result simulate(const Setting& setting, Scheduler& scheduler, const std::vector<Arrival>& arrivals,
    bool isFragmentedAtStart, std::uint64_t seed, std::int64_t untilMs)
{
    Simulation simulation(setting, scheduler, arrivals);
    if (isFragmentedAtStart)
        simulation.fragment(seed);
    Result result = simulation.run(untilMs);
    result.outcomes.resize(arrivals.size()); // the initial jobs are no part of the load
    return result;
}

} // namespace agatevane::experiment

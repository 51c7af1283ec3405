#pragma once

#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include "simulation.h"
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace agatevane::test {

//! One owner and three workers on a simulated clock. Polls wait at the worker until a run ends, and end with their
//! connection when the worker restarts.
class PolledFleet {
public:
    static constexpr std::int64_t stepMs = 5;

    PolledFleet();
    virtual ~PolledFleet() = default;
    PolledFleet(const PolledFleet&) = delete;
    PolledFleet& operator=(const PolledFleet&) = delete;

    void run(std::int64_t endMs);
    //! Runs of a task that began after another run's success had been acknowledged.
    std::vector<standin::RunRecord> repeatedRuns() const;
    const std::vector<standin::RunRecord>& runs() const { return workers_.history(); }

protected:
    //! What happens at the present instant before the owner decides: restarts and submissions.
    virtual void changeWorld() = 0;
    virtual std::int64_t linkDelayMs() = 0;
    virtual std::int64_t commitDelayMs() = 0;
    virtual void sendPoll(const fleet::PollOrder& order) { pollInTime(order); }

    void schedule(std::int64_t delayMs, std::function<void()> action);
    //! Submits a job of one task. `estimatedMs`: its declared length; 0: its true one.
    void submit(std::int64_t durationMs, std::int64_t estimatedMs = 0);
    void pollInTime(const fleet::PollOrder& order);
    //! The poll is carried out `delayMs` later and not answered.
    void pollLate(
        const fleet::PollOrder& order, std::int64_t delayMs, std::function<void()> carriedOut = [] {});

    standin::WorkerModel workers_;
    std::int64_t nowMs_ = 0;

private:
    static Instant instantAt(std::int64_t ms);
    void step();
    void sendStart(const fleet::StartOrder& order);
    void sendStop(const fleet::StopOrder& order);
    void failPoll(const fleet::PollOrder& order);
    void waitForEnd(const fleet::PollOrder& order, std::int64_t incarnation, std::int64_t untilMs);
    void commit();

    desired_state::Queue queue_ = sampleQueue();
    fleet::Fleet fleet_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    bool isCommitting_ = false;
};

} // namespace agatevane::test

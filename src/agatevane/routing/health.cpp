#include "agatevane/routing/health.h"

#include <algorithm>
#include <cmath>

namespace agatevane::routing {

namespace {

    constexpr int ejectAfterConsecutiveFailures = 5;
    constexpr double ejectAtFailureShare = 0.5;
    constexpr double minRequestsForShare = 20; //!< a failure share of fewer requests is not significant
    constexpr double decayTimeConstantSeconds = 10;
    //! Maximum ejected share of a region's workers. If more fail at once, the cause lies outside the workers.
    constexpr double maxEjectedShare = 0.3;
    constexpr Millis firstEjection { 1000 }; //!< duration of the first ejection; each further one in a row doubles it
    constexpr int maxDoublings = 6; //!< limits an ejection to 64 s before jitter
    //! Non-idempotent requests, which may not be retried elsewhere after a failure, probe a worker this much later.
    constexpr Millis nonIdempotentProbeDelay { 5000 };

    double decayFactor(const Worker& worker, Instant now)
    {
        return std::exp(-std::chrono::duration<double>(now - worker.decayedAt).count() / decayTimeConstantSeconds);
    }

    bool isEjectionAllowed(const State& state, const RegionId& region)
    {
        int all = 0;
        int ejected = 0;
        for (const auto& worker : state.workers) {
            if (worker.config.region != region)
                continue;
            ++all;
            ejected += worker.health != Health::Healthy ? 1 : 0;
        }
        return ejected + 1 <= maxEjectedShare * all;
    }

    void eject(Worker& worker, Instant now, Random& random)
    {
        auto backOff = firstEjection * (1 << std::min(worker.ejections, maxDoublings));
        // Jitter prevents the VMs from probing one worker at the same instant.
        auto jitter = Millis(uniform(random, 0, backOff.count() / 4));
        worker.health = Health::Ejected;
        worker.ejectedUntil = now + backOff + jitter;
        ++worker.ejections;
    }

} // namespace

void updateHealth(State& state, Worker& worker, Result result, Instant now, Random& random)
{
    // A refusal is no evidence of the worker's health, but the end of a probe must end the probing state.
    if (result == Result::Leaving || result == Result::Full) {
        if (worker.health == Health::Probing)
            worker.health = Health::Ejected;
        return;
    }
    double factor = decayFactor(worker, now);
    bool hasFailed = result != Result::Success;
    worker.recentRequests = worker.recentRequests * factor + 1;
    worker.recentFailures = worker.recentFailures * factor + (hasFailed ? 1 : 0);
    worker.decayedAt = now;
    worker.consecutiveFailures = hasFailed ? worker.consecutiveFailures + 1 : 0;
    if (worker.health == Health::Probing) {
        if (hasFailed)
            return eject(worker, now, random);
        worker.health = Health::Healthy;
        worker.recentRequests = worker.recentFailures = 0;
        return;
    }
    if (worker.health == Health::Ejected)
        return; // The request was sent before the ejection.
    bool hasFailedOften = worker.recentRequests >= minRequestsForShare
        && worker.recentFailures >= ejectAtFailureShare * worker.recentRequests;
    if (worker.consecutiveFailures >= ejectAfterConsecutiveFailures || hasFailedOften) {
        if (isEjectionAllowed(state, worker.config.region))
            eject(worker, now, random);
    } else if (!hasFailed && worker.recentFailures < 0.5) {
        worker.ejections = 0;
    }
}

bool isProbeDue(const Worker& worker, bool isIdempotent, Instant now)
{
    auto due = worker.ejectedUntil + (isIdempotent ? Millis(0) : nonIdempotentProbeDelay);
    return worker.health == Health::Ejected && now >= due && worker.ownInProgress == 0;
}

double failureShare(const Worker& worker, Instant now)
{
    constexpr double priorRequests = 2; // Assumed successes, so that a single failure does not give a share of 1.
    double factor = decayFactor(worker, now);
    return worker.recentFailures * factor / (worker.recentRequests * factor + priorRequests);
}

} // namespace agatevane::routing

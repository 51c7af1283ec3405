#include "agatevane/routing/health.h"

#include <algorithm>
#include <cmath>

namespace agatevane::routing {

namespace {

    constexpr int ejectAfterInARow = 5;
    constexpr double ejectAtShare = 0.5;
    constexpr double minRequestsForShare = 20; //!< fewer say little
    constexpr double decaySeconds = 10;
    constexpr double maxEjectedShare = 0.3; //!< of a region's workers; more at once is not the workers' fault
    constexpr Millis firstEjection { 1000 };
    constexpr int maxDoublings = 6; //!< 64 s
    constexpr Millis nonIdempotentProbeDelay { 5000 };

    double decayFactor(const Worker& worker, Instant now)
    {
        return std::exp(-std::chrono::duration<double>(now - worker.decayed).count() / decaySeconds);
    }

    bool mayEject(const State& state, const RegionId& region)
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
        // Jitter keeps the VMs from probing one worker at the same instant.
        auto jitter = Millis(uniform(random, 0, backOff.count() / 4));
        worker.health = Health::Ejected;
        worker.ejectedUntil = now + backOff + jitter;
        ++worker.ejections;
    }

} // namespace

void updateHealth(State& state, Worker& worker, Result result, Instant now, Random& random)
{
    // A refusal says nothing about the worker's ability to serve, but an ended probe must leave the probing state.
    if (result == Result::Leaving || result == Result::Full) {
        if (worker.health == Health::Probing)
            worker.health = Health::Ejected;
        return;
    }
    double factor = decayFactor(worker, now);
    bool hasFailed = result != Result::Success;
    worker.recentRequests = worker.recentRequests * factor + 1;
    worker.recentFailures = worker.recentFailures * factor + (hasFailed ? 1 : 0);
    worker.decayed = now;
    worker.failuresInARow = hasFailed ? worker.failuresInARow + 1 : 0;
    if (worker.health == Health::Probing) {
        if (hasFailed)
            return eject(worker, now, random);
        worker.health = Health::Healthy;
        worker.recentRequests = worker.recentFailures = 0;
        return;
    }
    if (worker.health == Health::Ejected)
        return; // The end of a request from before the ejection.
    bool hasFailedOften
        = worker.recentRequests >= minRequestsForShare && worker.recentFailures >= ejectAtShare * worker.recentRequests;
    if (worker.failuresInARow >= ejectAfterInARow || hasFailedOften) {
        if (mayEject(state, worker.config.region))
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
    constexpr double unprejudiced = 2; // One failure alone is not a share of 1.
    double factor = decayFactor(worker, now);
    return worker.recentFailures * factor / (worker.recentRequests * factor + unprejudiced);
}

} // namespace agatevane::routing

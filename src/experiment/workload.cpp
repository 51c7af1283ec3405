#include "workload.h"
#include <algorithm>
#include <cmath>

namespace agatevane::experiment {

namespace {

    constexpr int acceleratorsPerWorker = 8;
    constexpr int workersPerRack = 8;
    constexpr int callersPerWorkspace = 5;
    constexpr int kindCount = 4;

    struct GangSize {
        int accelerators;
        double share; //!< share of all jobs that have this size
    };

    const std::vector<GangSize>& gangSizes()
    {
        static const std::vector<GangSize> sizes { { 1, 0.5 }, { 2, 0.2 }, { 4, 0.14 }, { 8, 0.11 }, { 16, 0.03 },
            { 32, 0.012 }, { 64, 0.006 }, { 128, 0.002 } };
        return sizes;
    }

    double fraction(Random& random)
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    int drawSize(const Setting& setting, Random& random)
    {
        double drawn = fraction(random);
        for (const auto& size : gangSizes()) {
            drawn -= size.share;
            if (drawn <= 0)
                return std::min(size.accelerators, setting.largestGang);
        }
        return 1;
    }

    double meanSize(const Setting& setting)
    {
        double sum = 0;
        for (const auto& size : gangSizes())
            sum += size.share * std::min(size.accelerators, setting.largestGang);
        return sum;
    }

    Arrival drawJob(const Setting& setting, Random& random, const std::string& id, int accelerators)
    {
        Arrival arrival;
        // Run times are log-normal with the given mean; with sigma 1 the longest job takes about ten times the mean.
        arrival.durationMs = static_cast<std::int64_t>(
            std::lognormal_distribution<double>(std::log(setting.meanDurationSeconds) - 0.5, 1)(random) * 1000);
        arrival.durationMs = std::max<std::int64_t>(arrival.durationMs, 1000);
        arrival.checkpointMs = uniform(random, 500, 15000);
        if (uniform(random, 0, 19) == 0)
            arrival.checkpointMs = 3'600'000; // This job does not answer checkpoint requests.
        auto kind = uniform(random, 0, kindCount - 1);
        auto workspace = uniform(random, 0, setting.workspaces - 1);
        // The declared run time is wrong by a constant factor between 1/10 and 10 for each kind in a
        // workspace, and by a random factor for each job.
        double error = std::pow(10.0, -1 + 2.0 * static_cast<double>((kind + workspace) % kindCount) / (kindCount - 1));
        error *= std::pow(1.5, 2 * fraction(random) - 1);
        double urgency = fraction(random);
        arrival.spec = { .id = { id },
            .workspace = { "w" + std::to_string(workspace) },
            .caller = { "c" + std::to_string(uniform(random, 0, callersPerWorkspace - 1)) },
            .kind = "kind" + std::to_string(kind),
            .workClass = urgency < 0.05 ? WorkClass::Urgent : (urgency < 0.65 ? WorkClass::Standard : WorkClass::Batch),
            .accelerators = accelerators,
            .acceleratorsPerWorker = accelerators >= acceleratorsPerWorker ? acceleratorsPerWorker : 0,
            .maxSpread = accelerators <= 8 ? Spread::Worker : Spread::DataCentre,
            .expectedMs
            = static_cast<std::int64_t>(static_cast<double>(arrival.durationMs) * std::clamp(error, 0.1, 10.0)),
            .canCheckpoint = uniform(random, 0, 9) != 0 };
        return arrival;
    }

    std::vector<Arrival> poissonArrivals(
        const Setting& setting, double share, double from, double to, std::uint64_t seed, const std::string& prefix)
    {
        Random random(seed);
        double arrivalsPerSecond = share * acceleratorsOf(setting) / (meanSize(setting) * setting.meanDurationSeconds);
        std::vector<Arrival> arrivals;
        for (double at = from; share > 0;) {
            at += std::exponential_distribution<double>(arrivalsPerSecond)(random);
            if (at >= to)
                break;
            auto arrival
                = drawJob(setting, random, prefix + std::to_string(arrivals.size()), drawSize(setting, random));
            arrival.atMs = static_cast<std::int64_t>(at * 1000);
            arrivals.push_back(std::move(arrival));
        }
        return arrivals;
    }

} // namespace

std::vector<Setting> settings()
{
    std::vector<Setting> all {
        { .name = "visitdesk" },
        { .name = "avalia", .meanDurationSeconds = 600, .hours = 8 },
        { .name = "target-shard",
            .workers = 344,
            .shards = 1,
            .workspaces = 420,
            .largestGang = 128,
            .meanDurationSeconds = 10000,
            .hours = 24 },
    };
    // This setting favours fairness and protection from floods: it leaves room for workspaces below their share.
    all[0].policy.headroom = 0.1;
    all[0].policy.reserveByShare = true;
    // This setting favours completion times and low fragmentation: it serves large gangs sooner, at the cost of more
    // preemption.
    all[1].policy.reservationAfter = Millis(20000);
    all[1].policy.starvedAfter = Millis(60000);
    all[1].policy.shareClaimAfter = Millis(60000);
    for (auto& setting : all) {
        // The last ten of many workspaces, or all of at most four, have large guarantees. All guarantees together fit
        // the data centre without one rack.
        for (int i = 0; i < setting.workspaces; ++i) {
            bool isLarge = setting.workspaces <= 4 || i >= setting.workspaces - 10;
            setting.policy.workspaces.push_back({ .id = { "w" + std::to_string(i) },
                .guaranteedAccelerators = isLarge ? (setting.workspaces <= 4 ? 16 : 64) : 4 });
        }
    }
    return all;
}

std::vector<scheduling::WorkerState> workersOf(const Setting& setting)
{
    std::vector<scheduling::WorkerState> workers;
    workers.reserve(setting.workers);
    for (int worker = 0; worker < setting.workers; ++worker) {
        workers.push_back({ .id = { "worker" + std::to_string(worker) },
            .rack = { "rack" + std::to_string(worker / workersPerRack) },
            .capacity = { .accelerators = acceleratorsPerWorker } });
    }
    return workers;
}

int acceleratorsOf(const Setting& setting)
{
    return setting.workers * acceleratorsPerWorker;
}

std::vector<Arrival> ordinaryLoad(const Setting& setting, const Load& load, std::uint64_t seed)
{
    return poissonArrivals(setting, load.share, 0, setting.hours * 3600, seed, "job");
}

std::vector<Arrival> flood(const Setting& setting, const Load& load, WorkClass workClass, std::uint64_t seed)
{
    double third = setting.hours * 1200;
    double classShare = workClass == WorkClass::Batch ? 0.35 : 0.05;
    auto arrivals = poissonArrivals(setting, load.share * 20 * classShare, third, 2 * third, seed + 1000, "flood");
    for (auto& arrival : arrivals) {
        arrival.spec.workspace = { "w0" };
        arrival.spec.caller = { "flood" };
        arrival.spec.workClass = workClass;
        arrival.isUnderTest = true;
    }
    return arrivals;
}

std::vector<Arrival> largeCaller(const Setting& setting, const Load& load, std::uint64_t seed)
{
    double sharePerCaller = load.share / setting.workspaces / callersPerWorkspace;
    auto arrivals = poissonArrivals(setting, sharePerCaller * 100, 0, setting.hours * 3600, seed + 2000, "large");
    for (auto& arrival : arrivals) {
        arrival.spec.workspace = { "w0" };
        arrival.spec.caller = { "large" };
        arrival.isUnderTest = true;
    }
    return arrivals;
}

std::vector<Arrival> fullClaim(const Setting& setting, std::uint64_t seed)
{
    Random random(seed + 3000);
    int remaining = setting.policy.workspaces.back().guaranteedAccelerators;
    std::vector<Arrival> arrivals;
    while (remaining > 0) {
        int size = std::min(remaining, 1 << uniform(random, 0, 3));
        auto arrival = drawJob(setting, random, "claim" + std::to_string(arrivals.size()), size);
        arrival.spec.workspace = setting.policy.workspaces.back().id;
        arrival.spec.workClass = WorkClass::Standard;
        arrival.durationMs = 3'600'000;
        arrival.atMs = static_cast<std::int64_t>(setting.hours * 1'800'000);
        arrival.isUnderTest = true;
        arrivals.push_back(std::move(arrival));
        remaining -= size;
    }
    return arrivals;
}

} // namespace agatevane::experiment

#pragma once

#include "agatevane/base/job.h"
#include "agatevane/base/random.h"
#include "agatevane/scheduling/shard.h"
#include <string>
#include <vector>

//! Seeded arrivals for the experiment.
namespace agatevane::experiment {

struct Arrival {
    JobSpec spec;
    std::int64_t atMs = 0;
    std::int64_t durationMs = 0; //!< true run time; spec.expectedMs is off by up to ten
    std::int64_t checkpointMs = 0; //!< time that a checkpoint takes
    bool isUnderTest = false; //!< part of the flood, of the large caller or of the claim
};

//! One data centre and its ordinary load.
struct Setting {
    std::string name;
    int workers = 17;
    int shards = 3; //!< data centres; each is run with a seed of its own
    int workspaces = 4;
    int largestGang = 64;
    double meanSeconds = 180;
    double hours = 3;
    scheduling::Policy policy;
};

std::vector<Setting> settings();

std::vector<scheduling::WorkerState> workersOf(const Setting& setting);
int acceleratorsOf(const Setting& setting);

struct Load {
    double share = 0.85; //!< of the accelerators
};

std::vector<Arrival> ordinaryLoad(const Setting& setting, const Load& load, std::uint64_t seed);

//! 20 times the ordinary arrivals of one class, from one caller of the first workspace, during the middle third.
std::vector<Arrival> flood(const Setting& setting, const Load& load, WorkClass workClass, std::uint64_t seed);

//! Jobs of one caller of the first workspace that asks for 100 times as much as each other caller there.
std::vector<Arrival> largeCaller(const Setting& setting, const Load& load, std::uint64_t seed);

//! Jobs that add up to the last workspace's guarantee, all at half of the time.
std::vector<Arrival> fullClaim(const Setting& setting, std::uint64_t seed);

} // namespace agatevane::experiment

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
    std::int64_t durationMs = 0; //!< true run time; spec.expectedMs differs from it by a factor of up to 10
    std::int64_t checkpointMs = 0; //!< time that a checkpoint takes
    bool isUnderTest = false; //!< whether the job belongs to the flood, the large caller or the claim
};

//! One data centre and its ordinary load.
struct Setting {
    std::string name;
    int workers = 17;
    int shards = 3; //!< number of data centres; each is simulated with its own seed
    int workspaces = 4;
    int largestGang = 64;
    double meanDurationSeconds = 180; //!< mean run time of a job
    double hours = 3; //!< length of the arrival period
    scheduling::Policy policy;
};

std::vector<Setting> settings();

std::vector<scheduling::WorkerState> workersOf(const Setting& setting);
int acceleratorsOf(const Setting& setting);

struct Load {
    double share = 0.85; //!< offered load as a share of all accelerators
};

std::vector<Arrival> ordinaryLoad(const Setting& setting, const Load& load, std::uint64_t seed);

//! 20 times the ordinary arrivals of one class, from one caller of the first workspace, during the middle third of the
//! arrival period.
std::vector<Arrival> flood(const Setting& setting, const Load& load, WorkClass workClass, std::uint64_t seed);

//! Jobs of one caller of the first workspace that asks for 100 times as much as each other caller there.
std::vector<Arrival> largeCaller(const Setting& setting, const Load& load, std::uint64_t seed);

//! Jobs whose accelerators add up to the last workspace's guarantee; all arrive halfway through the arrival period.
std::vector<Arrival> fullClaim(const Setting& setting, std::uint64_t seed);

} // namespace agatevane::experiment

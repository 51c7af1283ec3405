#pragma once

#include "deployment.h"
#include "platform.h"
#include "record.h"
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

//! The cases of the review that are scripts. Each returns one of the exit codes of run.sh.
namespace rig {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

constexpr std::int64_t ackTimeoutMs = 4000;
constexpr int killsPerMachine = 3; //!< of the rule on processes that end
constexpr std::int64_t finishMs = 14'000; //!< `finish_s`

struct CaseOptions {
    std::string command; //!< how the deploy file starts a node
    std::string recordPath;
    bool hasTrouble = true; //!< false: the same without the disruption
};

//! Many jobs of many small steps, scheduled for later: the memory of the nodes.
int manyScheduledJobs(const CaseOptions& options);
//! As above, but due at once: the time that the owner needs for a round of decisions.
int manyDueJobs(const CaseOptions& options);
//! An entry of another writer under the id of a worker: the runs of that worker.
int foreignEntry(const CaseOptions& options);
//! Bodies of legal size, many at once: the memory of requests that are being handled.
int crowd(const CaseOptions& options);
//! Bodies far over the limit of the desired state: values that the store refuses.
int largeBodies(const CaseOptions& options);
//! One job whose progress does not fit into a value of the store.
int largeJob(const CaseOptions& options);

//! The platform with its workers, and three nodes that are ready.
struct Setting {
    Setting(const CaseOptions& options, const std::vector<std::string>& workerKinds);

    //! False if the deployment doesn't become ready.
    bool start();
    //! Submits an ordinary job as a consumer does; true if it was accepted. It is then one of `ordinaryJobs`.
    bool submitOrdinary(int number, const std::string& specification, int steps);
    std::string stateOf(const std::string& id, int attempts);
    //! Cancels a job as a consumer does, who asks again while there is no answer. True if that is acknowledged within
    //! `ackTimeoutMs`.
    bool cancel(const std::string& id);
    //! Cancels all ordinary jobs at once. Returns how many cancellations are not acknowledged in time.
    int cancelOrdinaryJobs();

    CaseOptions options;
    Record record;
    Platform platform;
    std::unique_ptr<Deployment> nodes;
    std::vector<std::string> ordinaryJobs;
    std::map<std::string, int> stepsOf; //!< of the ordinary jobs
};

//! The target of a job, and its ID.
std::string targetOf(const std::string& id);
std::string ordinaryId(int number);
std::string troubleId(int number);

} // namespace rig

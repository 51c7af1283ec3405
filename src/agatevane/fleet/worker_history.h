#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/instant.h"
#include "agatevane/fleet/model.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

//! How reliable and how fast workers have lately been, from the ends of their runs. A worker that fails what it starts
//! looks idle and would attract waiting work, while its health probe may be good. The history is kept only where stops
//! are costly, see areStopsCostly(); elsewhere every worker stays trusted.
namespace agatevane::fleet {

struct Fleet;
struct Worker;

//! How far placement relies on a worker. Later ones are chosen after earlier ones.
enum class Standing {
    Trusted,
    Tolerated, //!< a suspect that is used because enough others of its service are held back
    Probation, //!< a suspect that gets one short task at a time
    HeldBack //!< a suspect that gets work only if no other worker could hold it
};

} // namespace agatevane::fleet

template <> struct agatevane::EnumNames<agatevane::fleet::Standing> {
    static constexpr std::array<std::pair<agatevane::fleet::Standing, std::string_view>, 4> table { {
        { agatevane::fleet::Standing::Trusted, "trusted" },
        { agatevane::fleet::Standing::Tolerated, "tolerated" },
        { agatevane::fleet::Standing::Probation, "probation" },
        { agatevane::fleet::Standing::HeldBack, "held_back" },
    } };
};

namespace agatevane::fleet {

//! Ends of a worker's runs, each counted less the longer ago it was.
struct EndCounts {
    double successes = 0;
    double faults = 0; //!< ends by the worker's fault
    Instant countedAt; //!< the time for which the counts hold
    Instant nextFaultAt; //!< losses and refused starts before it belong to one that has been counted
    bool isSuspect = false;
};

//! Failed runs of one step on one worker.
struct StepFailure {
    WorkerId worker;
    double ends = 0; //!< decaying number of failed runs
    double counted = 0; //!< the part of `EndCounts::faults` that is from them
    Instant countedAt; //!< the time for which the two numbers hold
};

//! The workers on which runs of one step have failed.
struct StepFailures {
    std::vector<StepFailure> failures; //!< one for each worker
    bool hasSucceeded = false; //!< another worker than the failing one has done a task of the step
    Instant changedAt;
};

//! Steps whose failures are kept at a time. The oldest are given up for new ones.
constexpr std::size_t maxStepsWithFailures = 500;
//! Workers that are kept for one step. By then, the failures say little of any of them.
constexpr std::size_t maxFailuresOfStep = 16;

//! Durations of a worker's recent runs, compared with what was expected.
struct SpeedEstimate {
    double logSum = 0; //!< sum of the logarithms of expected over actual duration, each less the more have followed
    double samples = 0; //!< number of durations in `logSum`, counted in the same way
    std::vector<std::string> labels; //!< labels of the worker at that time
};

//! What an owner has learned of its workers. A new owner begins without it.
struct WorkerHistory {
    std::map<WorkerId, EndCounts> ends; //!< of workers in `Fleet::workers`
    std::set<WorkerId> suspects; //!< workers with `EndCounts::isSuspect`
    std::map<TaskId, StepFailures> stepFailures; //!< by the first task of the step
    std::map<WorkerId, SpeedEstimate> speeds; //!< of workers in `Fleet::workers`
    Instant nextReviewAt; //!< see reviewStandings()
    std::size_t heldBackWorkers = 0;
    std::size_t workersOnProbation = 0;
    std::uint64_t startsOnSuspects = 0;
};

//! A run on the worker has ended successfully.
void noteSuccess(Fleet& fleet, const Worker& worker, const TaskId& task, Instant at);
//! A run on the worker has failed. False if so many other workers have failed the step that the job is at fault.
bool noteFailure(Fleet& fleet, const Worker& worker, const TaskId& task, Instant at);
//! A run on the worker was lost, or a start was refused or not confirmed.
void noteFault(Fleet& fleet, const Worker& worker, Instant at);
//! A new incarnation of the worker has begun, which may be in a better state.
void noteRestart(Fleet& fleet, const Worker& worker);
//! A start on the worker was ordered.
void noteStart(Fleet& fleet, const Worker& worker);
//! Forgets a worker that is removed from the state.
void forgetWorker(Fleet& fleet, const WorkerId& id);

//! Trusts the suspects whose faults are long enough ago and sets the standing of the others. Does nothing before
//! `WorkerHistory::nextReviewAt`.
void reviewStandings(Fleet& fleet, Instant at);

//! Share of the worker's recent ends that were its fault, among some assumed successes; 0 if nothing is known.
double faultShare(const Fleet& fleet, const WorkerId& id, Instant at);

} // namespace agatevane::fleet

#pragma once

#include "agatevane/fleet/model.h"
#include "agatevane/run_times/model.h"
#include <optional>
#include <vector>

//! Run times learned from finished runs, and what decisions expect of runs by them. Where stops are cheap, nothing is
//! learned, and the declared times are used.
namespace agatevane::fleet {

struct Fleet;
struct Job;
struct Occurrence;
struct Run;
struct Worker;

//! Half of the runs take no longer: by this time, work is ordered.
constexpr double medianFraction = 0.5;
//! Most runs take longer, and most take no longer than by the other. A decision that does harm where it is wrong is
//! only made if it is right for both.
constexpr double shortFraction = 0.1;
constexpr double longFraction = 0.9;

//! A run that has ended well, with what was expected of it.
struct FinishedRun {
    std::int64_t actualMs = 0;
    std::int64_t expectedMs = 0; //!< median; 0: unknown
    std::int64_t declaredMs = 0; //!< 0: none
};

struct LearnedRunTimes {
    run_times::Model model;
    std::vector<FinishedRun> finished; //!< not counted in the metrics yet
};

//! What is known of the run time of the step's tasks.
run_times::Estimate runTimeOf(const Fleet& fleet, const Job& job, const StepSpec& step);
//! The time that this fraction of the step's tasks does not exceed; 0: unknown.
std::int64_t runTimeMs(const Fleet& fleet, const Job& job, const StepSpec& step, double fraction);
//! As longestChainMs(), of the times that this fraction of the tasks does not exceed. If there is an occurrence, of its
//! steps that are not done.
std::int64_t learnedChainMs(
    const Fleet& fleet, const Job& job, double fraction, const Occurrence* occurrence = nullptr);

//! Time until the run ends, which this fraction of such runs does not exceed. Once the run has done enough of its work,
//! its own pace is used. Nothing if it is unknown.
std::optional<Millis> remainingTime(
    const Fleet& fleet, const Job& job, const Worker& worker, const Run& run, double fraction, Instant at);

//! Learns from a run that goes on: once it has exceeded the expected time, from the time that it has taken so far.
void learnFromRunning(Fleet& fleet, const Worker& worker, Run& run, Instant at);
//! Learns from a run that has ended well, before it is removed from the worker's runs.
void learnFromDone(Fleet& fleet, const Worker& worker, Run& run, Instant at);

} // namespace agatevane::fleet

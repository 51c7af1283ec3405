#pragma once

#include "agatevane/base/random.h"
#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/invariants.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include "standins/platform/worker_model.h"
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

//! Simulates successive owners of a fleet with modelled workers in virtual time. Orders may be lost, late or
//! unanswered, owners may go on beside their successors, and workers may drop out of the list while they run.
namespace agatevane::test {

//! Interval between two steps of the simulated owners.
constexpr std::int64_t tickMs = 20;

struct SimulationOptions {
    std::uint64_t seed = 1;
    int workers = 12;
    double lostOrderShare = 0; //!< share of orders that never arrive
    double lateOrderShare = 0; //!< share of start orders that are carried out up to `maxLateMs` later, not answered
    //! Shares of the orders of a kind that are carried out in time and whose answers are lost.
    double lostStartAnswerShare = 0;
    double lostStopAnswerShare = 0;
    double lostPollAnswerShare = 0;
    double latePollShare = 0; //!< as `lateOrderShare`, for polls
    std::int64_t maxLateMs = 8000;
    std::int64_t takeoverEveryMs = 0; //!< 0: one owner throughout
    std::int64_t overlapMs = 0; //!< an earlier owner goes on beside its successor for up to this long
    std::int64_t storeUnavailableMs = 0; //!< before each takeover, the store applies no commits for this long
    std::int64_t restartEveryMs = 0; //!< interval between restarts of a random worker; 0: none
    std::int64_t unreachableEveryMs = 0; //!< interval after which a random worker can't be reached for 8 s; 0: never
    std::int64_t cutEveryMs = 0; //!< interval after which a random worker is cut from the store; 0: never
    double cutFromOwnersShare = 0; //!< share of these that are also cut from all owners, or from every second one
    double restartBehindCutShare = 0; //!< share of these that restart while they are cut from the store
    double cancelShare = 0; //!< share of jobs that their caller cancels, some right after their acceptance
    std::int64_t longestCancelDelayMs = 3000; //!< from the submission to the cancellation
    std::int64_t longestTaskMs = 4000; //!< duration of the longest random task
    std::int64_t maxLeaseMs = 6000; //!< workers shorten a longer lease to this
    std::size_t maxValueBytes = fleet::Limits {}.maxValueBytes; //!< a job with a longer progress record is split
    //! Each round is compared with one on a copy of the state that looks at every worker.
    bool comparesWithFullRounds = false;
};

class FleetSimulation {
public:
    explicit FleetSimulation(const SimulationOptions& options);

    //! Submits a job at the present time. It is accepted once it is durable.
    void submit(const fleet::JobSpec& spec, const desired_state::Queue& queue);
    //! The caller cancels the job, and asks each further owner again until the cancellation is acknowledged.
    void cancel(const fleet::JobId& job);
    void runUntil(std::int64_t endMs);
    //! Another owner takes over.
    void takeOver();
    //! Cuts a worker from the store until `healsMs`: it is not listed from now on, and all owners reach it.
    void cutFromStore(const fleet::WorkerId& worker, std::int64_t healsMs);
    //! No further owner takes over.
    void stopTakeovers() { nextTakeoverMs_ = std::numeric_limits<std::int64_t>::max(); }
    //! No further worker is cut off or restarts; cuts heal in their time.
    void stopCuts();
    //! No further fault begins; cuts heal in their time.
    void stopFaults();
    //! True while a cut or an unreachable period lasts, or an earlier owner goes on.
    bool hasFault() const;
    //! Runs until every submitted job has ended, at most until `endMs`. True if all jobs have ended.
    bool runUntilEnded(std::int64_t endMs);

    std::int64_t nowMs() const { return nowMs_; }
    //! The instant that the owners take for this time of the simulation.
    Instant at(std::int64_t ms) const;
    fleet::Fleet& fleet() { return current_->fleet; }
    standin::WorkerModel& workers() { return workers_; }
    const standin::WorkerModel& workers() const { return workers_; }
    Random& random() { return random_; }
    //! Positions in the history of the modelled workers of the runs that have not ended.
    const std::vector<std::size_t>& liveRuns() const { return liveRuns_; }
    //! When the cancellation of the job was acknowledged; nothing if it was not.
    std::optional<std::int64_t> cancelledMs(const fleet::JobId& job) const;
    //! When the start of the run at this position of the history was sent.
    std::int64_t startSentMs(std::size_t run) const;
    //! When a cut, an end of its own, or an order that was lost or late last harmed the worker; 0: never.
    std::int64_t harmedMs(const fleet::WorkerId& worker) const;
    //! When an owner was last replaced that the store did not answer, or that goes on; 0: never.
    std::int64_t lastSuccessionMs() const { return lastSuccessionMs_; }
    std::string describe(std::size_t run) const;
    //! Submitted jobs that have not ended.
    std::vector<fleet::JobId> openJobs();
    std::optional<fleet::VisibleState> stateOf(const fleet::JobId& job);
    //! Violated invariants; empty in a correct run.
    const std::vector<std::string>& violations() const { return violations_; }
    //! Checks invariants that can only be checked at the end.
    void checkHistory();
    //! Runs that began after the owner knew that their task was done, whether or not the end was acknowledged.
    std::int64_t countRunsAfterDone() const;
    //! Mean time from the submission of a job to the end of its last task, over the jobs that were not cancelled.
    double meanJobMs() const;

private:
    struct Owner {
        fleet::Fleet fleet;
        bool isReplaced = false; //!< another owner has taken over: the store rejects the commits
        bool isStopped = false; //!< the process has learnt that it is the owner no more, and does nothing
        std::int64_t stopsAtMs = 0; //!< when a replaced owner stops at the latest
        std::int64_t confirmedMs = 0; //!< when the store last confirmed the ownership
        bool isCommitting = false;
        fleet::InvariantWatch invariants;
        std::map<fleet::JobId, fleet::CommitSequence> unacknowledgedCancels;
        std::map<fleet::WorkerId, std::int64_t> reachedSinceMs;
        std::map<fleet::WorkerId, std::int64_t> answeredMs; //!< when the worker made its newest answer to a poll
    };
    using OwnerPointer = std::shared_ptr<Owner>;

    //! A worker is cut from the store, and possibly from some owners.
    struct Cut {
        std::int64_t entryLapsesMs = 0;
        std::int64_t healsMs = 0;
        std::int64_t restartsMs = 0;
        fleet::WorkerListing entry; //!< what the store lists until the entry lapses
        bool reachesOddOwners = true;
        bool reachesEvenOwners = true;
    };

    //! What was known of a run when it began.
    struct StartNote {
        std::int64_t sentMs = 0;
        std::uint32_t tenure = 0; //!< of the owner that sent the order
        const char* workerState = ""; //!< what the present owner knew of the worker
        bool isTaskDone = false; //!< the present owner knew that the task was done
    };

    void schedule(std::int64_t delayMs, std::function<void()> action);
    std::int64_t delay();
    bool occurs(double share);
    //! True if an order to the worker is lost.
    bool isLost(const fleet::WorkerId& worker);
    //! True if the answer of an order is lost that the worker has carried out.
    bool isAnswerLost(double share, const fleet::WorkerId& worker);

    void replaceOwner();
    void inheritJobs();
    void inheritParts(fleet::Job& job);
    void step();
    void stepOwner(const OwnerPointer& owner);
    fleet::Orders advance(Owner& owner);
    void sendStart(const OwnerPointer& owner, const fleet::StartOrder& order);
    //! The worker carries out a start that was sent at `sentMs`.
    standin::StartOutcome carryOutStart(const Owner& owner, const fleet::StartOrder& order, std::int64_t sentMs);
    void sendStop(const OwnerPointer& owner, const fleet::StopOrder& order);
    void sendPace(const OwnerPointer& owner, const fleet::PaceOrder& order);
    void sendPoll(const OwnerPointer& owner, const fleet::PollOrder& order);
    void sendLatePoll(const OwnerPointer& owner, const fleet::PollOrder& order);
    void commit(const OwnerPointer& owner);
    void applyCommitted(const OwnerPointer& owner, const kv::Txn& txn, const fleet::WriteBatch& batch);
    void acknowledgeCancels(Owner& owner);
    //! Stops an owner whose order a worker has rejected because it knows a later owner.
    static void applyFence(Owner& owner, bool isFenced);

    void injectFaults();
    fleet::WorkerId pickWorker();
    void cutWorker();
    void advanceCuts();
    std::vector<fleet::WorkerListing> listings() const;
    bool isReachable(const Owner& owner, const fleet::WorkerId& worker) const;
    //! True if a late order is carried out, by whatever incarnation is there.
    bool takesLateOrder(const Owner& owner, const fleet::WorkerId& worker) const;

    const char* knownState(const fleet::WorkerId& worker);
    bool isKnownDone(const fleet::TaskId& task);
    void noteRuns();
    void noteReach();
    void noteHarm();
    void checkCapacity();
    void checkStart(const fleet::StartOrder& order);
    void checkTracking(std::size_t run);
    void checkCancelled(std::size_t run);
    void checkActiveCounts();
    void reportViolation(const std::string& text);

    SimulationOptions options_;
    Random random_;
    standin::WorkerModel workers_;
    std::map<fleet::WorkerId, fleet::WorkerListing> listings_;
    std::map<fleet::WorkerId, std::int64_t> unreachableUntil_;
    std::map<fleet::WorkerId, Cut> cuts_;
    std::map<fleet::WorkerId, std::int64_t> harmedMs_;
    std::int64_t lastSuccessionMs_ = 0;
    std::map<fleet::JobId, fleet::JobSpec> specs_;
    std::map<fleet::JobId, desired_state::Queue> queues_;
    std::map<std::string, std::string> store_;
    std::vector<fleet::WorkerListing> storedWorkers_; //!< the record of known workers
    std::uint32_t storeTenure_ = 0;
    OwnerPointer current_;
    std::vector<OwnerPointer> earlierOwners_; //!< those that go on
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::int64_t nowMs_ = 0;
    std::int64_t nextTakeoverMs_ = 0;
    std::int64_t nextRestartMs_ = 0;
    std::int64_t nextUnreachableMs_ = 0;
    std::int64_t nextCutMs_ = 0;
    std::map<fleet::JobId, std::int64_t> cancelledMs_; //!< when the cancellation was acknowledged
    std::size_t checkedHistory_ = 0;
    std::map<std::size_t, StartNote> startNotes_; //!< by the run's position in the history of the modelled workers
    std::map<fleet::JobId, std::int64_t> submittedMs_;
    std::vector<std::size_t> liveRuns_; //!< positions in the history of the modelled workers
    std::vector<std::string> violations_;
    std::set<std::string> reportedTexts_;
};

//! A queue of the service that all modelled workers belong to.
desired_state::Queue sampleQueue(int priority = 1);
fleet::JobSpec sampleJob(
    const fleet::JobId& id, std::uint32_t count, std::int64_t accelerators, std::int64_t durationMs);

} // namespace agatevane::test

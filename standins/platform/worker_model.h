#pragma once

#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! An in-memory model of the platform's workers: they start every run that is ordered, without a check of their
//! capacity, run the members of a gang together and end their runs when their lease lapses.
namespace agatevane::standin {

//! The behaviour of a task, read from its payload, such as "ms=2500 gang=4 fails=2 saves=300 tail=40". The initializers
//! are the values of parts that the payload does not contain.
struct TaskBehaviour {
    std::int64_t durationMs = 1000;
    std::size_t gang = 0; //!< number of members that must be present before the task makes progress; 0: not a gang
    std::uint32_t fails = 0; //!< runs with a number up to this one fail
    bool hangs = false; //!< the task makes no progress
    bool savesWork = false; //!< the task writes checkpoints
    std::size_t checkpointBytes = 0; //!< length of a checkpoint; a shorter one has what is needed to resume
    //! Tail latency of a serving task without interference; 0: the task does not serve.
    std::int64_t tailLatencyMs = 0;
    //! What a filler at full pace adds to the tail latency of each serving task on its worker; 0: not a filler.
    std::int64_t interferenceMs = 0;
};

TaskBehaviour parseBehaviour(const std::string& payload);

//! A worker returns no more ends at a time.
constexpr std::size_t maxEndsPerAnswer = 500;

struct ModelTimes {
    std::int64_t gangAssemblyMs = 3000;
    std::int64_t stopMs = 150;
    std::int64_t checkpointMs = 500;
    std::int64_t maxLeaseMs = 6000;
};

//! A run that was started, for the checks of tests.
struct RunRecord {
    fleet::RunKey key;
    fleet::WorkerId worker;
    std::int64_t orderedMs = 0; //!< when the order arrived
    std::int64_t beganMs = 0;
    std::int64_t endedMs = -1; //!< -1: the run has not ended
    std::optional<fleet::EndKind> end;
    bool wasAcknowledgedInTime = false; //!< the scheduler acknowledged the end before the worker's lease lapsed
};

struct PollOutcome {
    bool isFenced = false;
    fleet::PollAnswer answer;
};

struct StartOutcome {
    fleet::OrderOutcome outcome = fleet::OrderOutcome::Done;
    bool isFenced = false;
};

//! All workers of a deployment. The caller passes the current time in milliseconds to each function.
class WorkerModel {
public:
    explicit WorkerModel(const ModelTimes& times = {});

    void addWorker(const fleet::WorkerListing& listing, std::int64_t nowMs);
    //! The worker stops with all its runs, without reporting their ends. The other members of their gangs end as
    //! broken.
    void crash(const fleet::WorkerId& worker, std::int64_t nowMs);
    //! Crashes the worker and starts a new incarnation under the same id.
    void restart(const fleet::WorkerId& worker, std::int64_t nowMs);
    void setFailing(const fleet::WorkerId& worker, bool fails);
    //! Lists the worker as draining from now on. It stays up until `crash` or `restart` is called.
    void drain(const fleet::WorkerId& worker, std::int64_t leavesAtMs);

    bool isUp(const fleet::WorkerId& worker) const;
    //! The listing of a worker, also of one that has crashed.
    const fleet::WorkerListing& listing(const fleet::WorkerId& worker) const { return workers_.at(worker).listing; }
    std::vector<fleet::WorkerListing> listings(std::int64_t nowMs) const;

    //! Executes an order that arrived at `arrivedMs`.
    StartOutcome start(const fleet::StartOrder& order, std::int64_t nowMs, std::int64_t arrivedMs);
    StartOutcome start(const fleet::StartOrder& order, std::int64_t nowMs) { return start(order, nowMs, nowMs); }
    StartOutcome stop(const fleet::StopOrder& order, std::int64_t nowMs);
    StartOutcome pace(const fleet::PaceOrder& order, std::int64_t nowMs);
    PollOutcome poll(const fleet::PollOrder& order, std::int64_t nowMs);
    void advance(std::int64_t nowMs);

    //! The highest tail latency in milliseconds of the serving tasks on `worker`; 0: it has none.
    std::int64_t worstTailLatency(const fleet::WorkerId& worker) const;
    //! The highest pace in percent of the fillers on `worker`; 0: it has none.
    int fillerPace(const fleet::WorkerId& worker) const;

    const std::vector<RunRecord>& history() const { return history_; }

private:
    struct ModelRun {
        TaskBehaviour behaviour;
        std::int64_t presentSinceMs = 0;
        std::int64_t progressMs = 0;
        std::int64_t stopAtMs = -1; //!< -1: no stop was ordered
        std::string checkpoint;
        int pacePercent = 100;
        std::size_t record = 0;
    };

    struct ModelEnd {
        fleet::EndReport report;
        std::size_t record = 0;
        bool didLeaseLapse = false; //!< the worker's lease lapsed before the end was acknowledged
    };

    struct ModelWorker {
        fleet::WorkerListing listing;
        bool isUp = true;
        bool fails = false;
        std::int64_t leavesAtMs = 0; //!< when a draining worker leaves, on the caller's clock
        std::int64_t startedAtMs = 0;
        std::uint64_t fencingToken = 0;
        std::int64_t leaseUntilMs = 0; //!< on the worker's own clock
        std::map<fleet::RunKey, ModelRun> runs;
        std::map<fleet::TaskId, fleet::RunNumber> highestEndedRun;
        std::deque<ModelEnd> ends;
        std::int64_t lastEndNumber = 0;
    };

    static std::int64_t clockOf(const ModelWorker& worker, std::int64_t nowMs);
    //! Stores `token`. False, with no change, if the worker has already accepted a higher one.
    bool acceptToken(ModelWorker& worker, std::uint64_t token);
    void extendLease(ModelWorker& worker, std::int64_t untilMs, std::int64_t nowMs) const;
    void end(ModelWorker& worker, const fleet::RunKey& key, fleet::EndKind kind, std::int64_t nowMs);
    void advanceWorker(ModelWorker& worker, std::int64_t nowMs, std::int64_t stepMs);
    //! The tail latency in milliseconds of a run, including the interference of fillers on the worker; 0: it does not
    //! serve.
    static std::int64_t tailLatencyOf(const ModelWorker& worker, const ModelRun& run);
    std::size_t membersPresent(const fleet::RunKey& key) const;
    void endGang(const fleet::RunKey& key, fleet::EndKind kind, std::int64_t nowMs);

    ModelTimes times_;
    std::map<fleet::WorkerId, ModelWorker> workers_;
    std::vector<RunRecord> history_;
    std::map<std::pair<fleet::JobId, fleet::RunNumber>, bool> assembledGangs_;
    std::int64_t lastAdvanceMs_ = 0;
};

} // namespace agatevane::standin

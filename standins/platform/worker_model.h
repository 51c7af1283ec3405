#pragma once

#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

//! Workers of the platform as plain state: they start whatever they are told, run gangs together, let leases lapse.
namespace agatevane::standin {

//! What a task does, read from its payload: "ms=2500 gang=4 fails=2 hangs tail=40". Missing parts have these values.
struct TaskBehaviour {
    std::int64_t durationMs = 1000;
    std::size_t gang = 0; //!< members that must be present; 0: none
    std::uint32_t fails = 0; //!< runs of a task that fail before one ends well; counted by run
    bool hangs = false; //!< makes no progress
    bool savesWork = false;
    std::int64_t tailMs = 0; //!< of a task that serves: tail without disturbance; 0: it does not serve
    std::int64_t disturbanceMs = 0; //!< of a filler: added at full pace to the tail of each task that serves beside it
};

TaskBehaviour parseBehaviour(const std::string& payload);

struct ModelTimes {
    std::int64_t gangAssemblyMs = 3000;
    std::int64_t stopMs = 150;
    std::int64_t checkpointMs = 500;
    std::int64_t maxLeaseMs = 6000;
};

//! One begun run, for the checks of a test.
struct RunRecord {
    fleet::RunKey key;
    fleet::WorkerId worker;
    std::int64_t beganMs = 0;
    std::int64_t endedMs = -1; //!< -1: still there
    std::optional<fleet::EndKind> end;
    bool isNoted = false; //!< the end was acknowledged before the worker's lease lapsed
};

struct LookOutcome {
    bool isFenced = false;
    fleet::PollAnswer answer;
};

struct StartOutcome {
    fleet::OrderOutcome outcome = fleet::OrderOutcome::Done;
    bool isFenced = false;
};

//! All workers of a deployment; time is given in milliseconds by the caller.
class WorkerModel {
public:
    explicit WorkerModel(const ModelTimes& times = {});

    void addWorker(const fleet::WorkerListing& listing, std::int64_t nowMs);
    //! The worker dies with all that runs on it.
    void crash(const fleet::WorkerId& worker, std::int64_t nowMs);
    //! A new life under the same id.
    void restart(const fleet::WorkerId& worker, std::int64_t nowMs);
    void setFailing(const fleet::WorkerId& worker, bool fails);
    //! From now on the worker is shown as draining. It stays until it is taken away by `crash` or `restart`.
    void drain(const fleet::WorkerId& worker, std::int64_t leavesAtMs);

    bool isUp(const fleet::WorkerId& worker) const;
    //! Of a worker that is up or was.
    const fleet::WorkerListing& listing(const fleet::WorkerId& worker) const { return workers_.at(worker).listing; }
    std::vector<fleet::WorkerListing> listings(std::int64_t nowMs) const;

    StartOutcome start(const fleet::StartOrder& order, std::int64_t nowMs);
    StartOutcome stop(const fleet::StopOrder& order, std::int64_t nowMs);
    StartOutcome pace(const fleet::PaceOrder& order, std::int64_t nowMs);
    LookOutcome look(const fleet::PollOrder& order, std::int64_t nowMs);
    void advance(std::int64_t nowMs);

    //! The worst tail of the tasks that serve on `worker`; 0: there are none.
    std::int64_t worstTail(const fleet::WorkerId& worker) const;
    //! The highest pace of the fillers on `worker`; 0: there are none.
    int fillerPace(const fleet::WorkerId& worker) const;

    const std::vector<RunRecord>& history() const { return history_; }

private:
    struct ModelRun {
        TaskBehaviour behaviour;
        std::int64_t presentSinceMs = 0;
        std::int64_t progressMs = 0;
        std::int64_t stopAtMs = -1; //!< -1: not being stopped
        std::string checkpoint;
        int pacePercent = 100;
        std::size_t record = 0;
    };

    struct ModelEnd {
        fleet::EndReport report;
        std::size_t record = 0;
        bool hasLapsed = false; //!< the worker's lease lapsed before the end was acknowledged
    };

    struct ModelWorker {
        fleet::WorkerListing listing;
        bool isUp = true;
        bool fails = false;
        std::int64_t leavesAtMs = 0; //!< of a draining worker
        std::int64_t bornMs = 0;
        std::uint64_t fencingToken = 0;
        std::int64_t leaseUntilMs = 0; //!< on its own clock
        std::map<fleet::RunKey, ModelRun> runs;
        std::map<fleet::TaskId, fleet::RunNumber> highestEnded;
        std::deque<ModelEnd> ends;
        std::int64_t lastEnd = 0;
    };

    static std::int64_t clockOf(const ModelWorker& worker, std::int64_t nowMs);
    bool admit(ModelWorker& worker, std::uint64_t token);
    void extendLease(ModelWorker& worker, std::int64_t untilMs, std::int64_t nowMs) const;
    void end(ModelWorker& worker, const fleet::RunKey& key, fleet::EndKind kind, std::int64_t nowMs);
    void advanceWorker(ModelWorker& worker, std::int64_t nowMs, std::int64_t stepMs);
    //! The tail of a task that serves, with what the fillers beside it add.
    static std::int64_t tailOf(const ModelWorker& worker, const ModelRun& run);
    std::size_t membersPresent(const fleet::RunKey& key) const;
    void breakGang(const fleet::RunKey& key, fleet::EndKind kind, std::int64_t nowMs);

    ModelTimes times_;
    std::map<fleet::WorkerId, ModelWorker> workers_;
    std::vector<RunRecord> history_;
    std::map<std::pair<fleet::JobId, fleet::RunNumber>, bool> wholeGangs_;
    std::int64_t lastAdvanceMs_ = 0;
};

} // namespace agatevane::standin

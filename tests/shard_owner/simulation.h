#pragma once

#include "agatevane/base/random.h"
#include "agatevane/shard_owner/shard_owner.h"
#include "simulated_store.h"
#include "simulated_worker.h"
#include <functional>
#include <queue>
#include <stdexcept>

namespace agatevane::simulation {

constexpr int processCount = 3;
constexpr int workerCount = 6;
constexpr int firstWorkerSite = 100;
constexpr int storeSite = 200;
inline const DataCentreId dataCentre { "dc" };

//! Parameters of a run. The safety mechanisms can be removed one by one, to show that the invariants can fail.
struct Options {
    std::uint64_t seed = 1;
    bool workersCheckEpochs = true; //!< workers refuse lower epochs
    bool renewsOnlyFreshLeases = true; //!< leases are renewed only if every part was reported recently
    bool guardsJournalWrites = true; //!< journal writes compare the owner record's revision
    //! A write whose answer is lost is resolved by reading. If false, it counts as not carried out.
    bool readsBackLostAnswers = true;
    bool hasFaults = true;
    double faultPeriodMs = 40000; //!< jobs are submitted and faults injected until this simulated time
    double recoveryPeriodMs = 150000; //!< longest time after that for all jobs to end
    bool isTraceEnabled = false;
};

//! Thrown when an invariant is violated.
struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Totals {
    std::uint64_t steps = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t finished = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t attempts = 0;
    double longestPartialRunMs = 0; //!< longest time for which a part ran while its gang was incomplete
};

enum class StoreMode { Answers, Refuses, Silent };

//! One scheduler process with its clock and its state machine.
struct Process {
    MemberId id;
    int number = 0;
    int incarnation = 1;
    bool isAlive = true;
    double pausedUntil = 0;
    double clockRate = 1;
    shard_owner::State state;
};

//! Runs several schedulers, workers and a store in simulated time, with faults that the seed determines, and checks the
//! invariants.
class Simulation {
public:
    explicit Simulation(const Options& options);

    //! Runs to the end; throws InvariantViolation at the first violated invariant.
    Totals run();

private:
    using Event = std::function<void()>;
    struct ScheduledEvent {
        double at;
        std::uint64_t order; //!< events of the same time run in the order in which they were scheduled
        Event event;
        bool operator<(const ScheduledEvent& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(double delay, Event event);
    bool chance(double probability);
    double latency();
    //! The present time on the clock of `process`.
    Instant localTime(const Process& process) const;
    //! False while a partition separates the sites. A site is the number of a scheduler, `firstWorkerSite` plus the
    //! number of a worker, or `storeSite`.
    bool isConnected(int siteA, int siteB) const;
    void trace(const std::string& text) const;

    void startProcess(Process& process);
    void tick(int number, int incarnation);
    void run(int number, int incarnation, const shard_owner::Input& input);
    void carryOut(Process& process, const shard_owner::Action& action);
    void call(Process& process, int site, double timeout, std::function<shard_owner::Input()> execute,
        const shard_owner::Input& onTimeout);
    template <typename Command>
    void sendCommand(Process& process, const WorkerId& worker, const AttemptId& attempt,
        shard_owner::CommandAnswered::Kind kind, const Command& command, Epoch epoch, Instant notAfter);
    void sendGangCommand(Process& process, const shard_owner::SendCommand& sent);
    void sendHeartbeat(const Process& process, const OwnerHeartbeat& heartbeat);
    void callStore(Process& process, const StoreCall& call);
    StoreReply applyToStore(const StoreCall& call);
    void onAnswer(const shard_owner::AnswerSubmit& answer);

    void scheduleFaults();
    void injectFault();
    void submitJob();
    void submitTo(const JobSpec& spec, int number);

    void checkJournalWrite(const StoreCall& call);
    void checkOvercommitment(const Process& process) const;
    void checkAttemptHistory();
    void checkFinalState();

    Options options_;
    Random random_;
    double now_ = 0;
    std::uint64_t nextSequence_ = 0;
    std::priority_queue<ScheduledEvent> events_;
    std::vector<Process> processes_;
    std::vector<SimulatedWorker> workers_;
    SimulatedStore store_;
    History history_;
    StoreMode storeMode_ = StoreMode::Answers;
    std::set<int> isolatedSites_; //!< sites that a partition cuts off from the others
    shard_owner::RequestId nextRequest_ = 1;
    std::map<shard_owner::RequestId, JobSpec> requests_;
    int nextJob_ = 1;
    std::map<JobId, std::string> outcomeBatches_; //!< key of the journal batch that holds the job's outcome
    //! The scheduler that holds an epoch, with its incarnation if it holds the owner record too.
    std::map<Epoch, std::string> ownerOfEpoch_;
    std::set<JobId> durableJobs_; //!< jobs whose Accepted record is in the store
    std::set<JobId> acceptedJobs_; //!< jobs whose submission was answered Accepted or Duplicate
    std::set<JobId> refusedJobs_; //!< jobs whose submission was refused
    std::set<JobId> uncertainJobs_; //!< jobs whose submission was answered Unknown
    Totals totals_;
};

} // namespace agatevane::simulation

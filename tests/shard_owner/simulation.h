#pragma once

#include "agatevane/base/random.h"
#include "agatevane/shard_owner/shard_owner.h"
#include "simulated_store.h"
#include "simulated_worker.h"
#include <functional>
#include <queue>
#include <stdexcept>

namespace agatevane::simulation {

//! Mechanisms that can be taken out, to show that the invariants can fail.
struct Options {
    std::uint64_t seed = 1;
    bool hasEpochCheck = true; //!< workers refuse lower epochs
    bool hasRenewalRule = true; //!< renewal only if every part was seen recently
    bool hasJournalGuard = true; //!< journal writes compare the owner record's revision
    bool hasReadBack = true; //!< a lost store answer is taken as a failure without reading back
    bool hasFaults = true;
    double faultMs = 40000;
    double healMs = 150000;
    bool isTraced = false;
};

struct Breach : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Totals {
    std::uint64_t steps = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t finished = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t attempts = 0;
    double longestAloneMs = 0;
};

struct Process {
    MemberId id;
    int number = 0;
    int incarnation = 1;
    bool isAlive = true;
    double pausedUntil = 0;
    double rate = 1;
    shard_owner::State state;
};

class Simulation {
public:
    explicit Simulation(const Options& options);

    //! Runs to the end; throws Breach.
    Totals run();

private:
    using Event = std::function<void()>;
    struct Scheduled {
        double at;
        std::uint64_t order;
        Event event;
        bool operator<(const Scheduled& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void post(double delay, Event event);
    bool chance(double probability);
    double latency();
    Instant instantOf(const Process& process) const;
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
    void callStore(Process& process, const StoreCall& call);
    StoreReply applyToStore(const StoreCall& call);
    void onAnswer(const shard_owner::AnswerSubmit& answer);

    void scheduleFaults();
    void fault();
    void submitJob();
    void submitTo(const JobSpec& spec, int number);

    void checkJournalWrite(const StoreCall& call);
    void checkAccounts(const Process& process) const;
    void checkAttempts();
    void checkEnd();

    Options options_;
    Random random_;
    double now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Scheduled> events_;
    std::vector<Process> processes_;
    std::vector<SimulatedWorker> workers_;
    SimulatedStore store_;
    History history_;
    int storeMode_ = 0; //!< 0: answers, 1: refuses connections, 2: swallows requests
    std::set<int> isolated_; //!< sites on the far side of a partition
    shard_owner::RequestId nextRequest_ = 1;
    std::map<shard_owner::RequestId, JobSpec> requests_;
    int nextJob_ = 1;
    std::map<JobId, std::string> finals_; //!< batch key of the outcome
    std::map<Epoch, std::string> tenures_;
    std::set<JobId> durable_;
    std::set<JobId> accepted_;
    std::set<JobId> refused_;
    std::set<JobId> uncertain_;
    Totals totals_;
};

} // namespace agatevane::simulation

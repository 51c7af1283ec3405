#pragma once

#include "agatevane/fleet/record.h"
#include "agatevane/fleet/state.h"
#include "agatevane/kv/kv.h"
#include "node/committer.h"
#include "node/evacuation_feed.h"
#include "node/fleet_loader.h"
#include "node/invariant_reporter.h"
#include "node/ports.h"
#include "node/prefix_follower.h"
#include "node/records.h"
#include "node/run_time_recorder.h"
#include "node/tenure_check.h"
#include "node/timer.h"
#include "node/upkeep_controller.h"
#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace agatevane::node {

//! Runs the fleet while this node owns it: loads jobs and workers, sends the orders that the fleet module decides on to
//! workers, and makes changes durable.
class FleetOwner {
public:
    struct Environment {
        asio::io_context& context;
        kv::Store& store;
        WorkerPort& workers;
        const Translation& translation;
        //! Called when the store or a worker reports a later owner.
        std::function<void(std::string_view reason)> ownershipLost;
        std::function<Instant()> ownershipConfirmedUntil; //!< see OwnerElection
        std::function<Instant()> ownershipEndsBy; //!< see OwnerElection
        MachinePort* machines = nullptr; //!< null: machines take no orders
    };

    using Answer = std::function<void(CallerAnswer answer)>;

    FleetOwner(const Environment& environment, const fleet::Limits& limits, std::uint32_t tenure,
        kv::Revision commitRevision, const desired_state::DesiredState& desired);

    void start();
    //! Leaves the calls of all waiting callers to the next owner. The object may be destroyed afterwards.
    void stop();
    void applyDesiredState(const desired_state::DesiredState& desired);
    //! Handles a caller's request; `answer` is called by `deadline` at the latest.
    void call(const CallerRequest& request, const desired_state::Queue& queue, const std::string& tenant,
        Instant deadline, Answer answer);

    //! True if this owner or an earlier one may have answered a cancellation of the job with "no such job", and none
    //! has accepted it since. A submission is then refused unless it is known to be younger than that answer.
    bool hasDenied(const fleet::JobId& job) const { return fleet::deniedUntil(fleet_, job).has_value(); }

    std::uint32_t tenure() const { return fleet_.tenure; }
    bool isReady() const { return isReady_; }
    kv::Revision commitRevision() const { return committer_.revision(); }
    const fleet::Fleet& fleet() const { return fleet_; }
    std::size_t ignoredEntries() const { return ignoredEntries_.size(); }
    const PrefixFollower& workersFollower() const { return workersFollower_; }
    std::optional<Instant> oldestPendingChange() const { return committer_.oldestPendingChange(); }
    const UpkeepController* upkeepController() const { return upkeepController_.get(); }
    const EvacuationFeed* evacuationFeed() const { return evacuationFeed_.get(); }

private:
    //! What becomes durable before a caller is answered.
    enum class Awaited { Acceptance, Cancellation, Denial };

    //! A caller that waits until its change is durable. `answer` is empty once it was called.
    struct Waiter {
        fleet::JobId job;
        Awaited awaited = Awaited::Acceptance;
        Answer answer;
    };
    //! The records of one job; null: there is no such record.
    struct StoredJob {
        const kv::Item* acceptance = nullptr;
        const kv::Item* progress = nullptr;
        std::vector<std::pair<fleet::PartNumber, const kv::Item*>> parts;
    };
    using Waiters = std::multimap<fleet::CommitSequence, std::shared_ptr<Waiter>>;

    void load(StoredFleet stored);
    void loadQueues(const kv::ReadResult& queues);
    void loadJobs(const StoredFleet& stored);
    void loadJob(const fleet::JobId& id, const StoredJob& records, std::int64_t unixMs, Instant at);
    void loadDenials(const kv::ReadResult& denials);
    void holdJob(fleet::RecordKind kind, const kv::Item& item, const fleet::JobId& id);
    std::optional<fleet::WorkerListing> decodeEntry(const kv::Item& item);
    void applyListings(const kv::ReadResult& listed);
    void loadKnownWorkers(const kv::ReadResult& known);
    void applyWorkerChanges(const std::vector<kv::Change>& changes);
    void applyWorkerChange(const kv::Change& change);

    //! True if no other node can have become the owner.
    bool isOwnershipConfirmed() const { return bootNow() < environment_.ownershipConfirmedUntil(); }
    void updateOwnership(Instant at);

    void tick();
    void scheduleAdvance();
    void advance();
    void send(const fleet::Orders& orders);
    void sendStart(const fleet::StartOrder& order);
    void sendStop(const fleet::StopOrder& order);
    void sendPace(const fleet::PaceOrder& order);
    void sendAdviceRequest(const fleet::AdviceRequest& request);
    void sendPoll(const fleet::PollOrder& order);
    void handleFencedAnswer();

    bool mayAskFor(const fleet::JobId& id, const desired_state::Queue& queue, const std::string& tenant);
    void denyIfProven(const CallerRequest& request, Instant deadline, Answer answer);
    void denyCancellation(const CallerRequest& request, Instant deadline, Answer answer);
    CallerAnswer durableAnswer(const Waiter& waiter);
    bool mayPrecedeDenial(const CallerRequest& submission) const;
    void submit(const CallerRequest& request, const desired_state::Queue& queue, const std::string& tenant,
        Instant deadline, Answer answer);
    static CallerAnswer jobOfOtherTenant();
    static CallerAnswer unreadableJob(CallKind kind);

    bool hasWaitingCaller() const;
    void handleCommit();
    void answerCommittedCallers();
    void awaitCommit(fleet::CommitSequence sequence, Waiter awaiting, Instant deadline);
    bool withdraw(const Waiter& waiter);
    void withdrawAndRefuse(const std::shared_ptr<Waiter>& waiter);
    void passToNextOwner(const std::shared_ptr<Waiter>& waiter);
    void timeOut(const std::shared_ptr<Waiter>& waiter);
    void refuseSubmission(fleet::CommitSequence sequence);

    Environment environment_;
    fleet::Fleet fleet_;
    InvariantReporter invariantReporter_;
    Committer committer_;
    RunTimeRecorder runTimeRecorder_;
    TenureCheck tenureCheck_;
    std::unique_ptr<UpkeepController> upkeepController_; //!< null: machines take no orders
    std::unique_ptr<EvacuationFeed> evacuationFeed_; //!< null: operators evacuate no data centres
    bool isReady_ = false;
    bool isStopped_ = false;
    bool isAdvanceScheduled_ = false;
    bool isStartingRuns_ = true; //!< false: starts are held back, since another node may be the owner
    Instant lastPlacementAt_;
    Millis placementInterval_ { 0 };
    std::int64_t nextPruneUnixMs_ = 0;

    Waiters waiters_; //!< by the sequence number whose commit they wait for

    std::set<std::string> ignoredEntries_; //!< keys below the workers' prefix whose entries name no worker to use

    Timer tickTimer_;
    Timer advanceTimer_;
    FleetLoader loader_;
    PrefixFollower workersFollower_;
    Liveness liveness_;
};

} // namespace agatevane::node

#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/kv/kv.h"
#include "node/committer.h"
#include "node/ports.h"
#include "node/records.h"
#include "node/timer.h"
#include "node/upkeep_controller.h"
#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace agatevane::node {

//! Runs the fleet while this node owns it: loads the jobs, carries out orders, makes changes durable.
class FleetOwner {
public:
    struct Environment {
        asio::io_context& context;
        kv::Store& store;
        WorkerPort& workers;
        const Translation& translation;
        //! The ownership has passed to another node.
        std::function<void(std::string_view reason)> deposed;
        MachinePort* machines = nullptr; //!< null: machines take no orders
        std::function<bool()> holdsLease; //!< see UpkeepDuty; needed with `machines`
    };

    using Answer = std::function<void(CallerAnswer answer)>;

    FleetOwner(const Environment& environment, const fleet::Limits& limits, std::uint32_t tenure,
        kv::Revision commitRevision, const desired_state::DesiredState& desired);

    void start();
    //! Answers callers that still wait; the object may be destroyed afterwards.
    void stop();
    void applyDesiredState(const desired_state::DesiredState& desired);
    //! Answers by `deadline` at the latest.
    void call(const CallerRequest& request, const desired_state::Queue& queue, const std::string& tenant,
        Instant deadline, Answer answer);

    bool isReady() const { return isReady_; }
    kv::Revision commitRevision() const { return committer_.revision(); }
    const fleet::Fleet& fleet() const { return fleet_; }
    const UpkeepDuty* upkeepDuty() const { return upkeep_.get(); }

private:
    struct Waiter {
        fleet::JobId job;
        CallKind kind = CallKind::Submit;
        Answer answer;
    };
    using Waiters = std::multimap<fleet::CommitSequence, std::shared_ptr<Waiter>>;

    void load();
    void takeJobs(const kv::ReadResult& acceptances, const kv::ReadResult& progress);
    void listWorkers();
    void takeListings(const kv::ReadResult& listed);
    void takeKnownWorkers(const kv::ReadResult& known);
    void watchWorkers();
    void applyWorkerChange(const kv::Change& change);

    void tick();
    void wake();
    void advance();
    void send(const fleet::Orders& orders);
    void sendStart(const fleet::StartOrder& order);
    void sendStop(const fleet::StopOrder& order);
    void sendPace(const fleet::PaceOrder& order);
    void sendQuestion(const fleet::AdviceRequest& order);
    void sendLook(const fleet::PollOrder& order);
    void refuseAsFenced();

    bool isAwaited() const;
    void afterCommit();
    void answerCommitted();
    void await(fleet::CommitSequence ticket, const CallerRequest& request, Instant deadline, Answer answer);
    void refuseIfWithdrawn(const std::shared_ptr<Waiter>& waiter);
    void giveUp(const std::shared_ptr<Waiter>& waiter);

    Environment environment_;
    fleet::Fleet fleet_;
    Committer committer_;
    std::unique_ptr<UpkeepDuty> upkeep_; //!< null: machines take no orders
    bool isReady_ = false;
    bool isStopped_ = false;
    bool isAdvanceQueued_ = false;
    Instant lastPlacementAt_;
    Millis placementPause_ { 0 };
    std::int64_t nextPruneUnixMs_ = 0;

    Waiters waiters_;

    std::optional<kv::ReadResult> acceptances_;
    std::optional<kv::ReadResult> progress_;
    std::optional<kv::ReadResult> known_;
    std::optional<kv::ReadResult> listed_;
    kv::Revision workersAsOf_ = 0;

    Timer tickTimer_;
    Timer wakeTimer_;
    Timer listTimer_;
    Liveness liveness_;
};

} // namespace agatevane::node

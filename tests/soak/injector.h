#pragma once

#include "tests/platform_system/deployment.h"
#include "tests/soak/ledger.h"
#include "tests/soak/plan.h"
#include <functional>
#include <map>
#include <string>

namespace agatevane::soak {

//! Injects a plan's faults into a deployment, from outside its processes.
class Injector {
public:
    //! `keyChanged` is called with the API key that callers have to use from then on. The links between nodes and to
    //! the store carry `linkBytesPerSecond`; 0: no limit.
    Injector(test::PlatformDeployment& deployment, standin::Relay& relay, std::vector<Fault> plan,
        std::function<void(const std::string& key)> keyChanged, std::uint64_t linkBytesPerSecond = 0);

    //! Begins and ends the faults that are due at `atMs` since the start of the plan.
    void advance(std::int64_t atMs);
    bool isFinished() const { return next_ == plan_.size() && ends_.empty(); }
    //! Ends all faults and restarts stopped nodes.
    void endAllFaults();
    //! Describes nodes that exited without a signal from the injector, and nodes that did not exit with code 0 on
    //! SIGTERM.
    const std::vector<std::string>& unexpectedExits() const { return unexpectedExits_; }
    //! The times in which faults may have hindered the stop of a run, since the start of the plan.
    const std::vector<Impairment>& impairments() const { return impairments_; }

private:
    using Node = int;

    void begin(const Fault& fault, std::int64_t atMs);
    void beginOnNode(const Fault& fault, std::int64_t endMs);
    void beginOnStore(const Fault& fault, std::int64_t endMs);
    void beginOnLink(const Fault& fault, std::int64_t endMs);
    std::string linkName(const Fault& fault) const;
    void beginOnWorker(const Fault& fault, std::int64_t endMs);
    void beginOnOwner(const Fault& fault, std::int64_t endMs);
    void beginOnListing(const Fault& fault, std::int64_t endMs);
    void holdUpOrders(const Fault& fault, std::int64_t atMs, std::int64_t endMs);
    void applyFor(const std::string& link, const standin::LinkState& state, std::int64_t endMs);
    //! The state of links without a fault.
    standin::LinkState soundLink(const std::string& link) const;
    void makeLinksSound();
    Node nodeOf(const Fault& fault) const;
    //! The present owner, or the node that the fault's target names if there is none.
    Node ownerOr(const Fault& fault);
    std::string workerOf(const Fault& fault) const;
    void noteImpairment(const Fault& fault, std::int64_t atMs, std::int64_t endMs);
    void changeKeys();
    void scheduleRestart(Node node, std::int64_t endMs);
    void watchProcesses();
    void endAt(std::int64_t atMs, std::function<void()> end) { ends_.emplace(atMs, std::move(end)); }

    test::PlatformDeployment& deployment_;
    standin::Relay& relay_;
    std::vector<Fault> plan_;
    std::function<void(const std::string& key)> keyChanged_;
    std::size_t next_ = 0;
    std::multimap<std::int64_t, std::function<void()>> ends_;
    std::map<Node, bool> isDown_; //!< killed or sent SIGTERM, and not restarted yet
    std::map<Node, bool> isStopping_;
    int keyVersion_ = 1;
    std::size_t stateBytes_ = 0; //!< size of the desired state; 0: as small as it can be
    std::uint64_t linkBytesPerSecond_;
    std::vector<std::string> unexpectedExits_;
    std::vector<Impairment> impairments_;
};

} // namespace agatevane::soak

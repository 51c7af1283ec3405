#pragma once

#include "tests/platform_system/deployment.h"
#include "tests/soak/plan.h"
#include <functional>
#include <map>
#include <string>

namespace agatevane::soak {

//! Carries a plan's faults out on a deployment, from outside its processes.
class Injector {
public:
    //! `keyChanged` is told the key that callers have to use from now on.
    Injector(test::PlatformDeployment& deployment, standin::Relay& relay, std::vector<Fault> plan,
        std::function<void(const std::string& key)> keyChanged);

    //! Begins and ends what is due at `atMs` since the start of the plan.
    void advance(std::int64_t atMs);
    bool isFinished() const { return next_ == plan_.size() && ends_.empty(); }
    //! Ends all faults, starts what is stopped.
    void heal();
    //! Processes that ended without having been told to, and those that did not exit with 0 on SIGTERM.
    const std::vector<std::string>& unexpectedExits() const { return unexpectedExits_; }

private:
    using Node = int;

    void begin(const Fault& fault, std::int64_t atMs);
    void beginOnNode(const Fault& fault, std::int64_t endMs);
    void beginOnStore(const Fault& fault, std::int64_t endMs);
    void beginOnLink(const Fault& fault, std::int64_t endMs);
    std::string linkOf(const Fault& fault) const;
    void beginOnWorker(const Fault& fault, std::int64_t endMs);
    void changeKeys();
    void startAgain(Node node, std::int64_t endMs);
    void watchProcesses();
    void endAt(std::int64_t atMs, std::function<void()> end) { ends_.emplace(atMs, std::move(end)); }

    test::PlatformDeployment& deployment_;
    standin::Relay& relay_;
    std::vector<Fault> plan_;
    std::function<void(const std::string& key)> keyChanged_;
    std::size_t next_ = 0;
    std::multimap<std::int64_t, std::function<void()>> ends_;
    std::map<Node, bool> isDown_; //!< killed or told to stop, and not started again yet
    std::map<Node, bool> isStopping_;
    int keyVersion_ = 1;
    std::vector<std::string> unexpectedExits_;
};

} // namespace agatevane::soak

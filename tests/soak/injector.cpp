#include "tests/soak/injector.h"

#include <iostream>

namespace agatevane::soak {

namespace {

    constexpr int storeDelayMs = 300;
    constexpr std::chrono::milliseconds linkDelay { 400 };
    constexpr int storeWriteDelayMs = 2500;
    //! Shorter than cancelBoundMs, the time after which a cancelled job may not start runs any more.
    constexpr int orderDelayMs = 2000;
    //! Time from the end of a fault that took a node down to the restart of the node.
    constexpr std::int64_t restartAfterMs = 300;
    //! Time after SIGTERM at which the platform kills a process that has not exited.
    constexpr std::int64_t stopGraceMs = 6000;
    constexpr std::int64_t shortestHoldUpMs = 3000;
    constexpr std::int64_t longestHoldUpMs = 12000;
    //! Paused nodes don't answer.
    constexpr Millis ownerTimeout { 100 };
    constexpr std::size_t stateGrowthBytes = 350'000;
    //! The largest value that the store accepts.
    constexpr std::size_t maxStateBytes = 1024 * 1024;

} // namespace

Injector::Injector(test::PlatformDeployment& deployment, standin::Relay& relay, std::vector<Fault> plan,
    std::function<void(const std::string& key)> keyChanged, std::uint64_t linkBytesPerSecond)
    : deployment_(deployment)
    , relay_(relay)
    , plan_(std::move(plan))
    , keyChanged_(std::move(keyChanged))
    , linkBytesPerSecond_(linkBytesPerSecond)
{
    makeLinksSound();
}

void Injector::advance(std::int64_t atMs)
{
    watchProcesses();
    while (!ends_.empty() && ends_.begin()->first <= atMs) {
        auto end = std::move(ends_.begin()->second);
        ends_.erase(ends_.begin());
        end();
    }
    while (next_ < plan_.size() && plan_[next_].atMs <= atMs)
        begin(plan_[next_++], atMs);
}

void Injector::begin(const Fault& fault, std::int64_t atMs)
{
    std::cout << atMs << " ms " << nameOf(fault.kind) << " " << fault.target % 1000 << " for " << fault.durationMs
              << " ms\n";
    auto endMs = atMs + fault.durationMs;
    noteImpairment(fault, atMs, endMs);
    switch (fault.kind) {
    case FaultKind::NodeKilled:
    case FaultKind::NodeStopped:
    case FaultKind::NodePaused:
    case FaultKind::AllNodesKilled:
        return beginOnNode(fault, endMs);
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreWritesLate:
        return beginOnStore(fault, endMs);
    case FaultKind::StoreForgetsHistory:
        return deployment_.postControl("/compact", "");
    case FaultKind::WorkerRestarted:
    case FaultKind::WorkerFailing:
    case FaultKind::WorkerOrdersLate:
    case FaultKind::WorkerDraining:
        return beginOnWorker(fault, endMs);
    case FaultKind::KeysChanged:
        return changeKeys();
    case FaultKind::DesiredStateGrown:
        stateBytes_ = std::min(stateBytes_ + stateGrowthBytes, maxStateBytes);
        return changeKeys();
    case FaultKind::WorkerUnlisted:
    case FaultKind::WorkerUnlistedAndCut:
    case FaultKind::WorkerRestartedBehindCut:
        return beginOnListing(fault, endMs);
    case FaultKind::WorkerCutFromOwner:
    case FaultKind::WorkerOneWayFromOwner:
    case FaultKind::OwnerStoreLinkCut:
    case FaultKind::OwnerStoreLinkSilent:
    case FaultKind::OwnerStoreLinkOneWay:
    case FaultKind::OwnerRefusedByStore:
    case FaultKind::OwnerPaused:
        return beginOnOwner(fault, endMs);
    case FaultKind::WorkerOrdersVeryLate:
    case FaultKind::WorkerRestartedBeforeLateOrders:
        return holdUpOrders(fault, atMs, endMs);
    default:
        return beginOnLink(fault, endMs);
    }
}

void Injector::beginOnNode(const Fault& fault, std::int64_t endMs)
{
    auto node = nodeOf(fault);
    if (fault.kind == FaultKind::AllNodesKilled) {
        for (node = 0; node < deployment_.nodeCount(); ++node) {
            if (!std::exchange(isDown_[node], true))
                scheduleRestart(node, endMs);
            deployment_.node(node).kill();
        }
        return;
    }
    if (isDown_[node])
        return;
    auto& process = deployment_.node(node);
    if (fault.kind == FaultKind::NodePaused) {
        process.pause();
        return endAt(endMs, [this, node] { deployment_.node(node).resume(); });
    }
    isDown_[node] = true;
    if (fault.kind == FaultKind::NodeKilled) {
        process.kill();
        return scheduleRestart(node, endMs);
    }
    isStopping_[node] = true;
    process.resume();
    process.requestStop();
    scheduleRestart(node, endMs - fault.durationMs + stopGraceMs);
}

//! Kills the process before the restart if it is still running, as the platform does.
void Injector::scheduleRestart(Node node, std::int64_t endMs)
{
    endAt(endMs + restartAfterMs, [this, node] {
        deployment_.node(node).kill();
        deployment_.startNode(node);
        isDown_[node] = false;
        isStopping_[node] = false;
    });
}

void Injector::watchProcesses()
{
    for (Node node = 0; node < deployment_.nodeCount(); ++node) {
        auto& process = deployment_.node(node);
        if (isDown_[node] && !isStopping_[node])
            continue;
        if (process.isRunning() || (isStopping_[node] && process.exitCode() == 0))
            continue;
        // A process that was stopped before its first line does not handle signals yet, and has served nobody.
        if (isStopping_[node] && process.output().empty())
            continue;
        unexpectedExits_.push_back("node " + std::to_string(node) + " ended with code "
            + std::to_string(process.exitCode()) + "; the end of its output:\n"
            + process.output().substr(process.output().size() - std::min<std::size_t>(process.output().size(), 2000)));
        if (!std::exchange(isDown_[node], true))
            deployment_.startNode(node);
        isDown_[node] = isStopping_[node];
        isStopping_[node] = false;
    }
}

void Injector::beginOnStore(const Fault& fault, std::int64_t endMs)
{
    nlohmann::json faults = nlohmann::json::object();
    if (fault.kind == FaultKind::StoreDown)
        faults["down"] = true;
    else if (fault.kind == FaultKind::StoreLosesAnswers)
        faults["losesAnswers"] = true;
    else if (fault.kind == FaultKind::StoreWritesLate)
        faults["lateMs"] = storeWriteDelayMs;
    else
        faults["delayMs"] = storeDelayMs;
    deployment_.postControl("/faults", faults.dump());
    endAt(endMs, [this] { deployment_.postControl("/faults", "{}"); });
}

Injector::Node Injector::nodeOf(const Fault& fault) const
{
    return static_cast<Node>(fault.target % static_cast<std::uint64_t>(deployment_.nodeCount()));
}

Injector::Node Injector::ownerOr(const Fault& fault)
{
    auto owner = deployment_.owner(ownerTimeout);
    return owner >= 0 ? owner : nodeOf(fault);
}

std::string Injector::workerOf(const Fault& fault) const
{
    auto workers = deployment_.workers();
    return workers[fault.target % workers.size()];
}

//! Name of the link that a fault affects: from a node to the store, from one or all nodes to a worker, from the other
//! nodes to a node, or from callers to a node.
std::string Injector::linkName(const Fault& fault) const
{
    auto node = std::to_string(nodeOf(fault));
    auto kind = nameOf(fault.kind);
    if (kind.starts_with("store_"))
        return "store-" + node;
    if (kind.starts_with("peer_"))
        return "peer-" + node;
    if (kind.starts_with("caller_"))
        return "caller-" + node;
    return "worker-" + workerOf(fault) + (fault.kind == FaultKind::WorkerCutFromNode ? "-" + node : "-*");
}

void Injector::beginOnLink(const Fault& fault, std::int64_t endMs)
{
    auto name = linkName(fault);
    standin::LinkState state;
    switch (fault.kind) {
    case FaultKind::StoreLinkReset:
    case FaultKind::WorkerLinkReset:
    case FaultKind::PeerLinkReset:
    case FaultKind::CallerLinkReset:
        return relay_.reset(name);
    case FaultKind::StoreLinkCut:
    case FaultKind::PeerLinkCut:
    case FaultKind::WorkerCutFromNode:
        state.isCut = true;
        break;
    case FaultKind::StoreLinkSilent:
    case FaultKind::WorkerLinkSilent:
    case FaultKind::PeerLinkSilent:
    case FaultKind::CallerLinkSilent:
        state.isStalled = true;
        break;
    case FaultKind::WorkerLinkDelayed:
    case FaultKind::PeerLinkDelayed:
    case FaultKind::CallerLinkDelayed:
        state.delay = linkDelay;
        break;
    default:
        state.holdsAnswers = true;
        break;
    }
    applyFor(name, state, endMs);
}

void Injector::applyFor(const std::string& link, const standin::LinkState& state, std::int64_t endMs)
{
    auto harmed = state;
    harmed.bytesPerSecond = soundLink(link).bytesPerSecond;
    relay_.apply(link, harmed);
    endAt(endMs, [this, link] { relay_.apply(link, soundLink(link)); });
}

standin::LinkState Injector::soundLink(const std::string& link) const
{
    bool hasRate = link.starts_with("store-") || link.starts_with("peer-");
    return { .bytesPerSecond = hasRate ? linkBytesPerSecond_ : 0 };
}

void Injector::makeLinksSound()
{
    relay_.apply("*", {});
    for (const std::string links : { "store-*", "peer-*" })
        relay_.apply(links, soundLink(links));
}

void Injector::beginOnOwner(const Fault& fault, std::int64_t endMs)
{
    auto owner = ownerOr(fault);
    auto index = std::to_string(owner);
    std::cout << "  the owner is node " << owner << "\n";
    switch (fault.kind) {
    case FaultKind::WorkerCutFromOwner:
        return applyFor("worker-" + workerOf(fault) + "-" + index, { .isCut = true }, endMs);
    case FaultKind::WorkerOneWayFromOwner:
        return applyFor("worker-" + workerOf(fault) + "-" + index, { .holdsAnswers = true }, endMs);
    case FaultKind::OwnerStoreLinkCut:
        return applyFor("store-" + index, { .isCut = true }, endMs);
    case FaultKind::OwnerStoreLinkSilent:
        return applyFor("store-" + index, { .isStalled = true }, endMs);
    case FaultKind::OwnerStoreLinkOneWay:
        return applyFor("store-" + index, { .holdsAnswers = true }, endMs);
    case FaultKind::OwnerRefusedByStore:
        deployment_.postControl("/views/" + index + "/refuse", "");
        return endAt(endMs, [this, index] { deployment_.postControl("/views/" + index + "/admit", ""); });
    default:
        if (isDown_[owner])
            return;
        deployment_.node(owner).pause();
        endAt(endMs, [this, owner] { deployment_.node(owner).resume(); });
    }
}

//! Removes the worker's entry from the store until the end. Each bit of the target's higher half decides whether a node
//! is cut from the worker.
void Injector::beginOnListing(const Fault& fault, std::int64_t endMs)
{
    constexpr unsigned firstBit = 32;
    auto worker = workerOf(fault);
    auto path = "/workers/" + worker;
    deployment_.postControl(path + "/unlist", "");
    endAt(endMs, [this, path] { deployment_.postControl(path + "/list", ""); });
    if (fault.kind == FaultKind::WorkerUnlisted)
        return;
    for (Node node = 0; node < deployment_.nodeCount(); ++node) {
        if ((fault.target >> (firstBit + static_cast<unsigned>(node) % firstBit)) & 1U)
            applyFor("worker-" + worker + "-" + std::to_string(node), { .isCut = true }, endMs);
    }
    if (fault.kind == FaultKind::WorkerRestartedBehindCut)
        endAt(endMs - fault.durationMs / 2, [this, path] { deployment_.postControl(path + "/restart", ""); });
}

//! Holds up the orders that arrive until `endMs`.
void Injector::holdUpOrders(const Fault& fault, std::int64_t atMs, std::int64_t endMs)
{
    constexpr unsigned firstBit = 32;
    auto delayMs = shortestHoldUpMs
        + static_cast<std::int64_t>(
            (fault.target >> firstBit) % static_cast<std::uint64_t>(longestHoldUpMs - shortestHoldUpMs + 1));
    auto path = "/workers/" + workerOf(fault);
    deployment_.postControl(path + "/late", std::to_string(delayMs));
    endAt(endMs, [this, path] { deployment_.postControl(path + "/late", "0"); });
    if (fault.kind == FaultKind::WorkerRestartedBeforeLateOrders)
        endAt(
            std::min(endMs, atMs + shortestHoldUpMs), [this, path] { deployment_.postControl(path + "/restart", ""); });
}

//! What callers, their links and the links between nodes suffer does not hinder an owner that has acknowledged a
//! cancellation.
void Injector::noteImpairment(const Fault& fault, std::int64_t atMs, std::int64_t endMs)
{
    auto kind = nameOf(fault.kind);
    if (kind.starts_with("peer_") || kind.starts_with("caller_") || fault.kind == FaultKind::KeysChanged
        || fault.kind == FaultKind::DesiredStateGrown || fault.kind == FaultKind::StoreForgetsHistory
        || fault.kind == FaultKind::WorkerFailing || fault.kind == FaultKind::WorkerDraining
        || fault.kind == FaultKind::WorkerUnlisted)
        return;
    if (fault.kind == FaultKind::NodeStopped)
        endMs = atMs + stopGraceMs + restartAfterMs;
    if (fault.kind == FaultKind::NodeKilled || fault.kind == FaultKind::AllNodesKilled)
        endMs += restartAfterMs;
    bool isInstant = kind.ends_with("_reset") || fault.kind == FaultKind::WorkerRestarted;
    impairments_.push_back({ atMs, isInstant ? atMs : endMs, kind.starts_with("worker_") ? workerOf(fault) : "" });
}

void Injector::beginOnWorker(const Fault& fault, std::int64_t endMs)
{
    auto path = "/workers/" + workerOf(fault);
    if (fault.kind == FaultKind::WorkerRestarted)
        return deployment_.postControl(path + "/restart", "");
    if (fault.kind == FaultKind::WorkerDraining) {
        deployment_.postControl(path + "/drain", "");
        return endAt(endMs, [this, path] { deployment_.postControl(path + "/restart", ""); });
    }
    if (fault.kind == FaultKind::WorkerOrdersLate) {
        deployment_.postControl(path + "/late", std::to_string(orderDelayMs));
        return endAt(endMs, [this, path] { deployment_.postControl(path + "/late", "0"); });
    }
    deployment_.postControl(path + "/fail", "");
    endAt(endMs, [this, path] { deployment_.postControl(path + "/mend", ""); });
}

//! Adds a new key. The previous key stays valid until the next change, and callers use the previous one.
void Injector::changeKeys()
{
    auto before = "key-" + std::to_string(keyVersion_);
    auto key = "key-" + std::to_string(++keyVersion_);
    deployment_.putDesiredState(keyVersion_, { before, key }, stateBytes_);
    keyChanged_(before);
}

void Injector::endAllFaults()
{
    while (!ends_.empty()) {
        auto end = std::move(ends_.begin()->second);
        ends_.erase(ends_.begin());
        end();
    }
    makeLinksSound();
    deployment_.postControl("/faults", "{}");
}

} // namespace agatevane::soak

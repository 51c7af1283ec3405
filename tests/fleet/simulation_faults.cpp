//! The part of FleetSimulation that injects faults.
#include "simulation.h"

#include <algorithm>

namespace agatevane::test {

namespace {

    //! Workers report to the store this often; an entry lapses after three intervals without a report.
    constexpr std::int64_t reportIntervalMs = 1500;
    constexpr std::int64_t minCutMs = 2000;
    constexpr std::int64_t maxCutMs = 20000;
    constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

} // namespace

bool FleetSimulation::occurs(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

bool FleetSimulation::isLost(const fleet::WorkerId& worker)
{
    bool isLost = occurs(options_.lostOrderShare);
    if (isLost)
        harmedMs_[worker] = nowMs_;
    return isLost;
}

bool FleetSimulation::isAnswerLost(double share, const fleet::WorkerId& worker)
{
    bool isLost = share > 0 && occurs(share);
    if (isLost)
        harmedMs_[worker] = nowMs_;
    return isLost;
}

bool FleetSimulation::isReachable(const Owner& owner, const fleet::WorkerId& worker) const
{
    auto unreachable = unreachableUntil_.find(worker);
    if (!workers_.isUp(worker) || (unreachable != unreachableUntil_.end() && nowMs_ < unreachable->second))
        return false;
    auto cut = cuts_.find(worker);
    if (cut == cuts_.end())
        return true;
    return owner.fleet.tenure % 2 == 0 ? cut->second.reachesEvenOwners : cut->second.reachesOddOwners;
}

bool FleetSimulation::takesLateOrder(const Owner& owner, const fleet::WorkerId& worker) const
{
    return isReachable(owner, worker) || (options_.cutEveryMs > 0 && workers_.isUp(worker));
}

fleet::WorkerId FleetSimulation::pickWorker()
{
    auto chosen = listings_.begin();
    std::advance(chosen, uniform(random_, 0, static_cast<std::int64_t>(listings_.size()) - 1));
    return chosen->first;
}

void FleetSimulation::stopCuts()
{
    nextRestartMs_ = nextUnreachableMs_ = nextCutMs_ = never;
}

void FleetSimulation::stopFaults()
{
    stopTakeovers();
    stopCuts();
    options_.lostOrderShare = options_.lateOrderShare = options_.latePollShare = 0;
}

bool FleetSimulation::hasFault() const
{
    return !cuts_.empty() || !earlierOwners_.empty()
        || std::any_of(unreachableUntil_.begin(), unreachableUntil_.end(),
            [this](const auto& each) { return nowMs_ < each.second; });
}

void FleetSimulation::injectFaults()
{
    if (nowMs_ >= nextTakeoverMs_) {
        nextTakeoverMs_ += options_.takeoverEveryMs;
        takeOver();
    }
    if (nowMs_ >= nextRestartMs_) {
        nextRestartMs_ += options_.restartEveryMs;
        workers_.restart(pickWorker(), nowMs_);
    }
    if (nowMs_ >= nextUnreachableMs_) {
        nextUnreachableMs_ += options_.unreachableEveryMs;
        unreachableUntil_[pickWorker()] = nowMs_ + 8000;
    }
    if (nowMs_ >= nextCutMs_) {
        nextCutMs_ += options_.cutEveryMs;
        cutWorker();
    }
    advanceCuts();
}

void FleetSimulation::cutWorker()
{
    auto id = pickWorker();
    if (cuts_.contains(id))
        return;
    Cut cut;
    cut.entry = workers_.listing(id);
    cut.entryLapsesMs = nowMs_ + 3 * reportIntervalMs - uniform(random_, 0, reportIntervalMs);
    cut.healsMs = nowMs_ + uniform(random_, minCutMs, maxCutMs);
    cut.restartsMs = occurs(options_.restartBehindCutShare) ? uniform(random_, nowMs_, cut.healsMs) : never;
    if (occurs(options_.cutFromOwnersShare)) {
        auto side = uniform(random_, 0, 2);
        cut.reachesOddOwners = side == 1;
        cut.reachesEvenOwners = side == 2;
    }
    cuts_[id] = cut;
}

void FleetSimulation::cutFromStore(const fleet::WorkerId& worker, std::int64_t healsMs)
{
    Cut cut;
    cut.entry = workers_.listing(worker);
    cut.entryLapsesMs = nowMs_;
    cut.healsMs = healsMs;
    cut.restartsMs = never;
    cuts_[worker] = cut;
}

void FleetSimulation::advanceCuts()
{
    for (auto each = cuts_.begin(); each != cuts_.end();) {
        auto& [id, cut] = *each;
        if (nowMs_ >= cut.restartsMs) {
            cut.restartsMs = never;
            workers_.restart(id, nowMs_);
        }
        each = nowMs_ >= cut.healsMs ? cuts_.erase(each) : std::next(each);
    }
}

std::vector<fleet::WorkerListing> FleetSimulation::listings() const
{
    std::vector<fleet::WorkerListing> listed;
    for (const auto& listing : workers_.listings(nowMs_)) {
        auto cut = cuts_.find(listing.id);
        if (cut == cuts_.end())
            listed.push_back(listing);
        else if (nowMs_ < cut->second.entryLapsesMs)
            listed.push_back(cut->second.entry);
    }
    return listed;
}

} // namespace agatevane::test

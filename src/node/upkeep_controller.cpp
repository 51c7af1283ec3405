#include "node/upkeep_controller.h"

#include "agatevane/event_log/event_log.h"
#include "node/unreadable_records.h"

namespace agatevane::node {

namespace {

    using event_log::Line;

    constexpr Millis readTimeout { 1000 };
    constexpr Millis retryPause { 200 };
    //! Waves are rare and have tens of seconds to finish. Long watches save calls: each watch that ends is a paid call.
    constexpr PrefixFollower::WatchTimes wavesWatch { Millis(10000), Millis(0) };
    constexpr Millis machinesTimeout { 1000 };
    constexpr Millis orderTimeout { 1000 };
    //! Least time between two readings of the list of machines while a wave is in progress. Each reading is a paid
    //! call, and a machine is down for seconds.
    constexpr Millis machinesInterval { 700 };

} // namespace

UpkeepController::UpkeepController(const Environment& environment)
    : environment_(environment)
    , recordTimer_(environment.context)
    , wavesFollower_(environment.context, environment.store, environment.translation.wavePrefix, wavesWatch,
          { [this](const kv::ReadResult& listed) { applyListedWaves(listed); },
              [this](const std::vector<kv::Change>& changes) { applyWaveChanges(changes); } })
{
    state_.tenureStartedAt = bootNow();
}

void UpkeepController::start()
{
    readRecord();
}

void UpkeepController::stop()
{
    isStopped_ = true;
    wavesFollower_.stop();
}

void UpkeepController::readRecord()
{
    environment_.store.get(
        upkeepKey, { now() + readTimeout, {} }, liveness_.guard([this](const kv::ReadResult& result) {
            if (isStopped_)
                return;
            if (result.error) {
                recordTimer_.arm(retryPause, [this] { readRecord(); });
                return;
            }
            for (const auto& item : result.items) {
                if (!upkeep::decodeRecord(state_, item.value))
                    reportUnreadableRecord(item);
            }
            wavesFollower_.start();
        }));
}

void UpkeepController::applyListedWaves(const kv::ReadResult& listed)
{
    for (const auto& item : listed.items)
        applyWave(item);
    isLoaded_ = true;
}

void UpkeepController::applyWaveChanges(const std::vector<kv::Change>& changes)
{
    for (const auto& change : changes) {
        if (!change.isRemoval)
            applyWave(change.item);
    }
}

void UpkeepController::applyWave(const kv::Item& item)
{
    Findings findings;
    auto request = environment_.translation.decodeWave(item, findings);
    for (const auto& finding : findings)
        Line("entry_ignored").with("place", finding.place).with("text", finding.text);
    if (request)
        upkeep::applyRequest(state_, *request, unixMillis(), bootNow());
}

void UpkeepController::advance()
{
    if (!isLoaded_ || isStopped_)
        return;
    auto at = bootNow();
    wavesFollower_.reportSilence(at);
    if (upkeep::needsMachineList(state_)) {
        readMachines();
        // An owner that may have been replaced without knowing it sends no orders: they could arrive after those of the
        // next owner.
        if (environment_.isOwnershipConfirmed()) {
            for (const auto& order : upkeep::advance(state_, environment_.fleet, at)) {
                environment_.machines.beginUpkeep(
                    order, now() + orderTimeout, liveness_.guard([this, order](upkeep::UpkeepOutcome outcome) {
                        if (!isStopped_)
                            upkeep::applyOutcome(state_, order.wave, order.machine, outcome, bootNow());
                    }));
            }
        }
    }
    saveState();
}

void UpkeepController::readMachines()
{
    auto at = bootNow();
    if (isReading_ || at < nextReadAt_)
        return;
    isReading_ = true;
    nextReadAt_ = at + machinesInterval;
    environment_.machines.list(now() + machinesTimeout,
        liveness_.guard([this, at](std::error_code error, const std::vector<upkeep::Machine>& machines) {
            if (isStopped_)
                return;
            isReading_ = false;
            if (error)
                Line("machines_not_read").with("error", error.message());
            else
                upkeep::applyMachineList(state_, machines, at);
        }));
}

void UpkeepController::saveState()
{
    if (savedChanges_ == state_.recordChanges)
        return;
    savedChanges_ = state_.recordChanges;
    environment_.committer.enqueueRecord(upkeepKey, upkeep::encodeRecord(state_));
    for (const auto& [number, wave] : state_.waves) {
        if (wave.progress.empty())
            continue;
        auto status = environment_.translation.encodeWaveStatus(number, wave.isCompleted);
        environment_.committer.enqueueRecord(status.key, status.value);
    }
}

} // namespace agatevane::node

#pragma once

#include "agatevane/fleet/placement.h"
#include <cstdint>
#include <string>
#include <vector>

namespace agatevane::test {

//! A fleet at one instant, with workers of eight accelerators each, four to a rack, that run what the test says.
class BusyFleet {
public:
    static constexpr std::int64_t acceleratorsPerWorker = 8;
    static constexpr std::int64_t unixMs = 1000;

    static Instant now() { return Instant(std::chrono::hours(1)); }

    explicit BusyFleet(int workers);

    fleet::Fleet& fleet() { return fleet_; }

    //! Accepts a job of one step, whose tasks each need that many accelerators.
    fleet::Job& submit(const fleet::JobId& id, std::uint32_t count, std::int64_t accelerators, int priority,
        bool isGang = false, bool savesCheckpoints = false);
    //! The task runs on the worker and was ordered `age` ago.
    void run(fleet::Job& job, std::uint32_t index, const fleet::WorkerId& worker, Millis age = Millis(1000));
    std::vector<fleet::WorkerHeadroom> headrooms();
    //! The job's step with all its tasks waiting.
    static fleet::PendingStep waiting(fleet::Job& job);

private:
    void addWorker(const fleet::WorkerId& id, const std::string& rack);

    fleet::Fleet fleet_;
};

} // namespace agatevane::test

//! Runs that make no progress, and runs that only seem to, because a percent of their work takes long.
#include "polled_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr std::int64_t stallMs = 3500;
//! Time in which a stall is seen and the next run begins.
constexpr std::int64_t slackMs = 1500;

//! One job whose work differs from its declared length.
class StalledFleet : public test::PolledFleet {
public:
    StalledFleet(std::int64_t durationMs, std::int64_t estimatedMs)
        : durationMs_(durationMs)
        , estimatedMs_(estimatedMs)
    {
    }

    bool isDone() const { return !runs().empty() && runs().back().end == fleet::EndKind::Done; }

protected:
    void changeWorld() override
    {
        if (nowMs_ == submittedAtMs)
            submit(durationMs_, estimatedMs_);
    }
    std::int64_t linkDelayMs() override { return 5; }
    std::int64_t commitDelayMs() override { return 10; }

private:
    static constexpr std::int64_t submittedAtMs = 500;

    std::int64_t durationMs_;
    std::int64_t estimatedMs_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(stalled_runs)

// Guards against a task that never ends: a percent of its work took longer than a run without progress was given, so
// that each of its runs was stopped.
BOOST_AUTO_TEST_CASE(A_task_that_takes_eight_times_as_long_as_declared_ends, *boost::unit_test::label("tracking"))
{
    constexpr std::int64_t durationMs = 480000;
    constexpr std::int64_t estimatedMs = 60000;
    StalledFleet fleet(durationMs, estimatedMs);
    fleet.run(durationMs + stallMs + 5 * slackMs);
    BOOST_CHECK(fleet.isDone());
    BOOST_CHECK_LE(fleet.runs().size(), 2U);
}

BOOST_AUTO_TEST_CASE(A_task_that_is_declared_to_be_long_is_not_stopped, *boost::unit_test::label("tracking"))
{
    constexpr std::int64_t durationMs = 480000;
    StalledFleet fleet(durationMs, durationMs);
    fleet.run(durationMs + 5 * slackMs);
    BOOST_CHECK(fleet.isDone());
    BOOST_CHECK_EQUAL(fleet.runs().size(), 1U);
}

// Guards against a long-running task that is given up for ever, and against a stuck one that is found late.
BOOST_AUTO_TEST_CASE(A_task_without_progress_is_stopped_later_each_time, *boost::unit_test::label("tracking"))
{
    constexpr std::int64_t endlessMs = 1'000'000'000;
    constexpr std::size_t checkedRuns = 4;
    StalledFleet fleet(endlessMs, 1000);
    fleet.run(80000);
    BOOST_REQUIRE_GT(fleet.runs().size(), checkedRuns);
    auto allowedMs = stallMs;
    for (std::size_t run = 0; run < checkedRuns; ++run, allowedMs *= 2) {
        auto tookMs = fleet.runs()[run + 1].beganMs - fleet.runs()[run].beganMs;
        BOOST_CHECK_GE(tookMs, allowedMs);
        BOOST_CHECK_LE(tookMs, allowedMs + slackMs);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "node/loop_watch.h"
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace agatevane;

namespace {

constexpr Millis pauseTime { 1000 };
//! Three ticks and some time for a busy machine.
constexpr Millis settleTime { 900 };

struct WatchedLoop {
    WatchedLoop()
    {
        watch.start();
        context.run_for(settleTime);
    }

    asio::io_context context;
    node::LoopWatch watch { context };
};

} // namespace

// Guards against a request that counts as new although it waited in the kernel while the process was paused.
BOOST_FIXTURE_TEST_CASE(
    What_is_read_right_after_a_pause_may_have_arrived_before_it, WatchedLoop, *boost::unit_test::label("node"))
{
    auto pausedAt = bootNow();
    std::this_thread::sleep_for(pauseTime);
    Instant bound = Instant::max();
    asio::post(context, [&] { bound = watch.arrivedAfter(); });
    context.restart();
    context.run_for(Millis(1));
    BOOST_CHECK(bound <= pausedAt);
}

// Guards against requests that look old for ever after a pause.
BOOST_FIXTURE_TEST_CASE(
    What_is_read_some_time_after_a_pause_arrived_after_it, WatchedLoop, *boost::unit_test::label("node"))
{
    std::this_thread::sleep_for(pauseTime);
    auto resumedAt = bootNow();
    context.restart();
    context.run_for(settleTime);
    BOOST_CHECK(watch.arrivedAfter() >= resumedAt);
    BOOST_CHECK(watch.arrivedAfter() < bootNow());
}

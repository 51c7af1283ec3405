#include "agatevane/gang/gang.h"
#include <boost/test/unit_test.hpp>
#include <map>

using namespace agatevane;
using namespace agatevane::gang;

namespace {

const Instant start = Instant {} + std::chrono::hours(1);

//! A gang of two parts on the workers a and b, whose clocks differ.
struct Fixture {
    Timing timing;
    std::map<WorkerId, WorkerClock> clocks { { { "a" }, { "i1", 1000, start } }, { { "b" }, { "i1", 9000, start } } };
    Gang gang = makeGang({ "j" }, { "t1" }, 7,
        { Part { .worker = { "a" }, .accelerators = 8 }, Part { .worker = { "b" }, .accelerators = 8 } }, start);

    std::vector<Command> advanceAt(Instant at)
    {
        auto clockOf = [&](const WorkerId& worker) -> const WorkerClock* {
            auto found = clocks.find(worker);
            return found == clocks.end() ? nullptr : &found->second;
        };
        return advance(gang, timing, clockOf, at);
    }

    //! Has all parts prepared and started at `at`.
    void runAt(Instant at)
    {
        advanceAt(at);
        onPrepareReply(gang, { "a" }, ReplyStatus::Ok);
        onPrepareReply(gang, { "b" }, ReplyStatus::Ok);
        advanceAt(at);
        onStartReply(gang, { "a" }, ReplyStatus::Ok, at, at);
        onStartReply(gang, { "b" }, ReplyStatus::Ok, at, at);
    }

    void report(const char* worker, TaskState state, Instant sentAt, std::int64_t progressMs = 0,
        std::int64_t checkpointedMs = 0)
    {
        TaskReport task {
            .attempt = { "t1" }, .state = state, .progressMs = progressMs, .checkpointedMs = checkpointedMs
        };
        onTaskReport(gang, { worker }, task, sentAt);
    }
};

template <typename T> int countOf(const std::vector<Command>& commands)
{
    return static_cast<int>(std::count_if(commands.begin(), commands.end(),
        [](const Command& command) { return std::holds_alternative<T>(command.body); }));
}

} // namespace

BOOST_FIXTURE_TEST_CASE(A_gang_is_started_only_when_every_part_is_prepared, Fixture)
{
    BOOST_TEST(countOf<PrepareCommand>(advanceAt(start)) == 2);
    onPrepareReply(gang, { "a" }, ReplyStatus::Ok);
    BOOST_TEST(countOf<StartCommand>(advanceAt(start + Millis { 600 })) == 0);
    onPrepareReply(gang, { "b" }, ReplyStatus::Ok);
    BOOST_TEST(countOf<StartCommand>(advanceAt(start + Millis { 700 })) == 2);
}

// Guards against reservations that remain on the other workers after one worker refused.
BOOST_FIXTURE_TEST_CASE(A_refusal_stops_every_other_part, Fixture)
{
    advanceAt(start);
    onPrepareReply(gang, { "a" }, ReplyStatus::Ok);
    onPrepareReply(gang, { "b" }, ReplyStatus::Refused);
    auto commands = advanceAt(start + Millis { 1 });
    BOOST_REQUIRE(commands.size() == 1);
    BOOST_TEST(commands[0].worker == WorkerId { "a" });
    BOOST_TEST((std::get<AttemptOrder>(commands[0].body).kind == OrderKind::Stop));
    onStopReply(gang, { "a" }, ReplyStatus::Ok);
    BOOST_TEST((gang.phase == Phase::Ended));
    BOOST_TEST((gang.cause == Cause::Refused));
}

// Guards against a part that outlives the others by more than 6 s, because each repeated command could add up to a
// whole lease term.
BOOST_FIXTURE_TEST_CASE(A_repeated_start_does_not_extend_the_lease, Fixture)
{
    advanceAt(start);
    onPrepareReply(gang, { "a" }, ReplyStatus::Ok);
    onPrepareReply(gang, { "b" }, ReplyStatus::Ok);
    auto first = advanceAt(start);
    clocks[{ "a" }] = { "i1", 2000, start + Millis { 1000 } };
    auto second = advanceAt(start + Millis { 1000 });
    BOOST_REQUIRE((first.size() == 2 && second.size() == 2));
    BOOST_TEST(std::get<StartCommand>(first[0].body).leaseUntilClockMs == 5000);
    BOOST_TEST(std::get<StartCommand>(second[0].body).leaseUntilClockMs == 5000);
}

BOOST_FIXTURE_TEST_CASE(Leases_are_extended_only_while_every_part_was_reported_within_2_s, Fixture)
{
    runAt(start);
    report("a", TaskState::Running, start + Millis { 1500 });
    report("b", TaskState::Running, start);
    BOOST_TEST(isRenewable(gang, timing, start + Millis { 1999 }));
    BOOST_TEST(!isRenewable(gang, timing, start + Millis { 2000 }));
}

// Guards against starting the job again while a part on an unreachable worker still runs under its lease.
BOOST_FIXTURE_TEST_CASE(A_part_on_an_unreachable_worker_ends_only_with_its_lease, Fixture)
{
    runAt(start);
    clocks.erase({ "b" });
    report("a", TaskState::Running, start + Millis { 3000 });
    advanceAt(start + Millis { 3001 });
    BOOST_TEST((gang.phase == Phase::Stopping));
    onStopReply(gang, { "a" }, ReplyStatus::Ok);
    advanceAt(start + Millis { 4039 });
    BOOST_TEST((gang.phase == Phase::Stopping));
    advanceAt(start + Millis { 4040 }); // the lease term of 4 s and 1 % clock drift
    BOOST_TEST((gang.phase == Phase::Ended));
}

BOOST_FIXTURE_TEST_CASE(A_part_is_lost_when_its_worker_restarts, Fixture)
{
    runAt(start);
    onTaskAbsent(gang, { "b" }, "i2", start + Millis { 10 });
    BOOST_TEST((gang.cause == Cause::Lost));
    BOOST_TEST(advanceAt(start + Millis { 11 }).size() == 1);
}

// Guards against stopping a gang because a report that was requested before the start took effect lacks the part.
BOOST_FIXTURE_TEST_CASE(A_report_requested_before_the_start_does_not_end_a_part, Fixture)
{
    runAt(start + Millis { 5 });
    onTaskAbsent(gang, { "b" }, "i1", start + Millis { 4 });
    BOOST_TEST((gang.phase == Phase::Running));
}

BOOST_FIXTURE_TEST_CASE(Preemption_waits_for_checkpoints_until_the_deadline, Fixture)
{
    gang.canCheckpoint = true;
    runAt(start);
    report("a", TaskState::Running, start + Millis { 100 }, 100);
    report("b", TaskState::Running, start + Millis { 100 }, 100);
    preempt(gang, start + Millis { 1500 }, "reclaim", start + Millis { 200 });
    BOOST_TEST(countOf<AttemptOrder>(advanceAt(start + Millis { 200 })) == 2);
    report("a", TaskState::Running, start + Millis { 300 }, 300, 250);
    advanceAt(start + Millis { 1499 });
    BOOST_TEST((gang.phase == Phase::Running));
    advanceAt(start + Millis { 1500 });
    BOOST_TEST((gang.phase == Phase::Stopping));
    BOOST_TEST(checkpointedWorkMs(gang) == 0);
}

//! Evacuation of data centres: three workers of eight accelerators, w1 in the evacuated one.
#include "agatevane/fleet/evacuation.h"

#include "answering_fleet.h"
#include <set>

using namespace agatevane;
using fleet::OrderOutcome;
using fleet::RunState;
using test::instantAt;

namespace {

constexpr const char* evacuated = "north";
constexpr const char* other = "south";

struct ZonedFleet : test::AnsweringFleet {
    ZonedFleet()
    {
        fleet.limits.evacuationBound = Millis(5000);
        list("w1", evacuated, 100);
        list("w2", other, 100);
        list("w3", other, 100);
        advance(100);
        answer("w3", 110);
    }

    void list(const fleet::WorkerId& id, const std::string& zone, std::int64_t ms, std::int64_t incarnation = 1,
        Millis coldFor = Millis(0))
    {
        auto entry = listing(id, incarnation);
        entry.zone = zone;
        entry.coldFor = coldFor;
        fleet::applyListing(fleet, entry, instantAt(ms));
    }

    //! Accepts a job of one step. Tasks of eight accelerators fill a worker each, in the order of the workers' names.
    fleet::Job& submit(
        const fleet::JobId& id, std::uint32_t count, std::int64_t accelerators, bool isGang = false, int priority = 1)
    {
        auto spec = test::sampleJob(id, count, accelerators, 60000);
        spec.steps.front().isGang = isGang;
        fleet::applyCommitted(fleet, fleet::submit(fleet, spec, test::sampleQueue(priority), 120, instantAt(120)));
        return fleet.jobs.at(id);
    }

    //! While an acknowledgement is on the way, starts are ordered and not sent.
    void holdUnsent(const fleet::WorkerId& id, bool isHeld = true)
    {
        auto& worker = fleet.workers.at(id);
        worker.isPollInFlight = isHeld;
        worker.pollAcknowledges = isHeld ? 1 : 0;
    }

    void finish(const fleet::StartOrder& order, OrderOutcome outcome, std::int64_t ms)
    {
        fleet::applyStartOutcome(fleet, order.worker, { order.task, order.run }, outcome, instantAt(ms));
    }

    void evacuate(std::int64_t ms) { fleet::requestEvacuation(fleet, evacuated, instantAt(ms)); }
    void takeBack(std::int64_t ms) { fleet::endEvacuation(fleet, evacuated, instantAt(ms)); }

    //! The state of the only run on the worker; nothing if it has none.
    std::optional<RunState> stateOn(const fleet::WorkerId& id) const
    {
        const auto& runs = fleet.workers.at(id).runs;
        return runs.empty() ? std::nullopt : std::optional(runs.begin()->second.state);
    }

    //! Decides each 50 ms, and returns the workers to which starts were sent.
    std::set<fleet::WorkerId> startsBetween(std::int64_t fromMs, std::int64_t toMs)
    {
        std::set<fleet::WorkerId> workers;
        for (auto ms = fromMs; ms <= toMs; ms += 50) {
            for (const auto& start : advance(ms).starts)
                workers.insert(start.worker);
        }
        return workers;
    }
};

enum class Stage { Unsent, InFlight, Unanswered, Confirmed };

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation, ZonedFleet)

// Guards against a start that is sent, or sent again, into an evacuated data centre; against running work that is
// stopped there; and against a second run of a task whose sent start may still be carried out.
BOOST_AUTO_TEST_CASE(A_start_is_withdrawn_stopped_or_kept_by_its_stage, *boost::unit_test::label("evacuation"))
{
    // The run on w1 one round after the request.
    const std::vector<std::pair<Stage, std::optional<RunState>>> cases { { Stage::Unsent, std::nullopt },
        { Stage::InFlight, RunState::Ordered }, { Stage::Unanswered, RunState::Stopping },
        { Stage::Confirmed, RunState::Running } };
    for (const auto& [stage, after] : cases) {
        BOOST_TEST_CONTEXT("stage " << static_cast<int>(stage))
        {
            ZonedFleet zoned;
            zoned.submit("job", 1, 8);
            zoned.holdUnsent("w1", stage == Stage::Unsent);
            auto starts = zoned.advance(200).starts;
            BOOST_REQUIRE_EQUAL(starts.size(), stage == Stage::Unsent ? 0U : 1U);
            if (stage == Stage::Unanswered || stage == Stage::Confirmed)
                zoned.finish(
                    starts.front(), stage == Stage::Confirmed ? OrderOutcome::Done : OrderOutcome::Unknown, 210);
            zoned.evacuate(220);
            zoned.holdUnsent("w1", false);
            auto orders = zoned.advance(230);
            BOOST_CHECK(zoned.stateOn("w1") == after);
            BOOST_CHECK_EQUAL(orders.stops.size(), stage == Stage::Unanswered ? 1U : 0U);
            // Nothing else may run while the first start may.
            BOOST_CHECK_EQUAL(orders.starts.size(), stage == Stage::Unsent ? 1U : 0U);
            BOOST_CHECK(!zoned.startsBetween(250, 3000).contains("w1"));
        }
    }
}

// Guards against an order that is repeated: its answer is lost after the request, and again before the start is given
// up for want of a confirmation.
BOOST_AUTO_TEST_CASE(An_order_without_an_answer_is_not_repeated, *boost::unit_test::label("evacuation"))
{
    submit("job", 1, 8);
    auto start = advance(200).starts.front();
    evacuate(210);
    BOOST_CHECK(startsBetween(250, 650).empty());
    finish(start, OrderOutcome::Unknown, 700);
    BOOST_CHECK_EQUAL(advance(700).stops.size(), 1U);
    BOOST_CHECK(startsBetween(750, 3000).empty());
}

// Guards against a gang of which a part goes on, and against one that is stopped although all members may run.
BOOST_AUTO_TEST_CASE(A_gang_that_loses_a_member_is_stopped_whole, *boost::unit_test::label("evacuation"))
{
    struct Case {
        Stage first; //!< of the member in the evacuated data centre
        Stage second;
        std::optional<RunState> firstAfter;
        std::optional<RunState> secondAfter;
    };
    const std::vector<Case> cases { { Stage::Unsent, Stage::InFlight, std::nullopt, RunState::Stopping },
        { Stage::Unsent, Stage::Confirmed, std::nullopt, RunState::Stopping },
        { Stage::InFlight, Stage::InFlight, RunState::Ordered, RunState::Ordered },
        { Stage::InFlight, Stage::Confirmed, RunState::Ordered, RunState::Running },
        { Stage::Unanswered, Stage::Confirmed, RunState::Stopping, RunState::Stopping },
        { Stage::Confirmed, Stage::InFlight, RunState::Running, RunState::Ordered },
        { Stage::Confirmed, Stage::Unsent, RunState::Running, RunState::Ordered } };
    for (const auto& each : cases) {
        BOOST_TEST_CONTEXT("stages " << static_cast<int>(each.first) << " and " << static_cast<int>(each.second))
        {
            ZonedFleet zoned;
            zoned.submit("gang", 2, 8, true);
            zoned.holdUnsent("w1", each.first == Stage::Unsent);
            zoned.holdUnsent("w2", each.second == Stage::Unsent);
            for (const auto& start : zoned.advance(200).starts) {
                auto stage = start.worker == "w1" ? each.first : each.second;
                if (stage == Stage::Unanswered || stage == Stage::Confirmed)
                    zoned.finish(start, stage == Stage::Confirmed ? OrderOutcome::Done : OrderOutcome::Unknown, 210);
            }
            zoned.evacuate(220);
            zoned.advance(230);
            BOOST_CHECK(zoned.stateOn("w1") == each.firstAfter);
            BOOST_CHECK(zoned.stateOn("w2") == each.secondAfter);
            BOOST_CHECK(!zoned.startsBetween(250, 1000).contains("w1"));
        }
    }
}

// Guards against a gang whose unsent starts have to be stopped by orders before it can be placed anew.
BOOST_AUTO_TEST_CASE(A_gang_of_which_nothing_was_sent_is_placed_anew_at_once, *boost::unit_test::label("evacuation"))
{
    submit("gang", 2, 8, true);
    holdUnsent("w1");
    holdUnsent("w2");
    BOOST_REQUIRE(advance(200).starts.empty());
    evacuate(210);
    holdUnsent("w1", false);
    holdUnsent("w2", false);
    auto orders = advance(220);
    BOOST_CHECK(orders.stops.empty());
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 2U);
    BOOST_CHECK(!stateOn("w1") && stateOn("w2") && stateOn("w3"));
}

// Guards against work in an evacuated data centre that ends because its lease is no longer renewed.
BOOST_AUTO_TEST_CASE(The_lease_of_running_work_is_renewed, *boost::unit_test::label("evacuation"))
{
    submit("job", 1, 8);
    confirmStart(advance(200).starts.front(), 210);
    evacuate(220);
    fleet.workers.at("w1").isPollInFlight = false;
    auto polls = advance(1000).polls;
    BOOST_CHECK(std::any_of(polls.begin(), polls.end(),
        [](const fleet::PollOrder& poll) { return poll.worker == "w1" && poll.leaseUntilMs > 1000; }));
}

// Guards against a worker that is usable because it came, or came again, after the request.
BOOST_AUTO_TEST_CASE(A_worker_that_joins_or_restarts_gets_no_starts, *boost::unit_test::label("evacuation"))
{
    submit("first", 1, 8);
    confirmStart(advance(200).starts.front(), 210);
    evacuate(220);
    list("w4", evacuated, 300);
    list("w1", evacuated, 300, 2);
    advance(300);
    answer("w4", 310);
    answer("w1", 310, {}, 2);
    // The run was confirmed and not reported, so that its order would be repeated for the new incarnation.
    BOOST_CHECK(stateOn("w1") == RunState::Stopping);
    submit("rest", 4, 8);
    BOOST_CHECK(startsBetween(320, 2000) == (std::set<fleet::WorkerId> { "w2", "w3" }));
    // A worker whose entry names another data centre is usable there.
    list("w4", other, 2100);
    BOOST_CHECK(startsBetween(2150, 2150) == std::set<fleet::WorkerId> { "w4" });
}

// Guards against requests that replace each other, against one that a repetition begins anew, and against data centres
// that stay evacuated although a new listing lacks them.
BOOST_AUTO_TEST_CASE(Requests_are_independent_and_may_be_repeated, *boost::unit_test::label("evacuation"))
{
    auto isUsable = [this](const char* id) { return fleet::isUsable(fleet.workers.at(id), instantAt(400)); };
    evacuate(200);
    fleet::requestEvacuation(fleet, other, instantAt(210));
    evacuate(300);
    BOOST_CHECK(fleet.evacuations.byZone.at(evacuated).requestedAt == instantAt(200));
    BOOST_CHECK(!isUsable("w1") && !isUsable("w2") && !isUsable("w3"));
    takeBack(310);
    evacuate(320);
    BOOST_CHECK(!isUsable("w1"));
    takeBack(330);
    takeBack(340);
    BOOST_CHECK(isUsable("w1") && !isUsable("w2"));
    fleet::replaceEvacuations(fleet, { evacuated }, instantAt(350));
    BOOST_CHECK(!isUsable("w1") && isUsable("w2") && isUsable("w3"));
    fleet::replaceEvacuations(fleet, {}, instantAt(360));
    BOOST_CHECK(isUsable("w1") && fleet.evacuations.byZone.empty());
}

// Guards against a request that is forgotten because no worker was there when it came.
BOOST_AUTO_TEST_CASE(A_data_centre_without_workers_stays_evacuated, *boost::unit_test::label("evacuation"))
{
    fleet::requestEvacuation(fleet, "empty", instantAt(200));
    list("w4", "empty", 300);
    advance(300);
    answer("w4", 310);
    submit("job", 4, 8);
    BOOST_CHECK(!startsBetween(320, 1000).contains("w4"));
    auto summary = fleet::summarizeEvacuations(fleet);
    BOOST_REQUIRE_EQUAL(summary.size(), 1U);
    BOOST_CHECK_EQUAL(summary.front().workers, 1U);
}

// Guards against work that goes to cold workers while warm ones have room, and against workers that stay unused.
BOOST_AUTO_TEST_CASE(Workers_that_were_taken_back_are_chosen_last, *boost::unit_test::label("evacuation"))
{
    struct Case {
        std::int64_t sinceMs; //!< time since the data centre was taken back
        std::int64_t coldMs; //!< as in the worker's entry at that time
        bool isLast;
    };
    for (const auto& each : std::vector<Case> {
             { 0, 0, true }, { 4999, 0, true }, { 5000, 0, false }, { 5000, 6000, true }, { 6000, 6000, false } }) {
        BOOST_TEST_CONTEXT(each.sinceMs << " ms, cold for " << each.coldMs << " ms")
        {
            ZonedFleet zoned;
            zoned.evacuate(200);
            zoned.takeBack(300);
            zoned.list("w1", evacuated, 300, 1, Millis(each.coldMs));
            zoned.submit("one", 1, 8);
            auto starts = zoned.advance(300 + each.sinceMs).starts;
            BOOST_REQUIRE_EQUAL(starts.size(), 1U);
            BOOST_CHECK_EQUAL(starts.front().worker, each.isLast ? "w2" : "w1");
            zoned.submit("more", 2, 8);
            zoned.advance(300 + each.sinceMs);
            BOOST_CHECK(zoned.stateOn("w1") && zoned.stateOn("w2") && zoned.stateOn("w3"));
        }
    }
}

// Guards against a cold worker that is passed over although no data centre was evacuated: earlier deployments decide
// as before.
BOOST_AUTO_TEST_CASE(A_cold_worker_that_was_not_taken_back_is_chosen_as_ever, *boost::unit_test::label("evacuation"))
{
    list("w1", evacuated, 150, 1, Millis(60000));
    submit("job", 1, 8);
    BOOST_CHECK_EQUAL(advance(200).starts.front().worker, "w1");
}

// Guards against stops that make no room: capacity in an evacuated data centre can't be used.
BOOST_AUTO_TEST_CASE(Work_in_an_evacuated_data_centre_is_no_victim, *boost::unit_test::label("evacuation"))
{
    submit("gang", 2, 8, true, 2);
    for (const auto& start : advance(200).starts)
        confirmStart(start, 210);
    submit("alone", 1, 8, false, 2);
    confirmStart(advance(210).starts.front(), 215);
    BOOST_REQUIRE(stateOn("w1") && stateOn("w2") && stateOn("w3"));
    evacuate(220);
    submit("urgent", 2, 8, false, 0);
    advance(300);
    BOOST_CHECK(stateOn("w1") == RunState::Running);
    // It is a member of the same gang.
    BOOST_CHECK(stateOn("w2") == RunState::Running);
}

// Guards against starts in a data centre whose evacuation was requested while the store's answers stayed away.
BOOST_AUTO_TEST_CASE(Nothing_starts_anywhere_while_the_requests_are_not_known, *boost::unit_test::label("evacuation"))
{
    submit("first", 1, 8);
    finish(advance(200).starts.front(), OrderOutcome::Unknown, 210);
    submit("second", 2, 8);
    fleet.evacuations.knownUntil = instantAt(220);
    BOOST_CHECK(startsBetween(220, 1000).empty());
    fleet.evacuations.knownUntil = instantAt(2000);
    BOOST_CHECK(startsBetween(1010, 1010) == (std::set<fleet::WorkerId> { "w1", "w2", "w3" }));
    BOOST_CHECK(fleet::evacuationKnowledgeLimit(Millis(5000)) == Millis(4000));
    BOOST_CHECK(fleet::evacuationKnowledgeLimit(Millis(500)) == Millis(1000));
}

// Guards against a new owner that stops inherited runs in an evacuated data centre, or places inherited tasks there.
BOOST_AUTO_TEST_CASE(Inherited_work_goes_on_there_and_starts_elsewhere, *boost::unit_test::label("evacuation"))
{
    submit("job", 3, 8).isInherited = true;
    evacuate(130);
    auto& worker = fleet.workers.at("w1");
    worker.hasAnsweredPoll = false;
    answer("w1", 140, { { { { "job", 0, 0, 2 }, 1 }, {}, 10, 0 } });
    BOOST_CHECK(startsBetween(150, 2000) == (std::set<fleet::WorkerId> { "w2", "w3" }));
    BOOST_CHECK(stateOn("w1") == RunState::Running);
}

BOOST_AUTO_TEST_SUITE_END()

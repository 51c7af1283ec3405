#include "agatevane/fleet/dispatch.h"

#include "busy_fleet.h"
#include "simulation.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace agatevane;
using test::BusyFleet;

namespace {

constexpr Millis step { 5 };
constexpr Millis linkDelay { 4 };
constexpr Millis startTimeout { 500 }; //!< an answer that is handled later counts as lost
constexpr Millis pollMargin { 600 };
constexpr int workers = 100;
//! Messages, sent or received, that the owner can handle in a second. Polls of busy workers take a fifth of it.
constexpr double messagesPerSecond = 1000;
//! Starts that the owner can order in a second beside the polls; each takes two messages.
constexpr double startsPerSecond = 400;

//! An owner that handles a limited number of messages a second, in the order in which they arrive. Workers carry out
//! every order at once and have room for all tasks.
class SlowOwner {
public:
    explicit SlowOwner(std::size_t maxStartsUnderWay)
        : busy_(workers)
    {
        auto& fleet = busy_.fleet();
        fleet.limits.maxStartsUnderWay = maxStartsUnderWay;
        for (auto& [id, worker] : fleet.workers)
            worker.capacity = { 100'000'000, 100'000'000, 100'000 };
    }

    //! Submits jobs of ten tasks at this rate of tasks.
    void run(Millis duration, double tasksPerSecond)
    {
        constexpr std::uint32_t tasksPerJob = 10;
        for (auto end = at_ + duration; at_ < end; at_ += step) {
            for (owed_ += tasksPerSecond * inSeconds(step); owed_ >= tasksPerJob; owed_ -= tasksPerJob)
                busy_.submit("job" + std::to_string(busy_.fleet().jobs.size()), tasksPerJob, 1, 2);
            handleMessages();
            decide();
        }
    }

    std::size_t confirmed() const { return confirmed_; }
    std::size_t stopped() const { return stopped_; }
    //! Tasks of accepted jobs that have no run.
    std::size_t waiting()
    {
        std::size_t count = 0;
        for (const auto& [id, job] : busy_.fleet().jobs)
            count += job.occurrences.front().steps.front().tasks.size() - job.occurrences.front().steps.front().active;
        return count;
    }

private:
    struct Message {
        Instant arrivesAt;
        std::function<void()> handle;
    };

    static double inSeconds(Millis time) { return std::chrono::duration<double>(time).count(); }

    void handleMessages()
    {
        budget_ = std::min(budget_ + messagesPerSecond * inSeconds(step), messagesPerSecond * inSeconds(step) + 1);
        for (; budget_ >= 1 && !inbox_.empty() && inbox_.front().arrivesAt <= at_; budget_ -= 1) {
            auto message = std::move(inbox_.front());
            inbox_.pop_front();
            message.handle();
        }
        for (auto poll = polls_.begin(); poll != polls_.end() && poll->first <= at_; poll = polls_.erase(poll))
            inbox_.push_back({ at_, poll->second });
    }

    void decide()
    {
        if (budget_ < 0)
            return;
        auto& fleet = busy_.fleet();
        fleet.isPlacementDue = true;
        auto orders = fleet::advance(fleet, BusyFleet::unixMs, at_);
        budget_ -= static_cast<double>(orders.starts.size() + orders.stops.size() + orders.polls.size());
        for (const auto& order : orders.starts)
            sendStart(order);
        for (const auto& order : orders.stops)
            sendStop(order);
        for (const auto& order : orders.polls)
            sendPoll(order);
    }

    void sendStart(const fleet::StartOrder& order)
    {
        fleet::RunKey key { order.task, order.run };
        running_[order.worker].insert(key);
        inbox_.push_back({ at_ + linkDelay, [this, worker = order.worker, key, sentAt = at_] {
                              bool isLate = at_ > sentAt + startTimeout;
                              confirmed_ += isLate ? 0 : 1;
                              fleet::applyStartOutcome(busy_.fleet(), worker, key,
                                  isLate ? fleet::OrderOutcome::Unknown : fleet::OrderOutcome::Done, at_);
                          } });
    }

    void sendStop(const fleet::StopOrder& order)
    {
        ++stopped_;
        fleet::RunKey key { order.task, order.run };
        running_[order.worker].erase(key);
        inbox_.push_back({ at_ + linkDelay, [this, worker = order.worker, key] {
                              fleet::applyStopOutcome(busy_.fleet(), worker, key, fleet::OrderOutcome::Done, at_);
                          } });
    }

    void sendPoll(const fleet::PollOrder& order)
    {
        polls_.emplace(
            at_ + order.wait + linkDelay, [this, worker = order.worker, latest = at_ + order.wait + pollMargin] {
                if (at_ > latest)
                    return fleet::applyPollFailure(busy_.fleet(), worker, at_);
                fleet::PollAnswer answer { 1, 1000, {}, {}, 0 };
                for (const auto& key : running_[worker])
                    answer.running.push_back({ key, {}, ++percent_ % 100, 0 });
                fleet::applyPollAnswer(busy_.fleet(), worker, answer, BusyFleet::unixMs, at_);
            });
    }

    BusyFleet busy_;
    Instant at_ = BusyFleet::now();
    double owed_ = 0;
    double budget_ = 0;
    std::deque<Message> inbox_;
    std::multimap<Instant, std::function<void()>> polls_; //!< answers that workers hold back, by when they arrive
    std::map<fleet::WorkerId, std::set<fleet::RunKey>> running_;
    int percent_ = 0;
    std::size_t confirmed_ = 0;
    std::size_t stopped_ = 0;
};

constexpr Millis overloadTime { 6000 };
constexpr std::size_t boundedStarts = 60;

std::size_t startsUnderLoad(double load)
{
    SlowOwner owner(boundedStarts);
    owner.run(overloadTime, load * startsPerSecond);
    BOOST_CHECK_EQUAL(owner.stopped(), 0U);
    return owner.confirmed();
}

} // namespace

// Guards against a metastable failure: an overloaded owner took the answers of its starts for lost, stopped the runs
// and ordered them again, which kept the load up after the work had ended.
BOOST_AUTO_TEST_CASE(An_overloaded_owner_starts_no_less_than_it_can, *boost::unit_test::label("overload"))
{
    auto atCapacity = startsUnderLoad(0.9);
    BOOST_CHECK_GE(static_cast<double>(atCapacity), 0.85 * startsPerSecond * 6);
    BOOST_CHECK_GE(static_cast<double>(startsUnderLoad(3)), 0.9 * static_cast<double>(atCapacity));
    BOOST_CHECK_GE(static_cast<double>(startsUnderLoad(10)), 0.9 * static_cast<double>(atCapacity));
}

BOOST_AUTO_TEST_CASE(An_overloaded_owner_has_recovered_within_five_seconds, *boost::unit_test::label("overload"))
{
    SlowOwner owner(boundedStarts);
    owner.run(Millis(1500), 3 * startsPerSecond);
    BOOST_CHECK_GT(owner.waiting(), 0U);
    owner.run(Millis(5000), 0);
    BOOST_CHECK_EQUAL(owner.waiting(), 0U);
    BOOST_CHECK_EQUAL(owner.stopped(), 0U);
}

BOOST_AUTO_TEST_CASE(
    A_gang_beyond_the_limit_starts_once_no_other_start_is_under_way, *boost::unit_test::label("overload"))
{
    BusyFleet busy(10);
    busy.fleet().limits.maxStartsUnderWay = 4;
    busy.submit("first", 1, 1, 1);
    busy.submit("gang", 6, 8, 2, true);
    auto orders = fleet::advance(busy.fleet(), BusyFleet::unixMs, BusyFleet::now());
    BOOST_REQUIRE_EQUAL(orders.starts.size(), 1U);
    BOOST_CHECK_EQUAL(busy.fleet().deferredRounds, 1U);
    const auto& first = orders.starts.front();
    fleet::applyStartOutcome(
        busy.fleet(), first.worker, { first.task, first.run }, fleet::OrderOutcome::Done, BusyFleet::now());
    orders = fleet::advance(busy.fleet(), BusyFleet::unixMs, BusyFleet::now());
    BOOST_CHECK_EQUAL(orders.starts.size(), 6U);
}

// Guards against starts on workers that don't answer, which hold back the starts on all others.
BOOST_AUTO_TEST_CASE(Starts_without_an_answer_in_time_hold_back_no_others, *boost::unit_test::label("overload"))
{
    BusyFleet busy(10);
    auto& fleet = busy.fleet();
    fleet.limits.maxStartsUnderWay = 4;
    busy.submit("first", 4, 8, 1);
    auto at = BusyFleet::now();
    BOOST_REQUIRE_EQUAL(fleet::advance(fleet, BusyFleet::unixMs, at).starts.size(), 4U);
    busy.submit("second", 4, 8, 1);
    at += fleet.limits.startAnswerTimeout - Millis(1);
    BOOST_CHECK(fleet::advance(fleet, BusyFleet::unixMs, at).starts.empty());
    at += Millis(1);
    BOOST_CHECK_EQUAL(fleet::advance(fleet, BusyFleet::unixMs, at).starts.size(), 4U);
}

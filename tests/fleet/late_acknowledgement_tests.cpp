#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include "simulation.h"
#include <boost/test/unit_test.hpp>

//! Two plans of the soak as simulated cases without random draws: a worker restarts while ends of its runs wait to be
//! acknowledged. The instant of the restart, or of the late polls, is varied in small steps.
using namespace agatevane;

namespace {

constexpr std::int64_t stepMs = 5;
constexpr std::int64_t lengthMs = 20000;
constexpr std::int64_t linkDelayMs = 5;
constexpr std::int64_t recheckMs = 10;
constexpr std::int64_t pollTimeoutMs = 600;
constexpr std::int64_t listIntervalMs = 200;
constexpr std::int64_t submitIntervalMs = 60;
constexpr std::int64_t commitMs = 20;

struct Span {
    std::int64_t beginMs = 0;
    std::int64_t endMs = 0;

    bool contains(std::int64_t ms) const { return ms >= beginMs && ms < endMs; }
};

struct Script {
    std::vector<std::int64_t> durationsMs; //!< of the jobs, in turn
    fleet::WorkerId restarted;
    std::int64_t restartAtMs = 0;
    Span storeCut; //!< what is committed in it becomes durable at its end
    Span latePolls; //!< polls that are sent to the restarted worker in it are late
    std::int64_t pollDelayMs = 0; //!< how late they are carried out; they are not answered
};

Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

//! One owner and three workers. Polls wait at the worker until a run ends, and end with their connection when the
//! worker restarts.
class ScriptedFleet {
public:
    explicit ScriptedFleet(const Script& script)
        : script_(script)
    {
        fleet_.tenure = 1;
        fleet_.fencingToken = 1;
        fleet_.tookOverAt = instantAt(0);
        fleet_.desired.queues.push_back(queue_);
        for (const auto* id : { "w1", "w2", "w3" }) {
            fleet::WorkerListing listing;
            listing.id = id;
            listing.service = queue_.service;
            listing.capacity = { 64000, 128000, 4 };
            workers_.addWorker(listing, 0);
        }
    }

    void run()
    {
        for (; nowMs_ < lengthMs; nowMs_ += stepMs) {
            while (!events_.empty() && events_.begin()->first <= nowMs_) {
                auto action = events_.extract(events_.begin());
                action.mapped()();
            }
            step();
        }
    }

    //! Runs of a task that began after another run's success had been acknowledged.
    std::size_t repeatedRuns() const
    {
        std::size_t repeated = 0;
        std::set<fleet::TaskId> done;
        for (const auto& record : workers_.history()) {
            repeated += done.count(record.key.first);
            if (record.end == fleet::EndKind::Done && record.wasAcknowledgedInTime)
                done.insert(record.key.first);
        }
        return repeated;
    }

    //! Runs that ended well on the restarted worker after its restart.
    std::size_t endsOfNextIncarnation() const
    {
        const auto& history = workers_.history();
        return static_cast<std::size_t>(std::count_if(history.begin(), history.end(), [this](const auto& record) {
            return record.worker == script_.restarted && record.beganMs >= script_.restartAtMs
                && record.end == fleet::EndKind::Done;
        }));
    }

    //! Late polls that acknowledged an end to the next incarnation.
    std::size_t lateAcknowledgements() const { return lateAcknowledgements_; }

private:
    void schedule(std::int64_t delayMs, std::function<void()> action)
    {
        events_.emplace(nowMs_ + delayMs, std::move(action));
    }

    void step()
    {
        workers_.advance(nowMs_);
        if (nowMs_ == script_.restartAtMs)
            workers_.restart(script_.restarted, nowMs_);
        if (nowMs_ % listIntervalMs == 0)
            fleet::applyFullList(fleet_, workers_.listings(nowMs_), instantAt(nowMs_));
        if (nowMs_ % submitIntervalMs == 0)
            submitNext();
        auto orders = fleet::advance(fleet_, nowMs_, instantAt(nowMs_));
        for (const auto& order : orders.starts)
            sendStart(order);
        for (const auto& order : orders.stops)
            sendStop(order);
        for (const auto& order : orders.polls)
            sendPoll(order);
        commit();
    }

    void submitNext()
    {
        auto durationMs = script_.durationsMs[submitted_++ % script_.durationsMs.size()];
        auto spec = test::sampleJob("job-" + std::to_string(nowMs_), 1, 1, durationMs);
        spec.queue = queue_.name;
        fleet::submit(fleet_, spec, queue_, nowMs_, instantAt(nowMs_));
    }

    void sendStart(const fleet::StartOrder& order)
    {
        schedule(linkDelayMs, [this, order] {
            auto outcome = workers_.start(order, nowMs_).outcome;
            schedule(linkDelayMs, [this, order, outcome] {
                fleet::applyStartOutcome(fleet_, order.worker, { order.task, order.run }, outcome, instantAt(nowMs_));
            });
        });
    }

    void sendStop(const fleet::StopOrder& order)
    {
        schedule(linkDelayMs, [this, order] {
            auto outcome = workers_.stop(order, nowMs_).outcome;
            schedule(linkDelayMs, [this, order, outcome] {
                fleet::applyStopOutcome(fleet_, order.worker, { order.task, order.run }, outcome, instantAt(nowMs_));
            });
        });
    }

    void sendPoll(const fleet::PollOrder& order)
    {
        if (order.worker == script_.restarted && script_.latePolls.contains(nowMs_)) {
            schedule(script_.pollDelayMs, [this, order] {
                lateAcknowledgements_ += order.lastAcknowledgedEnd > 0 && nowMs_ > script_.restartAtMs ? 1 : 0;
                workers_.poll(order, nowMs_);
            });
            return schedule(order.wait.count() + pollTimeoutMs, [this, order] { failPoll(order); });
        }
        schedule(linkDelayMs, [this, order] {
            waitForEnd(order, workers_.listing(order.worker).incarnation, nowMs_ + order.wait.count());
        });
    }

    void failPoll(const fleet::PollOrder& order) { fleet::applyPollFailure(fleet_, order.worker, instantAt(nowMs_)); }

    //! Like the platform's workers, applies the acknowledgement whenever it looks for an end.
    void waitForEnd(const fleet::PollOrder& order, std::int64_t incarnation, std::int64_t untilMs)
    {
        if (workers_.listing(order.worker).incarnation != incarnation)
            return schedule(linkDelayMs, [this, order] { failPoll(order); });
        auto answer = workers_.poll(order, nowMs_).answer;
        if (answer.ended.empty() && nowMs_ < untilMs)
            return schedule(
                recheckMs, [this, order, incarnation, untilMs] { waitForEnd(order, incarnation, untilMs); });
        schedule(linkDelayMs,
            [this, order, answer] { fleet::applyPollAnswer(fleet_, order.worker, answer, nowMs_, instantAt(nowMs_)); });
    }

    void commit()
    {
        if (std::exchange(isCommitting_, true))
            return;
        auto sequence = fleet::takeBatch(fleet_, 30).lastSequence();
        bool isCut = script_.storeCut.contains(nowMs_);
        schedule(isCut ? script_.storeCut.endMs - nowMs_ : commitMs, [this, sequence] {
            isCommitting_ = false;
            fleet::applyCommitted(fleet_, sequence);
            fleet::scheduleAcknowledgements(fleet_, instantAt(nowMs_));
        });
    }

    Script script_;
    desired_state::Queue queue_ = test::sampleQueue();
    fleet::Fleet fleet_;
    standin::WorkerModel workers_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::int64_t nowMs_ = 0;
    std::size_t submitted_ = 0;
    std::size_t lateAcknowledgements_ = 0;
    bool isCommitting_ = false;
};

//! What shows that a script has reached what it is for.
struct Reached {
    std::size_t endsOfNextIncarnation = 0;
    std::size_t lateAcknowledgements = 0;
};

//! Plays the script once.
Reached checkScript(const Script& script)
{
    ScriptedFleet fleet(script);
    fleet.run();
    BOOST_CHECK_MESSAGE(fleet.repeatedRuns() == 0,
        fleet.repeatedRuns() << " tasks ran again; restart at " << script.restartAtMs << " ms, polls "
                             << script.pollDelayMs << " ms late");
    return { fleet.endsOfNextIncarnation(), fleet.lateAcknowledgements() };
}

} // namespace

BOOST_AUTO_TEST_SUITE(late_acknowledgements)

// Guards against a task that runs again after it has succeeded (plan of soak seed 12): a worker restarts right before a
// poll with an acknowledgement reaches it, and the poll forgets the ends of the next incarnation.
BOOST_AUTO_TEST_CASE(An_acknowledgement_that_meets_a_restart_forgets_no_end)
{
    constexpr std::int64_t plannedRestartMs = 10350;
    Script script { { 800, 250, 400 }, "w2" };
    std::size_t ends = 0;
    for (std::int64_t laterMs = 0; laterMs < 400; laterMs += stepMs) {
        script.restartAtMs = plannedRestartMs + laterMs;
        ends += checkScript(script).endsOfNextIncarnation;
    }
    BOOST_CHECK_GT(ends, 0U);
}

// As above, where the restart falls into a time in which the owner can't reach the store.
BOOST_AUTO_TEST_CASE(An_acknowledgement_after_a_cut_from_the_store_forgets_no_end)
{
    Script script { { 800, 250, 400 }, "w2" };
    script.storeCut = { 8187, 10360 };
    std::size_t ends = 0;
    for (std::int64_t restartAtMs = 10250; restartAtMs < 10650; restartAtMs += stepMs) {
        script.restartAtMs = restartAtMs;
        ends += checkScript(script).endsOfNextIncarnation;
    }
    BOOST_CHECK_GT(ends, 0U);
}

// Guards against a task that runs again after it has succeeded (plan of soak seed 46): polls are carried out late, by
// the worker's next incarnation, and forget the ends of runs there.
BOOST_AUTO_TEST_CASE(A_poll_delayed_past_a_restart_forgets_no_end)
{
    Script script { { 60, 120, 900 }, "w1" };
    script.restartAtMs = 9605;
    std::size_t acknowledgements = 0;
    for (std::int64_t beginMs = 8660; beginMs < 8740; beginMs += stepMs) {
        script.latePolls = { beginMs, 9498 };
        for (script.pollDelayMs = 1900; script.pollDelayMs < 2020; script.pollDelayMs += 2 * stepMs)
            acknowledgements += checkScript(script).lateAcknowledgements;
    }
    BOOST_CHECK_GT(acknowledgements, 0U);
}

BOOST_AUTO_TEST_SUITE_END()

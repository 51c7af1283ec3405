#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/group_commit.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/runs.h"
#include "agatevane/fleet/workers.h"
#include "simulation.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr std::int64_t stepMs = 5;
constexpr std::int64_t recheckMs = 10;
constexpr std::int64_t pollTimeoutMs = 600;
constexpr std::int64_t listIntervalMs = 200;

Instant instantAt(std::int64_t ms)
{
    return Instant(std::chrono::hours(1)) + Millis(ms);
}

struct Options {
    std::uint64_t seed = 1;
    std::int64_t restartEveryMs = 400; //!< mean interval between restarts of a random worker
    std::int64_t longestCommitMs = 60;
    double latePollShare = 0; //!< share of polls that are carried out seconds later, and not answered
};

//! One owner whose workers restart at any time, at once and at the same address. Polls wait at the worker until a run
//! ends, and end with their connection when the worker restarts.
class RestartingWorkers {
public:
    explicit RestartingWorkers(const Options& options)
        : options_(options)
        , random_(options.seed)
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

    void run(std::int64_t endMs)
    {
        for (; nowMs_ < endMs; nowMs_ += stepMs) {
            while (!events_.empty() && events_.begin()->first <= nowMs_) {
                auto action = events_.extract(events_.begin());
                action.mapped()();
            }
            step();
        }
    }

    //! Runs of a task that began after another run's success had been acknowledged.
    std::vector<std::string> repeatedRuns() const
    {
        std::vector<std::string> repeated;
        std::set<fleet::TaskId> done;
        for (const auto& record : workers_.history()) {
            if (done.contains(record.key.first))
                repeated.push_back("seed " + std::to_string(options_.seed) + ": " + toString(record.key.first) + " run "
                    + std::to_string(record.key.second) + " at " + std::to_string(record.beganMs) + " ms");
            if (record.end == fleet::EndKind::Done && record.wasAcknowledgedInTime)
                done.insert(record.key.first);
        }
        return repeated;
    }

    std::size_t runs() const { return workers_.history().size(); }
    std::size_t polls() const { return polls_; }

private:
    void schedule(std::int64_t delayMs, std::function<void()> action)
    {
        events_.emplace(nowMs_ + delayMs, std::move(action));
    }

    std::int64_t delay() { return uniform(random_, 2, 20); }

    void step()
    {
        workers_.advance(nowMs_);
        if (uniform(random_, 0, options_.restartEveryMs / stepMs - 1) == 0)
            workers_.restart("w" + std::to_string(uniform(random_, 1, 3)), nowMs_);
        if (nowMs_ % listIntervalMs == 0)
            fleet::applyFullList(fleet_, workers_.listings(nowMs_), instantAt(nowMs_));
        if (uniform(random_, 0, 20) == 0) {
            auto spec = test::sampleJob("job-" + std::to_string(nowMs_), 1, 1, uniform(random_, 20, 900));
            spec.queue = queue_.name;
            fleet::submit(fleet_, spec, queue_, nowMs_, instantAt(nowMs_));
        }
        auto orders = fleet::advance(fleet_, nowMs_, instantAt(nowMs_));
        for (const auto& order : orders.starts)
            sendStart(order);
        for (const auto& order : orders.stops)
            sendStop(order);
        for (const auto& order : orders.polls)
            sendPoll(order);
        commit();
    }

    void sendStart(const fleet::StartOrder& order)
    {
        schedule(delay(), [this, order] {
            auto outcome = workers_.start(order, nowMs_).outcome;
            schedule(delay(), [this, order, outcome] {
                fleet::applyStartOutcome(fleet_, order.worker, { order.task, order.run }, outcome, instantAt(nowMs_));
            });
        });
    }

    void sendStop(const fleet::StopOrder& order)
    {
        schedule(delay(), [this, order] {
            auto outcome = workers_.stop(order, nowMs_).outcome;
            schedule(delay(), [this, order, outcome] {
                fleet::applyStopOutcome(fleet_, order.worker, { order.task, order.run }, outcome, instantAt(nowMs_));
            });
        });
    }

    void sendPoll(const fleet::PollOrder& order)
    {
        ++polls_;
        if (std::uniform_real_distribution<double>(0, 1)(random_) < options_.latePollShare) {
            schedule(uniform(random_, 1000, 12000), [this, order] { workers_.poll(order, nowMs_); });
            return schedule(order.wait.count() + pollTimeoutMs, [this, order] { failPoll(order); });
        }
        schedule(delay(), [this, order] {
            waitForEnd(order, workers_.listing(order.worker).incarnation, nowMs_ + order.wait.count());
        });
    }

    void failPoll(const fleet::PollOrder& order) { fleet::applyPollFailure(fleet_, order.worker, instantAt(nowMs_)); }

    //! Like the platform's workers, applies the acknowledgement whenever it looks for an end.
    void waitForEnd(const fleet::PollOrder& order, std::int64_t incarnation, std::int64_t untilMs)
    {
        if (workers_.listing(order.worker).incarnation != incarnation)
            return schedule(delay(), [this, order] { failPoll(order); });
        auto answer = workers_.poll(order, nowMs_).answer;
        if (answer.ended.empty() && nowMs_ < untilMs)
            return schedule(
                recheckMs, [this, order, incarnation, untilMs] { waitForEnd(order, incarnation, untilMs); });
        schedule(delay(),
            [this, order, answer] { fleet::applyPollAnswer(fleet_, order.worker, answer, nowMs_, instantAt(nowMs_)); });
    }

    void commit()
    {
        if (std::exchange(isCommitting_, true))
            return;
        auto sequence = fleet::takeBatch(fleet_, 30).lastSequence();
        schedule(uniform(random_, 10, options_.longestCommitMs), [this, sequence] {
            isCommitting_ = false;
            fleet::applyCommitted(fleet_, sequence);
            fleet::scheduleAcknowledgements(fleet_, instantAt(nowMs_));
        });
    }

    Options options_;
    Random random_;
    desired_state::Queue queue_ = test::sampleQueue();
    fleet::Fleet fleet_;
    standin::WorkerModel workers_;
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::int64_t nowMs_ = 0;
    std::size_t polls_ = 0;
    bool isCommitting_ = false;
};

void checkSeeds(Options options, std::uint64_t last)
{
    std::size_t runs = 0;
    std::size_t polls = 0;
    for (options.seed = 1; options.seed <= last; ++options.seed) {
        RestartingWorkers simulation(options);
        simulation.run(60000);
        for (const auto& each : simulation.repeatedRuns())
            BOOST_ERROR(each);
        runs += simulation.runs();
        polls += simulation.polls();
    }
    BOOST_TEST_MESSAGE(runs << " runs, " << polls << " polls");
    BOOST_CHECK_GT(runs, 0U);
}

} // namespace

BOOST_AUTO_TEST_SUITE(acknowledgements, *boost::unit_test::label("randomised"))

// Guards against a task that runs again after it has succeeded: a poll that acknowledged an end reached the worker's
// next incarnation, and acknowledged ends there that the owner had not seen.
BOOST_AUTO_TEST_CASE(An_acknowledgement_forgets_no_end_of_the_next_incarnation)
{
    checkSeeds({}, 10);
}

// As above, where the end takes long to become durable.
BOOST_AUTO_TEST_CASE(An_acknowledgement_of_a_slow_commit_forgets_no_end_of_the_next_incarnation)
{
    Options options;
    options.longestCommitMs = 1500;
    checkSeeds(options, 10);
}

// As above, where polls are carried out seconds after they were given up.
BOOST_AUTO_TEST_CASE(A_late_acknowledgement_forgets_no_end_of_the_next_incarnation)
{
    Options options;
    options.restartEveryMs = 2000;
    options.latePollShare = 0.05;
    checkSeeds(options, 10);
}

BOOST_AUTO_TEST_SUITE_END()

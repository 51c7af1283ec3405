#include "polled_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

struct Options {
    std::uint64_t seed = 1;
    std::int64_t restartEveryMs = 400; //!< mean interval between restarts of a random worker
    std::int64_t longestCommitMs = 60;
    double latePollShare = 0; //!< share of polls that are carried out seconds later, and not answered
};

//! The workers restart at any time, at once and at the same address.
class RestartingWorkers : public test::PolledFleet {
public:
    explicit RestartingWorkers(const Options& options)
        : options_(options)
        , random_(options.seed)
    {
    }

    std::size_t polls() const { return polls_; }

private:
    void changeWorld() override
    {
        if (uniform(random_, 0, options_.restartEveryMs / stepMs - 1) == 0)
            workers_.restart("w" + std::to_string(uniform(random_, 1, 3)), nowMs_);
        if (uniform(random_, 0, 20) == 0)
            submit(uniform(random_, 20, 900));
    }

    std::int64_t linkDelayMs() override { return uniform(random_, 2, 20); }
    std::int64_t commitDelayMs() override { return uniform(random_, 10, options_.longestCommitMs); }

    void sendPoll(const fleet::PollOrder& order) override
    {
        ++polls_;
        if (std::uniform_real_distribution<double>(0, 1)(random_) < options_.latePollShare)
            return pollLate(order, uniform(random_, 1000, 12000));
        pollInTime(order);
    }

    Options options_;
    Random random_;
    std::size_t polls_ = 0;
};

void checkSeeds(Options options, std::uint64_t last)
{
    std::size_t runs = 0;
    std::size_t polls = 0;
    for (options.seed = 1; options.seed <= last; ++options.seed) {
        RestartingWorkers simulation(options);
        simulation.run(60000);
        for (const auto& each : simulation.repeatedRuns())
            BOOST_ERROR("seed " << options.seed << ": " << toString(each.key.first) << " run " << each.key.second
                                << " at " << each.beganMs << " ms");
        runs += simulation.runs().size();
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

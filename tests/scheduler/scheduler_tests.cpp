#include "deployment.h"
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <sstream>

using namespace agatevane;
using namespace agatevane::scheduler;

BOOST_AUTO_TEST_CASE(
    A_job_of_16_accelerators_runs_on_both_workers_and_finishes, *boost::unit_test::label("integration"))
{
    Deployment deployment(2, 1);
    auto scheduler = deployment.submit(Deployment::jobOf("j1", 16, 300), Millis { 10000 });
    BOOST_REQUIRE(scheduler == 0);
    auto view = deployment.waitFor(0, { "dc.j1" }, JobState::Finished, Millis { 10000 });
    BOOST_TEST(nameOf(view.state) == "finished");
    for (const auto& worker : deployment.fleet->workers())
        BOOST_TEST(worker->runs().size() == 1U);
    // 24 accelerators are more than both workers have.
    auto reply = deployment.ask<SubmitJobReply>(
        0, MessageKind::SubmitJob, SubmitJobRequest { Deployment::jobOf("j2", 24, 300) });
    BOOST_TEST(nameOf(reply.result) == "impossible");
}

BOOST_AUTO_TEST_CASE(A_gang_survives_its_owner, *boost::unit_test::label("integration"))
{
    Deployment deployment(4, 3);
    auto owner = deployment.submit(Deployment::jobOf("j1", 16, 9000), Millis { 10000 });
    BOOST_REQUIRE(owner >= 0);
    deployment.waitFor(owner, { "dc.j1" }, JobState::Running, Millis { 5000 });
    auto killedAt = now();
    deployment.processes[static_cast<std::size_t>(owner)].reset();
    auto successor = deployment.submit(Deployment::jobOf("j2", 8, 100), Millis { 15000 });
    auto outage = elapsed(killedAt, now());
    BOOST_REQUIRE(successor >= 0);
    std::cerr << "time without service after the owner's death: " << outage.count() << " ms\n";
    BOOST_TEST(outage.count() < 5000);
    deployment.waitFor(successor, { "dc.j2" }, JobState::Finished, Millis { 10000 });
    auto view = deployment.waitFor(successor, { "dc.j1" }, JobState::Finished, Millis { 20000 });
    BOOST_TEST(nameOf(view.state) == "finished");
    // One run of each part: the gang was taken over and not started again.
    std::size_t runs = 0;
    for (const auto& worker : deployment.fleet->workers())
        runs += worker->runs().size();
    BOOST_TEST(runs == 3U);
}

BOOST_AUTO_TEST_CASE(A_shutdown_hands_the_data_centre_over, *boost::unit_test::label("integration"))
{
    Deployment deployment(2, 2);
    auto owner = deployment.submit(Deployment::jobOf("j1", 8, 100), Millis { 10000 });
    BOOST_REQUIRE(owner >= 0);
    auto releasedAt = now();
    deployment.processes[static_cast<std::size_t>(owner)]->handOver();
    deployment.processes[static_cast<std::size_t>(owner)].reset();
    auto successor = deployment.submit(Deployment::jobOf("j2", 8, 100), Millis { 10000 });
    auto outage = elapsed(releasedAt, now());
    BOOST_TEST(successor >= 0);
    std::cerr << "time without service after a handover: " << outage.count() << " ms\n";
    BOOST_TEST(outage.count() < 2000);
}

BOOST_AUTO_TEST_CASE(Wrong_settings_are_reported_together, *boost::unit_test::label("settings"))
{
    std::vector<const char*> arguments { "agatevane-scheduler", "--name", "a", "--listen", "here", "--peer", "b" };
    SchedulerSettings settings;
    std::ostringstream out;
    std::ostringstream err;
    auto code = readSettings(static_cast<int>(arguments.size()), arguments.data(), settings, out, err);
    BOOST_TEST((code == 2));
    for (const char* flag : { "--region", "--listen", "--peer", "--store" })
        BOOST_TEST(err.str().find(flag) != std::string::npos, flag);
}

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
    // The two workers have fewer than 24 accelerators together.
    auto reply = deployment.sendRequest<SubmitJobReply>(
        0, MessageKind::SubmitJob, SubmitJobRequest { Deployment::jobOf("j2", 24, 300) });
    BOOST_TEST(nameOf(reply.result) == "impossible");
}

BOOST_AUTO_TEST_CASE(A_running_gang_continues_when_its_owner_stops, *boost::unit_test::label("integration"))
{
    Deployment deployment(4, 3);
    auto owner = deployment.submit(Deployment::jobOf("j1", 16, 9000), Millis { 10000 });
    BOOST_REQUIRE(owner >= 0);
    deployment.waitFor(owner, { "dc.j1" }, JobState::Running, Millis { 5000 });
    auto stoppedAt = now();
    deployment.processes[static_cast<std::size_t>(owner)].reset();
    auto successor = deployment.submit(Deployment::jobOf("j2", 8, 100), Millis { 15000 });
    auto outage = elapsed(stoppedAt, now());
    BOOST_REQUIRE(successor >= 0);
    std::cerr << "time without service after the owner stopped: " << outage.count() << " ms\n";
    BOOST_TEST(outage.count() < 5000);
    deployment.waitFor(successor, { "dc.j2" }, JobState::Finished, Millis { 10000 });
    auto view = deployment.waitFor(successor, { "dc.j1" }, JobState::Finished, Millis { 20000 });
    BOOST_TEST(nameOf(view.state) == "finished");
    // Each part of the two jobs ran once: the successor took the gang over and did not start it again.
    std::size_t runs = 0;
    for (const auto& worker : deployment.fleet->workers())
        runs += worker->runs().size();
    BOOST_TEST(runs == 3U);
}

BOOST_AUTO_TEST_CASE(A_shutdown_hands_the_data_centre_over_to_a_standby, *boost::unit_test::label("integration"))
{
    Deployment deployment(2, 2);
    auto owner = deployment.submit(Deployment::jobOf("j1", 8, 100), Millis { 10000 });
    BOOST_REQUIRE(owner >= 0);
    auto handoverStartedAt = now();
    deployment.processes[static_cast<std::size_t>(owner)]->handOver();
    deployment.processes[static_cast<std::size_t>(owner)].reset();
    auto successor = deployment.submit(Deployment::jobOf("j2", 8, 100), Millis { 10000 });
    auto outage = elapsed(handoverStartedAt, now());
    BOOST_TEST(successor >= 0);
    std::cerr << "time without service after a handover: " << outage.count() << " ms\n";
    BOOST_TEST(outage.count() < 2000);
}

BOOST_AUTO_TEST_CASE(All_wrong_settings_are_reported_at_once, *boost::unit_test::label("settings"))
{
    std::vector<const char*> arguments { "agatevane-scheduler", "--name", "a", "--rpc-listen", "here", "--peer", "b" };
    SchedulerSettings settings;
    std::ostringstream out;
    std::ostringstream err;
    auto code = readSettings(static_cast<int>(arguments.size()), arguments.data(), settings, out, err);
    BOOST_TEST((code == 2));
    for (const char* flag : { "--region", "--rpc-listen", "--peer", "--store" })
        BOOST_TEST(err.str().find(flag) != std::string::npos, flag);
}

// The budget of control traffic is 3 KB/s per node. A change that polls or renews leases once per task would exceed it.
BOOST_AUTO_TEST_CASE(
    A_worker_with_running_tasks_needs_at_most_two_and_a_half_requests_a_second, *boost::unit_test::label("cost"))
{
    Deployment deployment(4, 1);
    for (int i = 0; i < 16; ++i)
        deployment.submit(Deployment::jobOf("j" + std::to_string(i), 2, 60000), Millis { 10000 });
    deployment.waitFor(0, { "dc.j15" }, JobState::Running, Millis { 5000 });
    auto sumWorkerTraffic = [&] {
        std::pair<std::int64_t, std::int64_t> sum;
        for (const auto& worker : deployment.fleet->workers()) {
            auto counters = worker->counters();
            sum.first += counters.at("requests").get<std::int64_t>();
            sum.second += counters.at("bytesIn").get<std::int64_t>() + counters.at("bytesOut").get<std::int64_t>();
        }
        return sum;
    };
    auto countStoreCalls = [&] {
        auto counters = deployment.store->counters();
        return counters.at("reads").get<std::int64_t>() + counters.at("writes").get<std::int64_t>();
    };
    auto before = sumWorkerTraffic();
    auto storeCallsBefore = countStoreCalls();
    constexpr int seconds = 5;
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    auto after = sumWorkerTraffic();
    auto messages = static_cast<double>(after.first - before.first) / (4 * seconds);
    auto bytes = static_cast<double>(after.second - before.second) / (4 * seconds);
    auto calls = static_cast<double>(countStoreCalls() - storeCallsBefore) / seconds;
    std::cerr << "per worker per second: " << messages << " requests, " << bytes
              << " bytes of bodies; store calls/s: " << calls << "\n";
    BOOST_TEST(messages < 2.5);
    BOOST_TEST(bytes < 3000);
    BOOST_TEST(calls < 0.5);
}

#include "agatevane/base/hash.h"
#include "agatevane/http/client.h"
#include "standins/vmlist/vm_list.h"
#include "standins/worker/worker_fleet.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::standin;

namespace {

struct TaskTableFixture {
    TaskTable table { .instance = "i1", .epoch = 0, .accelerators = 8 };
    AttemptId a { "a" };

    CommandStatus prepareAt(std::int64_t at, int accelerators = 8, Epoch epoch = 1)
    {
        return prepare(table, { { "j" }, a, epoch, accelerators, 0, 2, at + 1000 }, at);
    }
    CommandStatus startAt(std::int64_t at, std::int64_t durationMs, std::int64_t leaseUntil, Epoch epoch = 1)
    {
        return standin::start(table, { a, epoch, leaseUntil, durationMs, 0, true, "" }, at);
    }
};

struct RunningFleet {
    WorkerFleet fleet;
    std::unique_ptr<http::Client> client;

    explicit RunningFleet(int count = 1)
        : fleet(settings(count))
    {
        BOOST_REQUIRE(!fleet.start());
        client = std::make_unique<http::Client>(
            http::Endpoint { "127.0.0.1", fleet.workers().front()->port(), false, {} });
    }
    ~RunningFleet() { fleet.stop(); }

    static FleetSettings settings(int count)
    {
        FleetSettings settings;
        settings.worker.dataCentre = { "harju" };
        settings.worker.threads = 4;
        settings.worker.lostAnswerMs = 300;
        settings.worker.callMs = 5;
        settings.count = count;
        return settings;
    }

    http::ClientResult send(const std::string& method, const std::string& path, const std::string& body = "")
    {
        return client->request(method, path, body, now() + Millis(2000));
    }
    http::ClientResult call(const std::string& attempt)
    {
        return send(
            "POST", "/v1/calls", nlohmann::json { { "attempt", attempt }, { "service", "s" }, { "body", "b" } }.dump());
    }
};

} // namespace

// Guards against a fenced owner whose commands still take effect.
BOOST_FIXTURE_TEST_CASE(A_lower_epoch_is_refused_by_every_command, TaskTableFixture, *boost::unit_test::label("tasks"))
{
    BOOST_TEST((prepareAt(0, 8, 5) == CommandStatus::Done));
    BOOST_TEST((startAt(0, 100, 1000, 4) == CommandStatus::StaleEpoch));
    BOOST_TEST((renew(table, { 6, 0, {} }, 0) == CommandStatus::Done));
    for (auto command : { &checkpoint, &standin::stop, &throttle, &forget })
        BOOST_TEST((command(table, { a, 5 }, 0) == CommandStatus::StaleEpoch));
    BOOST_TEST((renew(table, { 5, 5000, { a } }, 0) == CommandStatus::StaleEpoch));
    BOOST_TEST((startAt(0, 100, 1000, 6) == CommandStatus::Done));
}

// Guards against a part that continues to run without its gang after its lease has ended.
BOOST_FIXTURE_TEST_CASE(A_task_is_stopped_at_the_end_of_its_lease, TaskTableFixture, *boost::unit_test::label("tasks"))
{
    prepareAt(0);
    startAt(10, 5000, 1000);
    renew(table, { 1, 1500, { a } }, 900);
    advance(table, 1499);
    BOOST_TEST((table.tasks.at(a).report.state == TaskState::Running));
    checkpoint(table, { a, 1 }, 500 + 900);
    advance(table, 9000);
    const auto& report = table.tasks.at(a).report;
    BOOST_TEST((report.state == TaskState::Stopped));
    BOOST_TEST(report.progressMs == 1490);
    BOOST_TEST(report.checkpointedMs == 0); // The checkpoint was due at the end of the lease, which takes precedence.
    BOOST_TEST(table.runs.at(0).endedMs == 1500);
    BOOST_TEST(acceleratorsUsed(table) == 0);
}

BOOST_FIXTURE_TEST_CASE(
    Reservations_expire_and_limit_the_accelerators_in_use, TaskTableFixture, *boost::unit_test::label("tasks"))
{
    BOOST_TEST((prepareAt(0, 6) == CommandStatus::Done));
    BOOST_TEST((prepareAt(0, 6) == CommandStatus::Done));
    a = { "b" };
    BOOST_TEST((prepareAt(0, 3) == CommandStatus::Full));
    BOOST_TEST((prepareAt(1000, 3) == CommandStatus::Done));
    table.leaving = true;
    a = { "c" };
    BOOST_TEST((prepareAt(1000, 1) == CommandStatus::Leaving));
}

BOOST_FIXTURE_TEST_CASE(
    A_task_finishes_slower_when_throttled_and_is_kept, TaskTableFixture, *boost::unit_test::label("tasks"))
{
    prepareAt(0);
    startAt(0, 1000, 100000);
    throttle(table, { a, 1, 50 }, 500);
    advance(table, 1499);
    BOOST_TEST((table.tasks.at(a).report.state == TaskState::Running));
    BOOST_TEST((forget(table, { a, 1 }, 1499) == CommandStatus::NotPossible));
    advance(table, 200000);
    BOOST_TEST((table.tasks.at(a).report.state == TaskState::Finished));
    BOOST_TEST(table.runs.at(0).endedMs == 1500);
    // A late repeat of the command does not start the task again.
    BOOST_TEST((startAt(200000, 1000, 300000) == CommandStatus::Done));
    BOOST_TEST(table.runs.size() == 1U);
    BOOST_TEST((forget(table, { a, 1 }, 200000) == CommandStatus::Done));
    BOOST_TEST((forget(table, { a, 1 }, 200000) == CommandStatus::Unknown));
}

// Guards against a stand-in that hides a double execution from the tests that check for it.
BOOST_AUTO_TEST_CASE(Each_execution_of_a_call_is_recorded, *boost::unit_test::label("calls"))
{
    RunningFleet running;
    auto& worker = *running.fleet.workers().front();
    auto answer = running.call("a1");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(http::headerOf(answer.headers, "Agatevane-Attempt") == "a1");
    BOOST_TEST(http::headerOf(answer.headers, "Agatevane-Length") == std::to_string(answer.body.size()));
    BOOST_TEST(http::headerOf(answer.headers, "Agatevane-Digest") == digestOf(answer.body));
    running.call("a1");
    BOOST_TEST(worker.executions().size() == 2U);

    worker.setFaults({ .dropNext = 1 });
    BOOST_TEST(running.call("a2").status == 504);
    BOOST_TEST(worker.executions().size() == 3U);
    auto found = running.send("GET", "/v1/calls/a2");
    BOOST_TEST(http::headerOf(found.headers, "Agatevane-Call-State") == "done");
    BOOST_TEST(found.body == answer.body);
}

BOOST_AUTO_TEST_CASE(A_forbidden_attempt_never_runs, *boost::unit_test::label("calls"))
{
    RunningFleet running;
    auto& worker = *running.fleet.workers().front();
    auto state
        = [&](const http::ClientResult& result) { return http::headerOf(result.headers, "Agatevane-Call-State"); };
    BOOST_TEST(state(running.send("GET", "/v1/calls/a1")) == "never_seen");
    BOOST_TEST(state(running.send("POST", "/v1/calls/a1/forbid")) == "forbidden");
    BOOST_TEST(state(running.call("a1")) == "forbidden");
    BOOST_TEST(worker.executions().empty());
    auto instance = http::headerOf(running.send("GET", "/v1/calls/a1").headers, "Agatevane-Instance");
    worker.restart(false);
    auto after = running.send("GET", "/v1/calls/a1");
    BOOST_TEST(state(after) == "never_seen");
    BOOST_TEST(http::headerOf(after.headers, "Agatevane-Instance") != instance);
}

BOOST_AUTO_TEST_CASE(Reports_and_faults_go_through_the_ports, *boost::unit_test::label("fleet"))
{
    RunningFleet running(2);
    http::Client control({ "127.0.0.1", running.fleet.controlPort(), false, {} });
    auto set = control.request("POST", "/control/workers/harju-w0/faults", R"({"leaving":true})", now() + Millis(2000));
    BOOST_TEST(set.status == 200);
    WorkerReport report;
    BOOST_TEST(format(decode(running.send("GET", "/v1/report").body, report)) == "");
    BOOST_TEST(report.leaving);
    BOOST_TEST((report.rack == RackId { "harju-r0" }));
    BOOST_TEST(!running.fleet.workers().back()->report().leaving);
    BOOST_TEST(running.call("a").status == 503);
    BOOST_TEST(control.request("POST", "/control/workers/x/restart", "", now() + Millis(2000)).status == 404);
}

BOOST_AUTO_TEST_CASE(The_list_of_VMs_is_served_after_its_lag, *boost::unit_test::label("vmlist"))
{
    VmListServer server({ .lagMs = 2000 });
    auto start = now();
    server.set({ 1 }, start);
    server.set({ 2 }, start + Millis(500));
    BOOST_TEST(server.listAt(start + Millis(1999)) == nlohmann::json::array());
    BOOST_TEST(server.listAt(start + Millis(2499)) == nlohmann::json({ 1 }));
    BOOST_TEST(server.listAt(start + Millis(2500)) == nlohmann::json({ 2 }));
}

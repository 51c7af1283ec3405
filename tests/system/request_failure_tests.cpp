#include "cluster.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace agatevane;
using namespace agatevane::test;
using nlohmann::json;

namespace {

const std::string callPath = "/v1/services/visitdesk/calls";

http::Headers bookingKey(const std::string& key)
{
    return { { "Idempotency-Key", key } };
}

} // namespace

// Guards against a booking that is made twice when the entry is killed after it has sent the booking to a worker and
// before it answers.
BOOST_AUTO_TEST_CASE(A_booking_runs_once_although_its_entry_is_killed, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    auto& vm = cluster.firstVmIn("harju");
    auto& other = cluster.firstVmIn("tartu");
    const std::string body = R"({"durationMs": 1500, "booking": 7})";
    std::thread caller([&] { cluster.request(vm, "POST", callPath, body, bookingKey("b7")); });
    BOOST_TEST(waitFor([&] { return cluster.workerLog("executions").size() == 1; }, Millis(5000)));
    vm.entry->kill();
    caller.join();

    http::ClientResult answer;
    bool isDone = waitFor(
        [&] {
            answer = cluster.request(other, "POST", callPath, body, bookingKey("b7"));
            return answer.status == 200;
        },
        Millis(30000));
    BOOST_TEST(isDone, answer.status << " " << answer.body);
    BOOST_TEST(cluster.workerLog("executions").size() == 1U);
    auto again = cluster.request(cluster.firstVmIn("parnu"), "POST", callPath, body, bookingKey("b7"));
    BOOST_TEST(again.body == answer.body);
}

// Guards against bookings that run twice when they are repeated at every VM while answers of the store and of workers
// are lost.
BOOST_AUTO_TEST_CASE(Repeated_bookings_run_at_most_once_under_lost_answers, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    cluster.storeControl({ { "loseShare", 0.2 } });
    cluster.workerControl("harju", "all", "faults", { { "dropShare", 0.2 } });
    constexpr int bookings = 12;
    std::vector<std::thread> callers;
    std::atomic<int> refusedAnswers = 0;
    for (int i = 0; i < bookings; ++i) {
        for (auto& vm : cluster.vms()) {
            callers.emplace_back([&cluster, &vm, &refusedAnswers, i] {
                auto body = json { { "booking", i }, { "durationMs", 50 } }.dump();
                auto answer = cluster.request(vm, "POST", callPath, body, bookingKey("key" + std::to_string(i)));
                if (answer.status == 503 || answer.status == 429)
                    ++refusedAnswers;
            });
        }
    }
    for (auto& caller : callers)
        caller.join();
    std::multiset<std::string> executed;
    for (const auto& execution : cluster.workerLog("executions"))
        executed.insert(execution.at("bodyDigest"));
    for (const auto& digest : executed)
        BOOST_TEST(executed.count(digest) == 1U);
    BOOST_TEST_MESSAGE(executed.size() << " of " << bookings << " bookings ran, " << refusedAnswers
                                       << " requests were refused as not run");
}

// Guards against a shutdown that aborts a request in progress.
BOOST_AUTO_TEST_CASE(A_terminated_entry_finishes_its_requests, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    auto& vm = cluster.firstVmIn("harju");
    http::ClientResult answer;
    std::thread caller([&] {
        answer
            = cluster.request(vm, "POST", callPath, R"({"durationMs": 2000})", { { "Agatevane-Idempotent", "true" } });
    });
    BOOST_TEST(waitFor([&] { return !cluster.workerLog("executions").empty(); }, Millis(5000)));
    int code = vm.entry->terminate();
    caller.join();
    BOOST_TEST(code == 0, vm.entry->output());
    BOOST_TEST(!answer.error);
    BOOST_TEST(answer.status == 200);
}

// Guards against new work for a worker that has reported that it is leaving.
BOOST_AUTO_TEST_CASE(A_leaving_worker_gets_no_new_work_after_three_seconds, *boost::unit_test::label("failure"))
{
    Cluster cluster;
    cluster.workerControl("harju", "harju-w0", "faults", { { "leaving", true } });
    usleep(3000000);
    auto before = cluster.workerLog("executions", "harju").size();
    int served = 0;
    for (int i = 0; i < 60; ++i) {
        auto answer = cluster.request(cluster.firstVmIn("harju"), "POST", callPath, R"({"durationMs": 5})",
            { { "Agatevane-Idempotent", "true" } });
        served += answer.status == 200 ? 1 : 0;
    }
    BOOST_TEST(served == 60);
    BOOST_TEST(before == 0U);
    for (const auto& execution : cluster.workerLog("executions", "harju"))
        BOOST_TEST(execution.at("worker").get<std::string>() != "harju-w0");
}

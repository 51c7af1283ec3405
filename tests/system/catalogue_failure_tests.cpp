#include "cluster.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using namespace agatevane::test;
using nlohmann::json;

namespace {

const std::string entryPath = "/v1/catalogue/workspaces/grants";

std::string etagAt(Cluster& cluster, const Vm& vm)
{
    return http::headerOf(cluster.request(vm, "GET", entryPath, "", {}, operatorToken).headers, "ETag");
}

http::ClientResult setWeight(Cluster& cluster, const Vm& vm, double weight, const std::string& etag)
{
    json entry { { "id", "grants" }, { "owner", "grants" }, { "weight", weight } };
    return cluster.request(vm, "PUT", entryPath, entry.dump(), { { "If-Match", etag } }, operatorToken);
}

double weightAt(Cluster& cluster, const Vm& vm)
{
    auto answer = cluster.request(vm, "GET", entryPath, "", {}, operatorToken);
    if (answer.error || answer.status != 200)
        return -1;
    auto body = json::parse(answer.body);
    return body.contains("entry") ? body["entry"].value("weight", 1.0) : body.value("weight", 1.0);
}

bool isAppliedEverywhere(Cluster& cluster, double weight)
{
    for (const auto& vm : cluster.vms()) {
        if (weightAt(cluster, vm) != weight)
            return false;
    }
    return true;
}

} // namespace

// Guards against two operators whose concurrent changes are both accepted, although only one is applied.
BOOST_AUTO_TEST_CASE(Of_two_concurrent_catalogue_changes_one_is_accepted, *boost::unit_test::label("catalogue"))
{
    Cluster cluster;
    for (int round = 0; round < 5; ++round) {
        BOOST_REQUIRE(waitFor(
            [&] {
                auto etag = etagAt(cluster, cluster.vms()[0]);
                return !etag.empty() && etag == etagAt(cluster, cluster.vms()[1]);
            },
            Millis(10000)));
        auto etag = etagAt(cluster, cluster.vms()[0]);
        http::ClientResult answers[2];
        double weights[2] = { 2.0 + round, 100.0 + round };
        std::thread first([&] { answers[0] = setWeight(cluster, cluster.vms()[0], weights[0], etag); });
        std::thread second([&] { answers[1] = setWeight(cluster, cluster.vms()[1], weights[1], etag); });
        first.join();
        second.join();
        auto isAccepted = [](const http::ClientResult& answer) { return answer.status >= 200 && answer.status < 300; };
        BOOST_TEST(isAccepted(answers[0]) != isAccepted(answers[1]), answers[0].body << answers[1].body);
        int winner = isAccepted(answers[0]) ? 0 : 1;
        BOOST_TEST((answers[1 - winner].status == 409 || answers[1 - winner].status == 412));
        BOOST_TEST(waitFor([&] { return isAppliedEverywhere(cluster, weights[winner]); }, Millis(10000)));
    }
}

// Guards against a change that is accepted and then missing on a VM, including when the answer of the store is lost.
BOOST_AUTO_TEST_CASE(An_accepted_change_is_applied_everywhere_within_ten_seconds, *boost::unit_test::label("catalogue"))
{
    Cluster cluster;
    cluster.storeControl({ { "loseNext", 1 } });
    http::ClientResult answer;
    bool isAccepted = waitFor(
        [&] {
            answer = setWeight(cluster, cluster.vms()[0], 7.0, etagAt(cluster, cluster.vms()[0]));
            return answer.status >= 200 && answer.status < 300;
        },
        Millis(30000));
    BOOST_REQUIRE_MESSAGE(isAccepted, answer.status << answer.body);
    auto acceptedAt = now();
    BOOST_TEST(waitFor([&] { return isAppliedEverywhere(cluster, 7.0); }, Millis(10000)));
    BOOST_TEST_MESSAGE("applied everywhere after " << elapsed(acceptedAt, now()).count() << " ms");
    // A restarted VM must not serve an older version.
    cluster.vms()[2].entry->kill();
    cluster.startEntry(cluster.vms()[2]);
    BOOST_TEST(waitFor([&] { return weightAt(cluster, cluster.vms()[2]) == 7.0; }, Millis(10000)));
}

// Guards against a paused VM that accepts work under an outdated catalogue after it resumes.
BOOST_AUTO_TEST_CASE(
    A_paused_entry_accepts_no_work_before_its_catalogue_is_current, *boost::unit_test::label("catalogue"))
{
    Cluster cluster;
    auto& paused = cluster.vms()[1];
    paused.entry->pause();
    json entry { { "id", "installer" }, { "workspace", "installers" }, { "owner", "installers" },
        { "tokenDigest", std::string(64, '0') } };
    auto current = cluster.request(cluster.vms()[0], "GET", "/v1/catalogue/callers/installer", "", {}, operatorToken);
    auto changed = cluster.request(cluster.vms()[0], "PUT", "/v1/catalogue/callers/installer", entry.dump(),
        { { "If-Match", http::headerOf(current.headers, "ETag") } }, operatorToken);
    BOOST_TEST((changed.status == 200 || changed.status == 204), changed.body);
    usleep(11000000);
    paused.entry->resume();
    // The revoked token must be refused at once, either as unknown or because the entry does not accept requests yet.
    for (int i = 0; i < 20; ++i) {
        auto answer = cluster.request(paused, "POST", "/v1/services/visitdesk/calls", "{}",
            { { "Agatevane-Idempotent", "true" } }, callerToken, Millis(2000));
        BOOST_TEST(answer.status != 200, "request " << i);
    }
}

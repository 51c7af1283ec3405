#include "fake_entry.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace agatevane;
using namespace agatevane::admin;

namespace {

constexpr const char* north = "/v1/catalogue/workspaces/north";
constexpr const char* heavier = R"({"id":"north","owner":"north","weight":2})";

} // namespace

BOOST_AUTO_TEST_CASE(A_change_needs_the_current_ETag_of_the_entry, *boost::unit_test::label("catalogue"))
{
    FakeEntry entry;
    auto read = entry.sendRequest("north", "GET", north);
    auto etag = http::headerOf(read.headers, "ETag");
    BOOST_TEST(read.status == 200);
    BOOST_TEST(etag == "\"11\"");
    BOOST_TEST(entry.sendRequest("root", "PUT", north, heavier).status == 428);
    BOOST_TEST(entry.sendRequest("root", "PUT", north, heavier, { { "If-Match", "11" } }).status == 400);
    auto written = entry.sendRequest("root", "PUT", north, heavier, { { "If-Match", etag } });
    BOOST_TEST(written.status == 200);
    BOOST_TEST(http::headerOf(written.headers, "ETag") == "\"13\"");
    // Guards against an operator who overwrites a change without having seen it.
    auto late = entry.sendRequest("root", "PUT", north, R"({"id":"north","weight":9})", { { "If-Match", etag } });
    BOOST_TEST(late.status == 409);
    auto body = nlohmann::json::parse(late.body);
    BOOST_TEST(body["current"]["weight"] == 2);
    BOOST_TEST(body["proposed"]["weight"] == 9);
    BOOST_TEST(http::headerOf(late.headers, "ETag") == "\"13\"");
    BOOST_TEST(entry.sendRequest("root", "DELETE", north, "", { { "If-Match", "\"13\"" } }).status == 200);
    BOOST_TEST(entry.sendRequest("root", "GET", north).status == 404);
}

BOOST_AUTO_TEST_CASE(Only_the_owner_and_operators_change_an_entry, *boost::unit_test::label("access"))
{
    FakeEntry entry;
    http::Headers condition { { "If-Match", "\"11\"" } };
    BOOST_TEST(entry.sendRequest("wrong", "PUT", north, heavier, condition).status == 401);
    BOOST_TEST(entry.sendRequest("south", "PUT", north, heavier, condition).status == 403);
    BOOST_TEST(entry.sendRequest("south", "DELETE", north, "", condition).status == 403);
    // Guards against a partner that raises its own share of the fleet.
    BOOST_TEST(entry.sendRequest("north", "PUT", north, heavier, condition).status == 403);
    http::Headers creation { { "If-None-Match", "*" } };
    auto path = "/v1/catalogue/workspaces/new";
    BOOST_TEST(entry.sendRequest("south", "PUT", path, R"({"id":"new","owner":"south"})", creation).status == 403);
    BOOST_TEST(entry.sendRequest("root", "PUT", path, R"({"id":"new","owner":"south"})", creation).status == 200);
    // Guards against a caller that makes itself an operator.
    auto caller = R"({"id":"north","owner":"north","workspace":"north","isOperator":true})";
    auto result
        = entry.sendRequest("north", "PUT", "/v1/catalogue/callers/north", caller, { { "If-Match", "\"12\"" } });
    BOOST_TEST(result.status == 403);
    BOOST_TEST(entry.sendRequest("north", "POST", "/v1/vms/entry-1/drain").status == 403);
    BOOST_TEST(entry.drainedVm == "");
}

// Guards against an answer that claims more, or less, than is known about the outcome of a change.
BOOST_AUTO_TEST_CASE(The_answer_reports_the_outcome_of_a_change, *boost::unit_test::label("catalogue"))
{
    FakeEntry entry;
    http::Headers condition { { "If-Match", "\"11\"" } };
    entry.findings = { { "/weight", "must be at most 1000" } };
    struct Case {
        ChangeStatus status;
        int expected;
        const char* text;
    };
    for (const auto& each : { Case { ChangeStatus::Invalid, 422, "/weight" },
             Case { ChangeStatus::Unavailable, 503, "nothing was changed" },
             Case { ChangeStatus::Unknown, 504, "\"outcome\":\"unknown\"" } }) {
        entry.forcedStatus = each.status;
        auto answer = entry.sendRequest("root", "PUT", north, heavier, condition);
        BOOST_TEST(answer.status == each.expected);
        BOOST_TEST(answer.body.find(each.text) != std::string::npos, answer.body);
    }
    BOOST_TEST(entry.sendRequest("root", "PUT", north, R"({"id":"other"})", condition).status == 422);
    BOOST_TEST(entry.sendRequest("root", "PUT", north, "{", condition).status == 422);
    BOOST_TEST(entry.sendRequest("root", "GET", "/v1/catalogue/foo/bar").status == 404);
}

BOOST_AUTO_TEST_CASE(Callers_see_their_own_workspace_and_operators_all, *boost::unit_test::label("status"))
{
    FakeEntry entry;
    ShardStatusReply reply;
    reply.status = JobReplyStatus::Found;
    reply.owner = { "scheduler-1" };
    reply.workspaces = { { { "north" }, 10, 8, 4, 2, 0, 0.1 }, { { "south" }, 5, 5, 5, 0, 3, 0.2 } };
    entry.dataCentres = { { { "harju" }, reply }, { { "tartu" }, {} } };
    auto own = nlohmann::json::parse(entry.sendRequest("north", "GET", "/v1/workspaces").body);
    BOOST_REQUIRE(own["workspaces"].size() == 1);
    BOOST_TEST(own["workspaces"][0]["status"] == "reduced");
    BOOST_TEST(own["dataCentresWithoutAnswer"][0] == "tartu");
    BOOST_TEST(
        nlohmann::json::parse(entry.sendRequest("root", "GET", "/v1/workspaces").body)["workspaces"].size() == 2U);
    BOOST_TEST(nlohmann::json::parse(entry.sendRequest("north", "GET", "/v1/owners").body)["owners"].size() == 1U);
    BOOST_TEST(nlohmann::json::parse(entry.sendRequest("north", "GET", "/v1/fleet").body)["dataCentres"].size() == 1U);
    auto members = nlohmann::json::parse(entry.sendRequest("north", "GET", "/v1/members").body);
    BOOST_TEST(members["members"][0]["state"] == "suspected");
    BOOST_TEST(entry.sendRequest("root", "POST", "/v1/vms/entry-1/drain").status == 202);
    BOOST_TEST(entry.sendRequest("root", "POST", "/v1/vms/entry-9/drain").status == 404);
}

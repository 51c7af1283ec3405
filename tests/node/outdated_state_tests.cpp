#include "nodes_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane;
using test::NodesFixture;

namespace {

constexpr int noSuchJob = 500 + static_cast<int>(node::CallStatus::NoSuchJob);
constexpr int notAccepted = 500 + static_cast<int>(node::CallStatus::NotAccepted);
constexpr const char* unknownJob = "00000000000000f1";

//! A node that can't read the second version of the desired state.
struct BehindFixture : NodesFixture {
    BehindFixture()
    {
        behind.decodeDesiredState
            = [decode = translation.decodeDesiredState](const kv::Item& item, Findings& findings) {
                  return item.value.starts_with("2") ? std::nullopt : decode(item, findings);
              };
        addNode("behind", behind);
        BOOST_REQUIRE(waitUntil(Millis(5000), [this] { return readinessOf(members.at("behind")) == 200; }));
    }

    node::Translation behind = test::plainTranslation();
};

} // namespace

// Guards against calls that are decided by a desired state that was replaced long ago.
BOOST_FIXTURE_TEST_CASE(
    A_node_that_stays_behind_a_known_newer_state_refuses_calls, BehindFixture, *boost::unit_test::label("node"))
{
    auto& member = members.at("behind");
    putDesiredState("2");
    BOOST_CHECK_EQUAL(sendRequest(member, "GET", unknownJob), noSuchJob);
    auto bound = member.settings.stateApplyBound;
    BOOST_CHECK(waitUntil(bound, [&] { return readinessOf(member) != 200; }));
    std::string reason;
    BOOST_CHECK_EQUAL(sendRequest(member, "GET", unknownJob, &reason), notAccepted);
    BOOST_CHECK_EQUAL(reason, "the desired state is outdated");
    BOOST_CHECK_EQUAL(readinessOf(*owner()), 200);
    putDesiredState("3");
    BOOST_CHECK(waitUntil(bound, [&] { return readinessOf(member) == 200; }));
    BOOST_CHECK_EQUAL(sendRequest(member, "GET", unknownJob), noSuchJob);
}

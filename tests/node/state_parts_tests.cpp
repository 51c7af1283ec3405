#include "node/state_parts.h"

#include "fakes.h"
#include "node/peer_fetch.h"
#include "simulated_time.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using node::StateAssembly;
using node::StateParts;

namespace {

const auto* const label = "node";
constexpr std::size_t stateBytes = 3 * node::maxPartBytes + 17;

std::string stateOf(char content)
{
    return std::string(stateBytes, content);
}

} // namespace

BOOST_AUTO_TEST_SUITE(state_parts)

// Guards against transfers that begin anew with each version of a series.
BOOST_AUTO_TEST_CASE(A_transfer_goes_on_after_the_source_has_a_later_revision, *boost::unit_test::label(label))
{
    StateParts source;
    StateAssembly assembly;
    source.setCurrent(5, stateOf('a'), now());
    auto first = assembly.nextRequest(3);
    BOOST_REQUIRE(assembly.add(first, source.part(first, now())));
    source.setCurrent(6, stateOf('b'), now());
    while (!assembly.isComplete()) {
        auto request = assembly.nextRequest(3);
        BOOST_REQUIRE(assembly.add(request, source.part(request, now())));
    }
    BOOST_CHECK_EQUAL(assembly.revision(), 5);
    BOOST_CHECK(assembly.bytes() == stateOf('a'));
}

// Guards against a state that is put together from two revisions.
BOOST_AUTO_TEST_CASE(Parts_of_another_revision_are_not_added, *boost::unit_test::label(label))
{
    StateParts one;
    StateParts other;
    one.setCurrent(5, stateOf('a'), now());
    other.setCurrent(6, stateOf('b'), now());
    StateAssembly assembly;
    auto first = assembly.nextRequest(0);
    BOOST_REQUIRE(assembly.add(first, one.part(first, now())));
    auto second = assembly.nextRequest(0);
    BOOST_CHECK(other.part(second, now()).bytes.empty());
    BOOST_CHECK(!assembly.add(second, { 6, stateBytes, std::string(10, 'b') }));
    BOOST_CHECK(!assembly.add(second, { 5, stateBytes, stateOf('a') }));
    BOOST_CHECK(assembly.add(second, one.part(second, now())));
}

BOOST_AUTO_TEST_CASE(A_source_without_a_later_revision_gives_nothing, *boost::unit_test::label(label))
{
    StateParts source;
    BOOST_CHECK(source.part({ 1, 0 }, now()).bytes.empty());
    source.setCurrent(5, stateOf('a'), now());
    BOOST_CHECK(source.part({ 6, 0 }, now()).bytes.empty());
    BOOST_CHECK(source.part({ 5, stateBytes }, now()).bytes.empty());
}

// Guards against parts that are received again after a source has failed.
BOOST_AUTO_TEST_CASE(A_transfer_goes_on_at_another_node_after_a_failure, *boost::unit_test::label(label))
{
    asio::io_context context;
    test::SimulatedTime time(context);
    StateParts source;
    source.setCurrent(5, stateOf('a'), now());
    const net::PeerAddress holder { "127.0.0.1", 1 };
    std::vector<std::uint64_t> offsets;
    std::string received;
    int failures = 0;
    node::PeerFetch fetch(context,
        { [&] { return std::vector<net::PeerAddress> { holder }; },
            [&](const net::PeerAddress&, const node::StatePartRequest& request, Instant, const auto& done) {
                offsets.push_back(request.offset);
                bool isLost = offsets.size() == 2;
                auto part = isLost ? node::StatePart() : source.part(request, now());
                auto timer = std::make_shared<node::Timer>(context);
                timer->arm(Millis(10), [timer, done, part, isLost] {
                    done(isLost ? make_error_code(Errc::Timeout) : std::error_code(), part, part.bytes.size());
                });
            } },
        { [&](kv::Revision, const std::string& bytes) { received = bytes; },
            [&](const node::StateReception&, std::string_view) { ++failures; } });
    fetch.start(4);
    BOOST_CHECK(time.runUntil(Millis(1000), [&] { return !received.empty(); }));
    BOOST_CHECK(received == stateOf('a'));
    BOOST_CHECK_EQUAL(failures, 1);
    std::vector<std::uint64_t> expected { 0, node::maxPartBytes, node::maxPartBytes, 2 * node::maxPartBytes,
        3 * node::maxPartBytes };
    BOOST_CHECK(offsets == expected);
}

// Guards against a node that asks without end where nobody has the state.
BOOST_AUTO_TEST_CASE(A_transfer_ends_where_no_node_has_the_state, *boost::unit_test::label(label))
{
    asio::io_context context;
    test::SimulatedTime time(context);
    int requests = 0;
    node::PeerFetch fetch(context,
        { [] {
             return std::vector<net::PeerAddress>(3, { "127.0.0.1", 1 });
         },
            [&](const net::PeerAddress&, const node::StatePartRequest&, Instant, const auto& done) {
                ++requests;
                done({}, node::StatePart(), 0);
            } },
        { [](kv::Revision, const std::string&) {}, [](const node::StateReception&, std::string_view) {} });
    fetch.start(4);
    BOOST_CHECK(time.runUntil(Millis(2000), [&] { return !fetch.isRunning(); }));
    BOOST_CHECK_LE(requests, 10);
}

BOOST_AUTO_TEST_SUITE_END()

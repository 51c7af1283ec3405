//! How an owner learns of evacuations, with a store in the test's process.
#include "owner_fixture.h"

using namespace agatevane;
using test::StoreFault;

namespace {

constexpr const char* zone = "north";
constexpr const char* key = "evacuations/north";
//! So short that starts are held 1 s after the store was last asked.
constexpr Millis bound { 1500 };

//! An owner with two workers, both in one data centre.
struct EvacuationFixture : test::OwnerFixture {
    EvacuationFixture()
    {
        for (int n = 1; n <= 2; ++n) {
            auto listing = workerModel.listing("w" + std::to_string(n));
            listing.zone = zone;
            list(listing);
        }
        translation.evacuationPrefix = "evacuations/";
        translation.decodeEvacuation = [](const kv::Item& item, Findings&) -> std::optional<std::string> {
            auto name = item.key.substr(std::string_view("evacuations/").size());
            return name.empty() ? std::nullopt : std::optional(name);
        };
    }

    void elect(std::uint32_t tenure)
    {
        owner.reset();
        limits.evacuationBound = bound;
        electOwner(tenure);
    }

    void remove(const std::string& removed) { kvModel.commit({ {}, {}, { removed } }, test::modelTimeMs()); }

    void submitJob(const std::string& id)
    {
        std::optional<node::CallerAnswer> answer;
        submit(id, 100, answer);
        BOOST_REQUIRE(waitUntil(Millis(1000), [&] { return answer.has_value(); }));
    }

    bool startsWithin(Millis limit, std::size_t count = 1)
    {
        return waitUntil(limit, [this, count] { return workerModel.history().size() >= count; });
    }

    bool isEvacuated() const { return owner->fleet().evacuations.byZone.contains(zone); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_feed, EvacuationFixture)

// Guards against a new owner that starts work where its predecessor was asked to start none.
BOOST_AUTO_TEST_CASE(A_new_owner_knows_the_evacuations_before_it_serves, *boost::unit_test::label("node"))
{
    put(key, "{}");
    put("evacuations/", "{}");
    elect(2);
    BOOST_REQUIRE(owner->isReady());
    BOOST_CHECK(isEvacuated());
    BOOST_CHECK_EQUAL(owner->fleet().evacuations.byZone.size(), 1U);
    submitJob("00000000000000e1");
    BOOST_CHECK(!startsWithin(Millis(500)));
    remove(key);
    BOOST_CHECK(startsWithin(Millis(1000)));
}

// Guards against a request that takes effect only with the next owner.
BOOST_AUTO_TEST_CASE(An_owner_hears_of_requests_while_it_serves, *boost::unit_test::label("node"))
{
    elect(2);
    put(key, "{}");
    BOOST_REQUIRE(waitUntil(Millis(300), [this] { return isEvacuated(); }));
    submitJob("00000000000000e2");
    BOOST_CHECK(!startsWithin(Millis(500)));
}

// Guards against starts in a data centre whose evacuation the store has acknowledged without telling the owner.
BOOST_AUTO_TEST_CASE(A_silent_watch_holds_all_starts_until_it_answers, *boost::unit_test::label("node"))
{
    elect(2);
    store.silenceWatches("evacuations/");
    waitUntil(bound, [] { return false; });
    submitJob("00000000000000e3");
    BOOST_CHECK(!startsWithin(Millis(1500)));
    store.silenceWatches({});
    BOOST_CHECK(startsWithin(Millis(3000)));
}

// Guards against starts that wait for a watch which was sent into an outage, although the store answers again.
BOOST_AUTO_TEST_CASE(Requests_are_read_at_once_when_the_ownership_is_confirmed_again, *boost::unit_test::label("node"))
{
    elect(2);
    store.silenceWatches("evacuations/");
    waitUntil(bound, [] { return false; });
    isOwnershipConfirmed = false;
    waitUntil(Millis(300), [] { return false; });
    isOwnershipConfirmed = true;
    submitJob("00000000000000e5");
    BOOST_CHECK(startsWithin(Millis(500)));
}

// Guards against data centres that stay evacuated because the change that took them back is no longer in the store's
// history.
BOOST_AUTO_TEST_CASE(What_a_new_listing_lacks_is_taken_back, *boost::unit_test::label("node"))
{
    put(key, "{}");
    elect(2);
    BOOST_REQUIRE(isEvacuated());
    store.silenceWatches("evacuations/");
    waitUntil(Millis(700), [] { return false; });
    remove(key);
    kvModel.compact();
    store.silenceWatches({});
    BOOST_CHECK(waitUntil(Millis(3000), [this] { return !isEvacuated(); }));
    BOOST_CHECK(owner->fleet().workers.at("w1").takenBackAt != Instant {});
}

// Guards against calls and decisions at deployments whose operators evacuate nothing.
BOOST_AUTO_TEST_CASE(Nothing_is_read_where_the_bound_is_not_set, *boost::unit_test::label("node"))
{
    put(key, "{}");
    owner.reset();
    electOwner(2);
    submitJob("00000000000000e4");
    BOOST_CHECK(startsWithin(Millis(1000)));
    BOOST_CHECK(!store.hasBeenAskedFor("evacuations/"));
    BOOST_CHECK(!owner->evacuationFeed());
}

// Guards against knowledge that seems newer than it is: an answer may have been on its way for long.
BOOST_AUTO_TEST_CASE(Requests_are_known_as_of_the_time_of_the_question, *boost::unit_test::label("node"))
{
    constexpr Millis delay { 300 };
    elect(2);
    store.setDelay(delay);
    // The watch under way began before the delay.
    waitUntil(Millis(600), [] { return false; });
    put(key, "{}");
    BOOST_REQUIRE(waitUntil(Millis(2000), [this] { return isEvacuated(); }));
    BOOST_CHECK(elapsed(owner->evacuationFeed()->follower().knownAsOf(), bootNow()) >= delay);
}

BOOST_AUTO_TEST_SUITE_END()

//! Readings of the store that go on after calls have failed.
#include "owner_fixture.h"

#include "node/prefix_follower.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace agatevane;
using test::modelTimeMs;
using test::StoreFault;

namespace {

constexpr const char* prefix = "followed/";
constexpr Millis watchWait { 200 };

//! A store that keeps its answers to listings and watches until the test gives them.
class HeldStore : public test::FakeStore {
public:
    using FakeStore::FakeStore;

    void list(const std::string&, const TransferLimits&, std::function<void(kv::ReadResult)> done) override
    {
        listings.push_back(std::move(done));
    }
    void watch(const std::string&, kv::Revision after, Millis, const TransferLimits&,
        std::function<void(kv::WatchResult)> done) override
    {
        watchedAfter.push_back(after);
        watches.push_back(std::move(done));
    }

    std::size_t callsUnderWay() const { return listings.size() + watches.size(); }

    template <typename Result> static void giveNext(std::vector<std::function<void(Result)>>& held, Result result)
    {
        auto done = std::move(held.back());
        held.pop_back();
        done(std::move(result));
    }

    std::vector<std::function<void(kv::ReadResult)>> listings;
    std::vector<std::function<void(kv::WatchResult)>> watches;
    std::vector<kv::Revision> watchedAfter;
};

kv::ReadResult listingAsOf(kv::Revision revision)
{
    kv::ReadResult result;
    result.asOf = revision;
    return result;
}

kv::WatchResult failedWatch(Errc error, bool isHistoryCompacted = false)
{
    kv::WatchResult result;
    result.error = error;
    result.isHistoryCompacted = isHistoryCompacted;
    return result;
}

struct FollowerFixture {
    FollowerFixture()
        : held(context, model)
    {
    }

    node::PrefixFollower follow(kv::Store& store)
    {
        return { context, store, prefix, { watchWait },
            { [this](const kv::ReadResult& listed) {
                 keys.clear();
                 for (const auto& item : listed.items)
                     keys.insert(item.key);
             },
                [this](const std::vector<kv::Change>& changes) {
                    for (const auto& change : changes)
                        keys.insert(change.item.key);
                } } };
    }

    bool waitUntil(Millis limit, const std::function<bool()>& condition)
    {
        return test::runUntil(context, limit, condition);
    }

    asio::io_context context;
    standin::KvModel model;
    HeldStore held;
    std::set<std::string> keys;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(prefix_follower, FollowerFixture)

BOOST_AUTO_TEST_CASE(Keys_that_are_written_after_an_outage_are_heard_of, *boost::unit_test::label("node"))
{
    for (auto fault : { StoreFault::Refusing, StoreFault::Unresponsive, StoreFault::RefusesEverySecondCall }) {
        test::FakeStore store(context, model);
        auto follower = follow(store);
        store.setFault(fault);
        follower.start();
        waitUntil(Millis(300), [] { return false; });
        store.setFault(StoreFault::None);
        model.commit({ {}, { { "followed/a", {}, 0 } }, {} }, modelTimeMs());
        BOOST_CHECK(waitUntil(Millis(3000), [this] { return keys.contains("followed/a"); }));
        model.commit({ {}, { { "followed/b", {}, 0 } }, {} }, modelTimeMs());
        BOOST_CHECK(waitUntil(Millis(1000), [this] { return keys.contains("followed/b"); }));
        follower.stop();
        model.commit({ {}, {}, { "followed/a", "followed/b" } }, modelTimeMs());
        keys.clear();
    }
}

// Guards against two calls for the same keys at a time, of which the later answer replaces the newer one.
BOOST_AUTO_TEST_CASE(There_is_one_call_at_a_time, *boost::unit_test::label("node"))
{
    auto follower = follow(held);
    auto next = [this] { return waitUntil(Millis(1000), [this] { return held.callsUnderWay() == 1; }); };
    follower.start();
    BOOST_REQUIRE_EQUAL(held.listings.size(), 1U);
    HeldStore::giveNext(held.listings, { Errc::Refused, {}, 0 });
    BOOST_REQUIRE(next());
    HeldStore::giveNext(held.listings, listingAsOf(5));
    BOOST_REQUIRE(next());
    BOOST_CHECK_EQUAL(held.watchedAfter.back(), 5);
    HeldStore::giveNext(held.watches, failedWatch(Errc::Timeout));
    BOOST_REQUIRE(next());
    BOOST_CHECK_EQUAL(held.watchedAfter.back(), 5);
    HeldStore::giveNext(held.watches, failedWatch(Errc::Refused, true));
    BOOST_REQUIRE(next());
    BOOST_CHECK_EQUAL(held.listings.size(), 1U);
    HeldStore::giveNext(held.listings, listingAsOf(9));
    BOOST_REQUIRE(next());
    BOOST_CHECK_EQUAL(held.watchedAfter.back(), 9);
}

// Guards against a watch that fails in the same way for ever, because its answer is too large or can't be decoded.
BOOST_AUTO_TEST_CASE(A_watch_without_a_usable_answer_is_replaced_by_a_listing, *boost::unit_test::label("node"))
{
    for (auto error : { Errc::TooLarge, Errc::Malformed }) {
        auto follower = follow(held);
        follower.startAfter(3);
        HeldStore::giveNext(held.watches, failedWatch(error));
        BOOST_REQUIRE_EQUAL(held.listings.size(), 1U);
        HeldStore::giveNext(held.listings, listingAsOf(4));
        BOOST_CHECK(waitUntil(Millis(1000), [this] { return held.watches.size() == 1; }));
        follower.stop();
        held.watches.clear();
    }
}

BOOST_AUTO_TEST_CASE(The_time_since_the_last_answer_grows_while_the_store_is_silent, *boost::unit_test::label("node"))
{
    test::FakeStore store(context, model);
    auto follower = follow(store);
    BOOST_CHECK(follower.answerAge(bootNow()) == Millis(0));
    follower.start();
    waitUntil(Millis(600), [] { return false; });
    BOOST_CHECK(follower.answerAge(bootNow()) < Millis(500));
    store.setFault(StoreFault::Unresponsive);
    waitUntil(Millis(900), [] { return false; });
    BOOST_CHECK(follower.answerAge(bootNow()) >= Millis(600));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(takeover_reading, test::OwnerFixture)

// Guards against an owner that never again hears of workers that join or leave: the store had turned it away for a
// second while it loaded, and the late answer to a reading of the load ended the watch of the workers.
BOOST_AUTO_TEST_CASE(An_owner_that_loads_from_a_busy_store_hears_of_workers, *boost::unit_test::label("node"))
{
    constexpr Millis outage { 1000 };
    constexpr Millis afterLateAnswers { 3500 };
    owner.reset();
    store.setFault(StoreFault::RefusesEverySecondCall);
    node::Timer outageEnd(context);
    outageEnd.arm(outage, [this] { store.setFault(StoreFault::None); });
    electOwner(2);
    waitUntil(afterLateAnswers, [] { return false; });
    auto listing = test::sampleWorker(3);
    list(listing);
    BOOST_CHECK(waitUntil(Millis(2000), [this, &listing] { return owner->fleet().workers.contains(listing.id); }));
}

BOOST_AUTO_TEST_SUITE_END()

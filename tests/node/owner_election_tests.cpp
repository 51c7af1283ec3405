#include "fakes.h"

#include "node/owner_election.h"
#include "node/records.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

//! A store that does not answer reads of single keys while `losesReads` is set.
class StoreWithoutReads : public test::FakeStore {
public:
    StoreWithoutReads(asio::io_context& context, standin::KvModel& model)
        : FakeStore(context, model)
        , context_(context)
    {
    }

    void loseReads() { losesReads_ = true; }

    void get(const std::string& key, Instant deadline, std::function<void(kv::ReadResult)> done) override
    {
        if (!losesReads_)
            return FakeStore::get(key, deadline, std::move(done));
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(elapsed(now(), deadline), [timer, done = std::move(done)] {
            kv::ReadResult result;
            result.error = Errc::Timeout;
            done(result);
        });
    }

private:
    asio::io_context& context_;
    bool losesReads_ = false;
};

struct ElectionFixture {
    ElectionFixture()
        : store(context, model)
        , election(context, store, node::OwnerRecord { "a", { "127.0.0.1", 1 }, 0, {} }, Millis(1000), Millis(0),
              { [this](std::uint32_t, kv::Revision revision) { commitRevision = revision; }, [](std::string_view) {},
                  [] {}, [this] { return commitRevision; } })
    {
        election.start();
        BOOST_REQUIRE(runUntil(Millis(3000), [this] { return election.isOwner(); }));
    }

    bool runUntil(Millis limit, const std::function<bool()>& condition)
    {
        return test::runUntil(context, limit, condition);
    }

    bool isConfirmed() { return election.isOwner() && !election.isOwnershipUnconfirmed(); }

    //! Another node becomes the owner, once the owner's key has been removed.
    void electOther()
    {
        auto lease = model.grant(60000, test::modelTimeMs());
        auto result = model.commit(
            { { { node::ownerKey, 0 } },
                { { node::ownerKey, net::encode(node::OwnerRecord { "b", { "127.0.0.1", 2 }, 2, "other" }), lease },
                    { node::commitKey, net::encode(node::CommitRecord { 2, "other" }), 0 } },
                {} },
            test::modelTimeMs());
        BOOST_REQUIRE(!result.error);
    }

    asio::io_context context;
    standin::KvModel model;
    StoreWithoutReads store;
    kv::Revision commitRevision = 0;
    node::OwnerElection election;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(owner_election, ElectionFixture)

BOOST_AUTO_TEST_CASE(An_owner_is_confirmed_while_it_renews_its_lease, *boost::unit_test::label("node"))
{
    BOOST_CHECK(isConfirmed());
    BOOST_CHECK(!runUntil(Millis(2500), [this] { return !isConfirmed(); }));
    store.setFault(test::StoreFault::Unresponsive);
    BOOST_CHECK(runUntil(Millis(2200), [this] { return election.isOwnershipUnconfirmed(); }));
    store.setFault(test::StoreFault::None);
    BOOST_CHECK(runUntil(Millis(3000), [this] { return isConfirmed(); }));
}

// Guards against a replaced owner that denies jobs and extends leases: the renewal of a new lease, which did not hold
// its key, counted as confirmation.
BOOST_AUTO_TEST_CASE(A_lease_that_does_not_hold_the_owner_key_confirms_nothing, *boost::unit_test::label("node"))
{
    store.setFault(test::StoreFault::Unresponsive);
    runUntil(Millis(2200), [] { return false; });
    electOther();
    store.loseReads();
    store.setFault(test::StoreFault::None);
    auto endsBy = election.ownershipEndsBy();
    BOOST_CHECK(!runUntil(Millis(3000), [this] { return isConfirmed(); }));
    BOOST_CHECK(election.ownershipEndsBy() <= endsBy);
}

// Guards against an owner with a lower fencing token than an earlier one, because the commit record can't be read.
BOOST_AUTO_TEST_CASE(A_damaged_commit_record_does_not_restart_the_tenures, *boost::unit_test::label("node"))
{
    auto damage = [this](const char* key) { model.commit({ {}, { { key, "x", 0 } }, {} }, test::modelTimeMs()); };
    std::uint32_t electedTenure = 0;
    test::FakeStore otherStore(context, model);
    node::OwnerElection other(context, otherStore, node::OwnerRecord { "b", { "127.0.0.1", 2 }, 0, {} }, Millis(1000),
        Millis(0),
        { [&](std::uint32_t tenure, kv::Revision) { electedTenure = tenure; }, [](std::string_view) {}, [] {},
            [] { return kv::Revision(0); } });
    election.resign();
    runUntil(Millis(100), [] { return false; });
    damage(node::commitKey);
    other.start();
    BOOST_REQUIRE(runUntil(Millis(3000), [&] { return other.isOwner(); }));
    BOOST_CHECK_EQUAL(electedTenure, 2U);
    // Without any certain tenure nobody becomes the owner.
    other.resign();
    runUntil(Millis(100), [] { return false; });
    damage(node::commitKey);
    damage(node::tenureKey);
    node::OwnerElection third(context, otherStore, node::OwnerRecord { "c", { "127.0.0.1", 3 }, 0, {} }, Millis(1000),
        Millis(0),
        { [](std::uint32_t, kv::Revision) {}, [](std::string_view) {}, [] {}, [] { return kv::Revision(0); } });
    third.start();
    BOOST_CHECK(!runUntil(Millis(2000), [&] { return third.isOwner(); }));
}

BOOST_AUTO_TEST_SUITE_END()

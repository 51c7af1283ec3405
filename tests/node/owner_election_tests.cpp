#include "fakes.h"

#include "agatevane/fleet/leases.h"
#include "node/owner_election.h"
#include "node/records.h"
#include "simulated_time.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

//! A store that does not answer some kinds of calls.
class PartialStore : public test::FakeStore {
public:
    PartialStore(asio::io_context& context, standin::KvModel& model)
        : FakeStore(context, model)
        , context_(context)
    {
    }

    void loseReads() { losesReads_ = true; }
    void delayRenewalAnswers(Millis delay) { renewalDelay_ = delay; }
    Instant lastRenewalAt() const { return lastRenewalAt_; }
    void shortenLeases(Millis longest) { longestLease_ = longest; }
    //! The clock that the store measures leases with is fast: it ends them after this share of their duration.
    void setLeaseShare(double share) { leaseShare_ = share; }
    void refuseLeases() { refusesLeases_ = true; }
    //! Does not answer the next commit that is applied, and calls `executed` after it.
    void loseNextCommitAnswer(std::function<void()> executed)
    {
        losesCommitAnswer_ = true;
        commitExecuted_ = std::move(executed);
    }

    //! Answers commits that are not applied `delay` late.
    void delayCommitErrors(Millis delay) { commitErrorDelay_ = delay; }
    int grants() const { return grants_; }

    //! Calls `executed` after the next commit that is applied, and answers `delay` later.
    void delayNextCommitAnswer(Millis delay, std::function<void()> executed)
    {
        commitAnswerDelay_ = delay;
        commitExecuted_ = std::move(executed);
    }

    void get(const std::string& key, const TransferLimits& limits, std::function<void(kv::ReadResult)> done) override
    {
        if (!losesReads_)
            return FakeStore::get(key, limits, std::move(done));
        answerLater<kv::ReadResult>(elapsed(now(), limits.beginBy), Errc::Timeout, std::move(done));
    }
    void grantLease(Millis ttl, Instant deadline, std::function<void(kv::LeaseResult)> done) override
    {
        if (!refusesLeases_) {
            ++grants_;
            auto granted = std::min(ttl, longestLease_);
            auto lasting = Millis(static_cast<std::int64_t>(static_cast<double>(granted.count()) * leaseShare_));
            return FakeStore::grantLease(lasting, deadline, [granted, done = std::move(done)](kv::LeaseResult result) {
                result.ttl = granted;
                done(result);
            });
        }
        answerLater<kv::LeaseResult>(Millis(2), Errc::Refused, std::move(done));
    }
    void renewLease(kv::LeaseId lease, Instant deadline, std::function<void(kv::LeaseResult)> done) override
    {
        lastRenewalAt_ = bootNow();
        FakeStore::renewLease(lease, deadline, [this, done = std::move(done)](const kv::LeaseResult& result) {
            auto timer = std::make_shared<node::Timer>(context_);
            timer->arm(renewalDelay_, [timer, result, done] { done(result); });
        });
    }
    void commit(const kv::Txn& txn, Instant deadline, std::function<void(kv::TxnResult)> done) override
    {
        FakeStore::commit(txn, deadline, [this, deadline, done = std::move(done)](const kv::TxnResult& result) {
            if (result.error && commitErrorDelay_ != Millis(0))
                return answerAfter(commitErrorDelay_, result, done);
            if (result.error || (!losesCommitAnswer_ && commitAnswerDelay_ == Millis(0)))
                return done(result);
            commitExecuted_();
            if (std::exchange(losesCommitAnswer_, false))
                return answerLater<kv::TxnResult>(elapsed(now(), deadline), Errc::Timeout, done);
            answerAfter(std::exchange(commitAnswerDelay_, Millis(0)), result, done);
        });
    }

private:
    template <typename Result>
    void answerAfter(Millis delay, const Result& result, const std::function<void(Result)>& done)
    {
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(delay, [timer, result, done] { done(result); });
    }

    template <typename Result> void answerLater(Millis delay, Errc error, std::function<void(Result)> done)
    {
        auto timer = std::make_shared<node::Timer>(context_);
        timer->arm(delay, [timer, error, done = std::move(done)] {
            Result result;
            result.error = error;
            done(result);
        });
    }

    asio::io_context& context_;
    Millis renewalDelay_ { 0 };
    Millis longestLease_ = Millis::max();
    double leaseShare_ = 1;
    Instant lastRenewalAt_;
    bool losesReads_ = false;
    bool refusesLeases_ = false;
    bool losesCommitAnswer_ = false;
    Millis commitAnswerDelay_ { 0 };
    Millis commitErrorDelay_ { 0 };
    int grants_ = 0;
    std::function<void()> commitExecuted_;
};

//! One node's part in the election, with its own access to the store.
struct Candidate {
    Candidate(asio::io_context& context, standin::KvModel& model, const std::string& name, int port)
        : store(context, model)
        , election(context, store, node::OwnerRecord { name, { "127.0.0.1", port }, 0, {} }, Millis(1000), Millis(0),
              fleet::maxUnconfirmedOwnership({}),
              { [this](std::uint32_t, kv::Revision revision) { commitRevision = revision; }, [](std::string_view) {},
                  [] {}, [this] { return commitRevision; } })
    {
    }

    bool isConfirmed() const { return election.isOwner() && !election.isOwnershipUnconfirmed(); }

    PartialStore store;
    kv::Revision commitRevision = 0;
    node::OwnerElection election;
};

struct ElectionFixture {
    ElectionFixture()
        : time(context)
        , first(context, model, "a", 1)
        , store(first.store)
        , election(first.election)
    {
        election.start();
        BOOST_REQUIRE(runUntil(Millis(3000), [this] { return election.isOwner(); }));
    }

    bool runUntil(Millis limit, const std::function<bool()>& condition) { return time.runUntil(limit, condition); }

    bool isConfirmed() { return first.isConfirmed(); }

    bool hasOwnerKey() { return !model.get(node::ownerKey, test::modelTimeMs()).items.empty(); }

    //! Asks in each step of time until the owner key's lease has ended.
    bool isConfirmedWithoutKey()
    {
        while (hasOwnerKey())
            time.advance();
        return isConfirmed();
    }

    //! The store ends the lease of the owner key before its time.
    void endOwnerLease()
    {
        auto at = test::modelTimeMs();
        BOOST_REQUIRE(model.endLease(model.get(node::ownerKey, at).items.front().lease, at));
    }

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
    test::SimulatedTime time;
    standin::KvModel model;
    Candidate first;
    PartialStore& store;
    node::OwnerElection& election;
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
    Candidate second(context, model, "b", 2);
    election.resign();
    runUntil(Millis(100), [] { return false; });
    damage(node::commitKey);
    second.election.start();
    BOOST_REQUIRE(runUntil(Millis(3000), [&] { return second.election.isOwner(); }));
    BOOST_CHECK_EQUAL(second.election.owner().record.tenure, 2U);
    // Without any certain tenure nobody becomes the owner.
    second.election.resign();
    runUntil(Millis(100), [] { return false; });
    damage(node::commitKey);
    damage(node::tenureKey);
    Candidate third(context, model, "c", 3);
    third.election.start();
    BOOST_CHECK(!runUntil(Millis(2000), [&] { return third.election.isOwner(); }));
}

// Guards against a task that runs twice: the store ended the owner's lease early, and the earlier owner might give
// leases for longer than its successor waits for workers that it can't reach.
BOOST_AUTO_TEST_CASE(
    A_successor_waits_for_all_leases_of_an_owner_whose_lease_ended_early, *boost::unit_test::label("node"))
{
    fleet::Limits limits;
    auto clockLag = fleet::maxLeaseDuration(limits.leaseDuration) - limits.leaseDuration;
    Candidate second(context, model, "b", 2);
    second.election.start();
    store.setFault(test::StoreFault::Unresponsive);
    endOwnerLease();
    BOOST_REQUIRE(runUntil(Millis(2000), [&] { return second.election.isOwner(); }));
    auto tookOverAt = bootNow();
    BOOST_CHECK(election.isOwner());
    BOOST_CHECK(election.ownershipEndsBy() + clockLag <= tookOverAt + limits.earlierLeaseTimeout);
    // The store may elect the successor at once.
    BOOST_CHECK(election.ownershipEndsBy() + clockLag <= election.confirmedAt() + limits.earlierLeaseTimeout);
}

// Guards against an owner that sends orders to machines, or denies jobs, although the store has told it that its lease
// has ended, and that another node may be the owner.
BOOST_AUTO_TEST_CASE(An_owner_that_knows_of_the_end_of_its_lease_is_not_confirmed, *boost::unit_test::label("node"))
{
    store.refuseLeases();
    BOOST_REQUIRE(isConfirmed());
    endOwnerLease();
    BOOST_CHECK(runUntil(Millis(600), [this] { return !isConfirmed(); }));
}

// Guards against an owner that ends all runs although it holds the owner key: the answer to the commit that restored
// the key was lost, and renewals of the key's lease did not count as confirmation.
BOOST_AUTO_TEST_CASE(An_owner_whose_key_was_restored_without_an_answer_is_confirmed, *boost::unit_test::label("node"))
{
    bool isRestored = false;
    store.loseNextCommitAnswer([&] { isRestored = true; });
    endOwnerLease();
    BOOST_REQUIRE(runUntil(Millis(2000), [&] { return isRestored; }));
    BOOST_CHECK(hasOwnerKey());
    auto endsBy = election.ownershipEndsBy();
    BOOST_CHECK(runUntil(Millis(3000), [&] { return isConfirmed() && election.ownershipEndsBy() > endsBy; }));
    BOOST_CHECK(!runUntil(Millis(2000), [this] { return !isConfirmed(); }));
}

// Guards against an owner that takes itself for confirmed, and does not take part in further elections, although its
// key is gone: the answer to its campaign was lost, and the lease of the key ended before the campaign was repeated.
BOOST_AUTO_TEST_CASE(A_campaign_whose_lease_ended_before_its_answer_wins_nothing, *boost::unit_test::label("node"))
{
    election.resign();
    BOOST_REQUIRE(runUntil(Millis(1000), [this] { return !hasOwnerKey(); }));
    Candidate second(context, model, "b", 2);
    second.store.loseNextCommitAnswer([this] { endOwnerLease(); });
    second.election.start();
    BOOST_REQUIRE(runUntil(Millis(5000), [&] { return second.election.isOwner(); }));
    BOOST_CHECK(hasOwnerKey());
    BOOST_CHECK(!runUntil(Millis(3000), [&] { return second.isConfirmed() && !hasOwnerKey(); }));
    BOOST_CHECK(second.isConfirmed());
}

// Guards against an owner that takes itself for confirmed although its key is gone: the answer to the commit that
// restored the key came after the key's lease had ended again.
BOOST_AUTO_TEST_CASE(A_late_answer_to_a_restored_key_confirms_nothing, *boost::unit_test::label("node"))
{
    store.delayNextCommitAnswer(Millis(800), [this] { endOwnerLease(); });
    endOwnerLease();
    BOOST_REQUIRE(runUntil(Millis(2000), [this] { return !isConfirmed(); }));
    BOOST_CHECK(!runUntil(Millis(3000), [this] { return isConfirmed() && !hasOwnerKey(); }));
    BOOST_CHECK(isConfirmed());
}

// Guards against an owner that forgets its new lease, and restores its key later for it: an attempt to restore the key
// under the lease before had failed because that lease had ended, and its answer was late.
BOOST_AUTO_TEST_CASE(A_late_answer_about_an_ended_lease_ends_no_later_lease, *boost::unit_test::label("node"))
{
    store.delayCommitErrors(Millis(400));
    auto grants = store.grants();
    endOwnerLease();
    BOOST_REQUIRE(runUntil(Millis(2000), [this] { return !isConfirmed(); }));
    BOOST_REQUIRE(runUntil(Millis(3000), [this] { return isConfirmed(); }));
    BOOST_CHECK_EQUAL(store.grants(), grants + 1);
}

// Guards against a second owner: the answer to a campaign came after the key's lease had ended and another node had
// been elected.
BOOST_AUTO_TEST_CASE(A_late_answer_to_a_campaign_wins_nothing, *boost::unit_test::label("node"))
{
    election.resign();
    BOOST_REQUIRE(runUntil(Millis(1000), [this] { return !hasOwnerKey(); }));
    Candidate second(context, model, "b", 2);
    Candidate third(context, model, "c", 3);
    second.store.delayNextCommitAnswer(Millis(900), [&] {
        endOwnerLease();
        third.election.start();
    });
    second.election.start();
    BOOST_REQUIRE(runUntil(Millis(3000), [&] { return third.election.isOwner(); }));
    BOOST_CHECK(!runUntil(Millis(2500), [&] { return second.election.isOwner(); }));
    BOOST_CHECK_EQUAL(second.election.owner().record.name, "c");
}

// Guards against an owner that takes itself for confirmed although its lease has run out: the store granted a shorter
// lease than was requested.
BOOST_AUTO_TEST_CASE(An_owner_is_confirmed_no_longer_than_the_granted_lease, *boost::unit_test::label("node"))
{
    election.resign();
    Candidate second(context, model, "b", 2);
    second.store.shortenLeases(Millis(600));
    second.election.start();
    BOOST_REQUIRE(runUntil(Millis(3000), [&] { return second.isConfirmed(); }));
    BOOST_CHECK(!runUntil(Millis(1500), [&] { return !second.isConfirmed(); }));
    second.store.setFault(test::StoreFault::Unresponsive);
    BOOST_CHECK(!runUntil(Millis(1200), [&] { return !hasOwnerKey() && second.isConfirmed(); }));
}

// Guards against an owner that takes itself for confirmed at the end of its lease, after the store has removed its key:
// the store counts leases in whole milliseconds.
BOOST_AUTO_TEST_CASE(An_owner_is_not_confirmed_in_the_last_millisecond_of_its_lease, *boost::unit_test::label("node"))
{
    for (int round = 0; round < 5; ++round) {
        BOOST_REQUIRE(runUntil(Millis(3000), [&] { return isConfirmed() && hasOwnerKey(); }));
        store.setFault(test::StoreFault::Unresponsive);
        BOOST_CHECK_MESSAGE(!isConfirmedWithoutKey(), "round " << round);
        store.setFault(test::StoreFault::None);
    }
}

// Guards against an owner that takes itself for confirmed after the store has removed its key, because the store's
// clock is faster than its own.
BOOST_AUTO_TEST_CASE(An_owner_counts_its_lease_shorter_than_a_fast_clock_of_the_store, *boost::unit_test::label("node"))
{
    election.resign();
    Candidate second(context, model, "b", 2);
    second.store.setLeaseShare(0.98);
    second.election.start();
    BOOST_REQUIRE(runUntil(Millis(3000), [&] { return second.isConfirmed(); }));
    second.store.setFault(test::StoreFault::Unresponsive);
    BOOST_CHECK(!runUntil(Millis(2000), [&] { return !hasOwnerKey() && second.isConfirmed(); }));
}

// Guards against an owner that takes itself for confirmed for longer than its lease lasts, because the answers to its
// renewals are slow.
BOOST_AUTO_TEST_CASE(An_ownership_is_confirmed_from_when_the_renewal_was_sent, *boost::unit_test::label("node"))
{
    store.delayRenewalAnswers(Millis(300));
    BOOST_REQUIRE(runUntil(Millis(1000), [this] { return store.lastRenewalAt() != Instant {}; }));
    BOOST_CHECK(!runUntil(Millis(2500), [this] { return election.confirmedAt() > store.lastRenewalAt(); }));
    BOOST_CHECK(isConfirmed());
}

// Guards against a node that returns to an earlier owner because a late message names it.
BOOST_AUTO_TEST_CASE(An_older_owner_record_replaces_no_newer_one, *boost::unit_test::label("node"))
{
    auto older = election.owner();
    older.revision -= 1;
    older.record.token = "older";
    election.applyOwnerView(older);
    BOOST_CHECK(election.isOwner());
    BOOST_CHECK_EQUAL(election.owner().record.name, "a");
    BOOST_CHECK(election.owner().record.token != "older");
}

// Guards against leases that outlast a successor's wait after the settings have changed to shorter leases.
BOOST_AUTO_TEST_CASE(The_bound_of_unconfirmed_ownership_follows_lower_settings, *boost::unit_test::label("node"))
{
    auto bound = [this] { return election.ownershipEndsBy() - election.confirmedAt(); };
    election.limitUnconfirmedOwnership(Millis(3000));
    BOOST_CHECK(bound() == Millis(3000));
    election.limitUnconfirmedOwnership(Millis(8000));
    BOOST_CHECK(bound() == Millis(3000));
}

BOOST_AUTO_TEST_SUITE_END()

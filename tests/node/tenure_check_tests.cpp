#include "fakes.h"

#include "node/tenure_check.h"
#include "simulated_time.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;
using node::TenureState;
using test::StoreFault;

namespace {

//! Counts the reads of single keys.
class CountingStore : public test::FakeStore {
public:
    using FakeStore::FakeStore;

    int reads() const { return reads_; }

    void get(const std::string& key, const TransferLimits& limits, std::function<void(kv::ReadResult)> done) override
    {
        ++reads_;
        FakeStore::get(key, limits, std::move(done));
    }

private:
    int reads_ = 0;
};

struct TenureCheckFixture {
    TenureCheckFixture()
        : time(context)
        , store(context, model)
        , check(context, store, 3)
    {
        writeTenure(3);
    }

    void writeTenure(std::uint32_t tenure)
    {
        model.commit({ {}, { { node::commitKey, net::encode(node::CommitRecord { tenure, "token" }), 0 } }, {} },
            test::modelTimeMs());
    }

    void ask(Millis timeout = Millis(2000))
    {
        check.ask(now() + timeout, [this](TenureState state) { answers.push_back(state); });
    }

    bool waitForAnswers(std::size_t count, Millis limit = Millis(2000))
    {
        return time.runUntil(limit, [&] { return answers.size() >= count; });
    }

    asio::io_context context;
    test::SimulatedTime time;
    standin::KvModel model;
    CountingStore store;
    node::TenureCheck check;
    std::vector<TenureState> answers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tenure_check, TenureCheckFixture)

BOOST_AUTO_TEST_CASE(A_tenure_is_current_until_a_later_owner_is_elected, *boost::unit_test::label("node"))
{
    ask();
    BOOST_REQUIRE(waitForAnswers(1));
    writeTenure(4);
    ask();
    BOOST_REQUIRE(waitForAnswers(2));
    BOOST_CHECK(answers == std::vector({ TenureState::Current, TenureState::Replaced }));
}

// Guards against an answer from a read that was sent before the question, and that a later owner's election may follow.
BOOST_AUTO_TEST_CASE(A_question_is_not_answered_by_an_earlier_read, *boost::unit_test::label("node"))
{
    ask();
    writeTenure(4);
    ask();
    ask();
    BOOST_REQUIRE(waitForAnswers(3));
    BOOST_CHECK(answers.back() == TenureState::Replaced);
    BOOST_CHECK_EQUAL(store.reads(), 2);
}

// Guards against a question that is never answered, or only after its caller's deadline.
BOOST_AUTO_TEST_CASE(A_question_is_answered_in_time_although_the_store_is_silent, *boost::unit_test::label("node"))
{
    store.setFault(StoreFault::Unresponsive);
    auto askedAt = now();
    ask(Millis(200));
    BOOST_REQUIRE(waitForAnswers(1));
    BOOST_CHECK(elapsed(askedAt, now()) < Millis(400));
    ask();
    check.stop();
    BOOST_CHECK(answers == std::vector({ TenureState::Unknown, TenureState::Unknown }));
}

BOOST_AUTO_TEST_SUITE_END()

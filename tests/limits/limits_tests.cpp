#include "agatevane/limits/limits.h"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::limits;

namespace {

struct Message {
    bool isReply = false;
    int from = 0;
    int to = 0;
    GrantId id;
    double rate = 0;
    Instant arrives;
};

//! Several VMs with a network that loses, delays and duplicates messages. Each VM reads its own clock.
struct Cluster {
    explicit Cluster(int members, double totalLimit, std::uint64_t seed)
        : random(seed)
        , limit(totalLimit)
    {
        for (int i = 0; i < members; ++i) {
            vms.push_back(makeLimit(limit, members, Instant()));
            // Each clock is at most 0.5 % fast or slow, so two clocks drift apart by at most 1 %.
            drift.push_back(1 + static_cast<double>(uniform(random, -500, 500)) / 100000);
        }
    }

    Instant clockOf(int vm) const
    {
        return Instant() + std::chrono::duration_cast<Instant::duration>((time - Instant()) * drift[vm]);
    }

    void send(Message message)
    {
        auto copies = isLossy ? uniform(random, 0, 3) : 1; // 0: the message is lost; 3: it is duplicated.
        for (int i = 0; i < (copies == 3 ? 2 : std::min<int>(1, copies)); ++i) {
            message.arrives = time + Millis(uniform(random, 0, isLossy && uniform(random, 0, 4) == 0 ? 7000 : 50));
            network.push_back(message);
        }
    }

    void deliver()
    {
        for (std::size_t i = 0; i < network.size();) {
            if (network[i].arrives > time) {
                ++i;
                continue;
            }
            auto message = network[i];
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(i));
            auto clock = clockOf(message.to);
            if (message.isReply) {
                onBorrowReply(vms[message.to], message.id, message.rate, clock);
            } else {
                auto granted = onBorrowRequest(vms[message.to], message.id, message.rate, clock);
                send({ true, message.to, message.from, message.id, granted, {} });
            }
        }
    }

    void borrow(int vm)
    {
        auto clock = clockOf(vm);
        double wanted = rateToBorrow(vms[vm], clock);
        if (wanted <= 0)
            return;
        GrantId id { std::to_string(vm), ++lastNumber };
        registerBorrowRequest(vms[vm], id, clock);
        auto lender = (vm + 1 + lastNumber % (vms.size() - 1)) % vms.size(); // The VM asks its peers in turn.
        send({ false, vm, static_cast<int>(lender), id, wanted, {} });
    }

    double rateSum() const
    {
        double sum = 0;
        for (std::size_t i = 0; i < vms.size(); ++i)
            sum += rateOf(vms[i], clockOf(static_cast<int>(i)));
        return sum;
    }

    Random random;
    double limit;
    Instant time;
    std::vector<Limit> vms;
    std::vector<double> drift;
    std::deque<Message> network;
    std::uint64_t lastNumber = 0;
    bool isLossy = true;
};

} // namespace

// Guards against rates whose sum exceeds the limit when messages are lost, late or duplicated, VMs restart and lose the
// record of what they lent, and clocks drift apart; and against more than limit * (time + burst) admissions in total.
RC_BOOST_PROP(the_sum_of_the_rates_never_exceeds_the_limit, (std::uint64_t seed))
{
    int members = *rc::gen::inRange(2, 9);
    Cluster cluster(members, 80, seed);
    int admitted = 0;
    for (int step = 0; step < 600; ++step) {
        cluster.time += Millis(50);
        cluster.deliver();
        for (int vm = 0; vm < members; ++vm) {
            // The VM with high demand changes every 100 steps.
            int arrivals = (step / 100) % members == vm ? 8 : (uniform(cluster.random, 0, 9) == 0 ? 1 : 0);
            for (int i = 0; i < arrivals; ++i)
                admitted += tryAdmit(cluster.vms[vm], cluster.clockOf(vm)) ? 1 : 0;
            cluster.borrow(vm);
        }
        if (uniform(cluster.random, 0, 150) == 0) {
            auto vm = static_cast<int>(uniform(cluster.random, 0, members - 1));
            cluster.vms[vm] = makeLimit(cluster.limit, members, cluster.clockOf(vm));
        }
        RC_ASSERT(cluster.rateSum() <= cluster.limit * (1 + 1e-9));
        double seconds = std::chrono::duration<double>(cluster.time - Instant()).count();
        RC_ASSERT(admitted <= cluster.limit * (seconds * 1.01 + 1) + 1e-6);
    }
}

// Guards against a fixed split of the limit, which leaves the shares of idle VMs unused.
BOOST_AUTO_TEST_CASE(
    One_busy_VM_gets_most_of_the_limit_while_the_others_are_idle, *boost::unit_test::label("borrowing"))
{
    const int members = 8;
    Cluster cluster(members, 80, 1);
    cluster.isLossy = false;
    cluster.time += Millis(6000);
    int admitted = 0;
    for (int step = 0; step < 400; ++step) { // 20 s with 200 requests/s at one VM.
        cluster.time += Millis(50);
        for (int i = 0; i < 10; ++i)
            admitted += tryAdmit(cluster.vms[0], cluster.clockOf(0)) ? 1 : 0;
        cluster.borrow(0);
        cluster.deliver();
    }
    BOOST_TEST_MESSAGE("admitted/s at one of 8 VMs with a limit of 80/s: " << admitted / 20.0);
    BOOST_TEST(admitted / 20.0 > 40); // A fixed split would admit 10 per second.
}

// Guards against a rate that stays lent for ever after the borrowing VM has failed.
BOOST_AUTO_TEST_CASE(
    A_rate_lent_to_a_failed_VM_returns_at_the_deadline_of_the_grant, *boost::unit_test::label("borrowing"))
{
    Instant start;
    auto lender = makeLimit(80, 8, start);
    auto clock = start + lendTerm;
    BOOST_TEST(onBorrowRequest(lender, { "dead", 1 }, 5, clock) == 5);
    BOOST_TEST(onBorrowRequest(lender, { "dead", 1 }, 5, clock) == 5);
    BOOST_TEST(rateOf(lender, clock) == 5);
    BOOST_TEST(rateOf(lender, clock + lendTerm) == 10);
    update(lender, 80, 7, clock + lendTerm);
    BOOST_TEST(rateOf(lender, clock + lendTerm) == 80.0 / 7);
}

BOOST_AUTO_TEST_CASE(A_late_or_duplicate_reply_changes_nothing, *boost::unit_test::label("borrowing"))
{
    Instant start;
    auto borrower = makeLimit(80, 8, start);
    auto clock = start + lendTerm;
    registerBorrowRequest(borrower, { "me", 1 }, clock);
    onBorrowReply(borrower, { "me", 1 }, 5, clock + Millis(10));
    onBorrowReply(borrower, { "me", 1 }, 5, clock + Millis(20));
    BOOST_TEST(rateOf(borrower, clock + Millis(30)) == 15);
    BOOST_TEST(rateOf(borrower, clock + grantTerm) == 10);
    registerBorrowRequest(borrower, { "me", 2 }, clock);
    onBorrowReply(borrower, { "me", 2 }, 5, clock + grantTerm);
    BOOST_TEST(rateOf(borrower, clock + grantTerm) == 10);
}

#include "agatevane/event_http/byte_budget.h"
#include "agatevane/event_http/client_limits.h"
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::event_http;

namespace {

constexpr std::size_t totalBytes = 40 * 1024 * 1024;
constexpr std::size_t connections = 8;
constexpr std::array audiences { Audience::Callers, Audience::Readiness, Audience::Operators };

//! Sets what one connection holds.
struct Event {
    std::size_t audience = 0;
    std::size_t connection = 0;
    std::size_t bytes = 0;
};

} // namespace

namespace rc {

template <> struct Arbitrary<Event> {
    static Gen<Event> arbitrary()
    {
        return gen::build<Event>(gen::set(&Event::audience, gen::inRange<std::size_t>(0, audiences.size())),
            gen::set(&Event::connection, gen::inRange<std::size_t>(0, connections)),
            gen::set(&Event::bytes, gen::inRange<std::size_t>(0, totalBytes / connections)));
    }
};

} // namespace rc

// Guards against a budget that drifts from what the connections hold, and against one address whose flood puts pressure
// on the clients of another.
RC_BOOST_PROP(A_share_depends_only_on_what_its_own_connections_hold, (const std::vector<Event>& events))
{
    ByteBudget budget(totalBytes);
    std::array<std::array<std::size_t, connections>, audiences.size()> held {};
    for (const auto& event : events) {
        auto& bytes = held.at(event.audience).at(event.connection);
        budget.change(audiences.at(event.audience), bytes, event.bytes);
        bytes = event.bytes;
        for (auto audience : audiences) {
            const auto& own = held.at(static_cast<std::size_t>(audience));
            auto used = std::accumulate(own.begin(), own.end(), std::size_t(0));
            RC_ASSERT(budget.used(audience) == used);
            bool isCritical = used >= criticalBytes(budget.share(audience));
            RC_ASSERT((budget.pressure(audience) == Pressure::Critical) == isCritical);
            RC_ASSERT(!budget.hasRecovered(audience) || budget.pressure(audience) == Pressure::None);
        }
    }
}

// Guards against shares that add up to more than the process may use.
RC_BOOST_PROP(The_shares_are_within_the_budget, ())
{
    auto total = *rc::gen::inRange<std::size_t>(0, std::size_t(1) << 40);
    std::size_t sum = 0;
    for (auto audience : audiences)
        sum += shareOf(audience, total);
    RC_ASSERT(sum <= total);
}

// Guards against a machine of the smallest kind that can't hold its connections and messages, or that closes idle
// connections for their memory.
RC_BOOST_PROP(The_default_limits_fit_each_machine, ())
{
    MachineLimits machine { *rc::gen::inRange<std::size_t>(160, 4096) * 1024 * 1024,
        *rc::gen::inRange<std::size_t>(4096, 65536) };
    Findings findings;
    checkLimits({}, machine, "", findings);
    RC_ASSERT(findings.empty());
    std::size_t sum = 0;
    for (auto audience : audiences)
        sum += serverLimits({}, machine, audience).connections;
    RC_ASSERT(sum <= machine.descriptors / 4);
}

BOOST_AUTO_TEST_CASE(Limits_that_exclude_ordinary_clients_are_reported_together, *boost::unit_test::label("event_http"))
{
    ClientLimits limits;
    limits.headerFields = 1;
    limits.bodyBytes = 4000;
    limits.messageTime = Millis(1000);
    limits.connections = 100000;
    limits.queuedRequests = 0;
    Findings findings;
    checkLimits(limits, { 160 << 20, 4100 }, "", findings);
    BOOST_CHECK_GE(findings.size(), 5U);
}

#include "tests/soak/plan.h"

#include <boost/test/unit_test.hpp>

using namespace agatevane::soak;

// Guards against recorded seeds that inject other faults after fault kinds are added: each seed draws only from the
// kinds that existed when it was recorded.
BOOST_AUTO_TEST_CASE(Plans_of_old_seeds_have_no_newer_kinds)
{
    constexpr std::uint64_t seeds = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        PlanOptions options;
        options.seed = seed;
        options.kinds = originalFaultKindCount;
        for (const auto& fault : makePlan(options))
            BOOST_CHECK_MESSAGE(fault.kind < FaultKind::PeerLinkCut, agatevane::nameOf(fault.kind));
        options.kinds = faultKindCountBeforePartialCuts;
        for (const auto& fault : makePlan(options))
            BOOST_CHECK_MESSAGE(fault.kind < FaultKind::WorkerCutFromNode, agatevane::nameOf(fault.kind));
        options.kinds = faultKindCountBeforeGrowth;
        for (const auto& fault : makePlan(options))
            BOOST_CHECK_MESSAGE(fault.kind < FaultKind::DesiredStateGrown, agatevane::nameOf(fault.kind));
    }
}

#include "agatevane/scheduling/accounts.h"
#include "agatevane/scheduling/start.h"

namespace agatevane::scheduling {

std::vector<Decision> decide(Shard& shard, Instant at)
{
    std::vector<Decision> decisions;
    settle(shard, at);
    FeasibleShapes feasible = feasibleShapes(shard);
    runStartPass(shard, {}, feasible, at, decisions);
    return decisions;
}

} // namespace agatevane::scheduling

#include "agatevane/fleet/guarantees.h"

namespace agatevane::fleet {

void findTenantsWithinGuarantee(Fleet& fleet)
{
    fleet.tenantsWithinGuarantee.clear();
    std::map<std::string, std::int64_t> needs;
    for (const auto& id : fleet.openJobs) {
        const auto& job = fleet.jobs.at(id);
        if (job.policy.priority != 0)
            continue;
        auto& need = needs[job.spec.tenant];
        for (const auto& step : job.spec.steps)
            need += static_cast<std::int64_t>(step.count) * step.need.accelerators;
    }
    for (const auto& [name, need] : needs) {
        const auto* tenant = desired_state::findTenantByName(fleet.desired, name);
        if (tenant && need <= tenant->guaranteedAccelerators)
            fleet.tenantsWithinGuarantee.insert(name);
    }
}

} // namespace agatevane::fleet

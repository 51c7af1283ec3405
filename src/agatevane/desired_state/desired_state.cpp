#include "agatevane/desired_state/desired_state.h"

#include <algorithm>

namespace agatevane::desired_state {

void indexTenantKeys(DesiredState& state)
{
    state.tenantOfKey.clear();
    for (std::size_t index = 0; index < state.tenants.size(); ++index) {
        for (const auto& key : state.tenants[index].keys)
            state.tenantOfKey.emplace(key, index);
    }
}

const Queue* findQueue(const DesiredState& state, std::string_view host, std::string_view path)
{
    host = host.substr(0, host.find(':'));
    const Queue* best = nullptr;
    for (const auto& queue : state.queues) {
        if (queue.host != host || !path.starts_with(queue.prefix))
            continue;
        if (!best || queue.prefix.size() > best->prefix.size())
            best = &queue;
    }
    return best;
}

const Queue* findQueueByName(const DesiredState& state, std::string_view name)
{
    auto found = std::find_if(
        state.queues.begin(), state.queues.end(), [name](const Queue& queue) { return queue.name == name; });
    return found == state.queues.end() ? nullptr : &*found;
}

const Tenant* findTenantByKey(const DesiredState& state, const std::string& key)
{
    auto found = state.tenantOfKey.find(key);
    return found == state.tenantOfKey.end() ? nullptr : &state.tenants[found->second];
}

const Tenant* findTenantByName(const DesiredState& state, std::string_view name)
{
    auto found = std::find_if(
        state.tenants.begin(), state.tenants.end(), [name](const Tenant& tenant) { return tenant.name == name; });
    return found == state.tenants.end() ? nullptr : &*found;
}

} // namespace agatevane::desired_state

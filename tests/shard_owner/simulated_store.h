#pragma once

#include "agatevane/store_call/store_call.h"
#include <algorithm>
#include <map>

namespace agatevane::simulation {

//! The store's reads and conditional writes in memory.
struct SimulatedStore {
    std::map<std::string, StoreValue> values;
    std::int64_t revision = 1;

    StoreReply apply(const StoreCall& call)
    {
        constexpr std::size_t pageSize = 3; // small, so that a replay needs several pages
        StoreReply reply { .id = call.id, .outcome = StoreOutcome::Done, .revision = revision };
        if (call.isRead()) {
            auto first = values.lower_bound(call.readFrom);
            auto last = call.readEnd.empty() ? values.upper_bound(call.readFrom) : values.lower_bound(call.readEnd);
            for (; first != last && reply.values.size() < pageSize; ++first)
                reply.values.push_back(first->second);
            return reply;
        }
        for (const auto& compare : call.compares) {
            auto found = values.find(compare.key);
            if ((found == values.end() ? 0 : found->second.revision) != compare.revision) {
                reply.outcome = StoreOutcome::Conflict;
                return reply;
            }
        }
        reply.revision = ++revision;
        for (const auto& [key, value] : call.puts)
            values[key] = { key, value, revision };
        for (const auto& [first, last] : call.deletes)
            values.erase(values.lower_bound(first), values.lower_bound(last));
        return reply;
    }
};

} // namespace agatevane::simulation

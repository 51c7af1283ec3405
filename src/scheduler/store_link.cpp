#include "scheduler/store_link.h"

namespace agatevane::scheduler {

namespace {

    // The number of values read at once. Journal batches have up to 512 KB each, and a page must fit into one answer.
    constexpr std::int64_t pageSize = 8;

    template <typename T> StoreOutcome failureOf(const store::Result<T>& result)
    {
        return store::hadNoEffect(result.error) ? StoreOutcome::NoEffect : StoreOutcome::Unknown;
    }

    StoreReply read(store::Client& client, const StoreCall& call, Instant deadline)
    {
        store::RangeRequest request { .key = call.readFrom, .rangeEnd = call.readEnd, .limit = pageSize };
        auto result = client.range(request, deadline);
        StoreReply reply { .id = call.id, .outcome = StoreOutcome::Done, .revision = result.revision };
        if (!result.ok()) {
            reply.outcome = failureOf(result);
            return reply;
        }
        for (auto& kv : result.value.kvs)
            reply.values.push_back({ std::move(kv.key), std::move(kv.value), kv.modRevision });
        return reply;
    }

} // namespace

StoreReply callStore(store::Client& client, const StoreCall& call, Instant deadline)
{
    if (call.isRead())
        return read(client, call, deadline);
    store::Txn txn;
    for (const auto& compare : call.compares)
        txn.compares.push_back(store::modifiedAt(compare.key, compare.revision));
    for (const auto& [key, value] : call.puts)
        txn.success.push_back({ store::PutRequest { .key = key, .value = value } });
    for (const auto& [first, last] : call.deletes)
        txn.success.push_back({ store::DeleteRequest { .key = first, .rangeEnd = last } });
    auto result = client.txn(txn, deadline);
    StoreReply reply { .id = call.id, .revision = result.revision };
    if (!result.ok())
        reply.outcome = failureOf(result);
    else
        reply.outcome = result.value.succeeded ? StoreOutcome::Done : StoreOutcome::Conflict;
    return reply;
}

} // namespace agatevane::scheduler

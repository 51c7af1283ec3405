#include "agatevane/claim_store/claim_batch.h"

namespace agatevane {

store::Txn toTxn(const std::vector<ClaimWrite>& batch, store::LeaseId lease)
{
    store::Txn txn;
    for (const auto& [key, write] : batch) {
        store::Txn guarded { .compares = { store::modifiedAt(key, write.expectedRevision) },
            .success = { { store::PutRequest { key, encodeClaim(write.claim), lease } } },
            .failure = { { store::RangeRequest { .key = key } } } };
        txn.success.push_back({ std::move(guarded) });
    }
    return txn;
}

std::vector<ClaimWritten> resultsOf(
    const std::vector<ClaimWrite>& batch, const store::TxnResult& result, store::Revision revision)
{
    std::vector<ClaimWritten> results;
    if (result.results.size() != batch.size())
        return {};
    for (const auto& operation : result.results) {
        const auto* guarded = std::get_if<store::TxnResult>(&operation.result);
        if (!guarded || guarded->results.empty())
            return {};
        if (guarded->succeeded) {
            results.push_back({ WriteOutcome::Written, revision, std::nullopt });
            continue;
        }
        const auto* range = std::get_if<store::RangeResult>(&guarded->results.front().result);
        if (!range)
            return {};
        ClaimWritten written { WriteOutcome::Conflict, 0, std::nullopt };
        if (!range->kvs.empty()) {
            written.revision = range->kvs.front().modRevision;
            written.current = decodeClaim(range->kvs.front().value);
        }
        results.push_back(std::move(written));
    }
    return results;
}

} // namespace agatevane

#include "agatevane/catalogue/freshness.h"

#include <algorithm>

namespace agatevane {

namespace {

    void advanceProof(Freshness& freshness, Instant provenAt)
    {
        freshness.provenAt = std::max(freshness.provenAt.value_or(provenAt), provenAt);
    }

    void clearStatements(Freshness& freshness)
    {
        freshness.statements.clear();
        freshness.knownVms = freshness.listedVms;
    }

} // namespace

void setListedVms(Freshness& freshness, const std::vector<MemberId>& vms)
{
    freshness.listedVms = { vms.begin(), vms.end() };
    freshness.knownVms.insert(vms.begin(), vms.end());
}

void proveByStore(Freshness& freshness, Instant sentAt)
{
    advanceProof(freshness, sentAt);
    clearStatements(freshness);
}

void recordStatement(Freshness& freshness, const MemberId& peer, const PeerStatement& statement)
{
    if (!statement.proofAge) {
        freshness.statements[peer] = statement;
        return;
    }
    // The proof is taken as older by 1 % of its age, since clocks may drift by that much, and by 1 ms for rounding.
    auto provenAt = statement.requestedAt - *statement.proofAge - *statement.proofAge / 100 - Millis(1);
    if (freshness.provenAt && provenAt <= *freshness.provenAt) {
        freshness.statements[peer] = statement;
        return;
    }
    advanceProof(freshness, provenAt);
    // The peer's own proof may come from rule (c). So the earlier statements are kept unless the peer reaches the
    // store.
    if (statement.reachesStore)
        clearStatements(freshness);
    freshness.statements[peer] = statement;
}

bool proveWithoutStore(Freshness& freshness, std::int64_t ownRevision)
{
    std::optional<Instant> earliest;
    if (!freshness.provenAt)
        return false;
    for (const auto& vm : freshness.knownVms) {
        auto found = freshness.statements.find(vm);
        if (found == freshness.statements.end())
            return false;
        const auto& statement = found->second;
        if (statement.reachesStore || statement.revision > ownRevision)
            return false;
        if (freshness.listedVms.contains(vm))
            earliest = std::min(earliest.value_or(statement.requestedAt), statement.requestedAt);
    }
    if (!earliest)
        return false;
    advanceProof(freshness, *earliest);
    return true;
}

std::optional<Millis> proofAge(const Freshness& freshness, Instant at)
{
    if (!freshness.provenAt)
        return std::nullopt;
    return std::max(Millis(0), std::chrono::ceil<Millis>(at - *freshness.provenAt));
}

bool isFresh(const Freshness& freshness, Instant at)
{
    auto age = proofAge(freshness, at);
    return age && *age <= freshnessLimit;
}

} // namespace agatevane

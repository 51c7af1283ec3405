#include "agatevane/catalogue/freshness.h"

#include <algorithm>

namespace agatevane {

namespace {

    void raise(Freshness& freshness, Instant provenAt)
    {
        freshness.provenAt = std::max(freshness.provenAt.value_or(provenAt), provenAt);
    }

    void forgetStatements(Freshness& freshness)
    {
        freshness.statements.clear();
        freshness.known = freshness.listed;
    }

} // namespace

void noteVms(Freshness& freshness, const std::vector<MemberId>& vms)
{
    freshness.listed = { vms.begin(), vms.end() };
    freshness.known.insert(vms.begin(), vms.end());
}

void proveByStore(Freshness& freshness, Instant sentAt)
{
    raise(freshness, sentAt);
    forgetStatements(freshness);
}

void recordStatement(Freshness& freshness, const MemberId& peer, const PeerStatement& statement)
{
    if (!statement.proofAge) {
        freshness.statements[peer] = statement;
        return;
    }
    // Clocks may drift by 1 %.
    auto provenAt = statement.requestedAt - *statement.proofAge - *statement.proofAge / 100 - Millis(1);
    if (freshness.provenAt && provenAt <= *freshness.provenAt) {
        freshness.statements[peer] = statement;
        return;
    }
    raise(freshness, provenAt);
    // A peer's own proof may rest on rule (c), so statements stay unless the peer reaches the store itself.
    if (statement.reachesStore)
        forgetStatements(freshness);
    freshness.statements[peer] = statement;
}

bool proveWithoutStore(Freshness& freshness, std::int64_t ownRevision)
{
    std::optional<Instant> earliest;
    if (!freshness.provenAt)
        return false;
    for (const auto& vm : freshness.known) {
        auto found = freshness.statements.find(vm);
        if (found == freshness.statements.end())
            return false;
        const auto& statement = found->second;
        if (statement.reachesStore || statement.revision > ownRevision)
            return false;
        if (freshness.listed.contains(vm))
            earliest = std::min(earliest.value_or(statement.requestedAt), statement.requestedAt);
    }
    if (!earliest)
        return false;
    raise(freshness, *earliest);
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

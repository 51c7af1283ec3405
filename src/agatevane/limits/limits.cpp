#include "agatevane/limits/limits.h"

#include <algorithm>
#include <cmath>

namespace agatevane::limits {

namespace {

    //! Maximum number of lent grants, of borrowed grants and of unanswered requests. It bounds what a peer that repeats
    //! its requests can make this VM store.
    constexpr std::size_t maxGrants = 256;
    constexpr double demandTimeConstantSeconds = 1; //!< time constant of the demand estimate
    //! Factor by which a VM's rate exceeds its own demand after lending or borrowing, so that its own callers do not
    //! reach the limit immediately.
    constexpr double demandHeadroom = 1.25;
    //! A borrow request without an answer for this long is considered lost, and another peer is asked.
    constexpr Millis replyTimeout { 200 };
    constexpr double borrowThreshold = 0.9; //!< share of its rate in use from which a VM borrows

    double secondsBetween(Instant from, Instant to)
    {
        return std::chrono::duration<double>(to - from).count();
    }

    double rateSumOf(const std::map<GrantId, Grant>& grants, Instant now)
    {
        double sum = 0;
        for (const auto& [id, grant] : grants) {
            if (now < grant.until)
                sum += grant.rate;
        }
        return sum;
    }

    double baseShareOf(const Limit& state)
    {
        return state.limit / std::max(1, state.members);
    }

    double demandAt(const Limit& state, Instant now)
    {
        return state.demand * std::exp(-secondsBetween(state.demandUpdatedAt, now) / demandTimeConstantSeconds);
    }

    double bucketCapacity(const Limit& state, Instant now)
    {
        return rateOf(state, now) * std::chrono::duration<double>(burst).count();
    }

    //! Adds the tokens of the time up to `now` at the current rate. Called before every change of the rate.
    void refill(Limit& state, Instant now)
    {
        if (now <= state.refilledAt)
            return;
        state.tokens += rateOf(state, now) * secondsBetween(state.refilledAt, now);
        state.refilledAt = now;
        state.tokens = std::min(state.tokens, bucketCapacity(state, now));
    }

    //! Removes expired grants one by one in the order of their deadlines, so that the tokens for the time before a
    //! deadline are added at the rate that applied then.
    void expireUntil(Limit& state, Instant now)
    {
        while (true) {
            auto earliest = now;
            bool isDue = false;
            for (const auto* grants : { &state.lent, &state.borrowed }) {
                for (const auto& [id, grant] : *grants) {
                    if (grant.until <= earliest) {
                        earliest = grant.until;
                        isDue = true;
                    }
                }
            }
            if (!isDue)
                return;
            if (earliest > state.refilledAt) {
                auto justBefore = earliest - std::chrono::nanoseconds(1);
                refill(state, justBefore);
                state.refilledAt = earliest;
            }
            auto hasExpired = [earliest](const auto& item) { return item.second.until <= earliest; };
            std::erase_if(state.lent, hasExpired);
            std::erase_if(state.borrowed, hasExpired);
        }
    }

} // namespace

Limit makeLimit(double limit, int members, Instant now)
{
    Limit state;
    state.limit = limit;
    state.members = members;
    state.startedAt = state.refilledAt = state.demandUpdatedAt = now;
    return state;
}

void update(Limit& state, double limit, int members, Instant now)
{
    expire(state, now);
    state.limit = limit;
    state.members = members;
    state.tokens = std::min(state.tokens, bucketCapacity(state, now));
}

double rateOf(const Limit& state, Instant now)
{
    double base = baseShareOf(state);
    if (now < state.startedAt + lendTerm)
        base *= 1 - maxLentShare;
    return std::max(0.0, base - rateSumOf(state.lent, now)) + rateSumOf(state.borrowed, now);
}

bool tryAdmit(Limit& state, Instant now)
{
    expire(state, now);
    state.demand = demandAt(state, now) + 1 / demandTimeConstantSeconds;
    state.demandUpdatedAt = now;
    // The margin absorbs rounding errors in sums of fractions of a token.
    constexpr double wholeToken = 1 - 1e-9;
    if (state.tokens < wholeToken)
        return false;
    state.tokens -= 1;
    return true;
}

void returnToken(Limit& state)
{
    state.tokens += 1;
}

Millis timeUntilToken(const Limit& state, Instant now)
{
    constexpr Millis maxWait { 60000 };
    double rate = rateOf(state, now);
    if (rate <= 0)
        return maxWait;
    auto wait = std::chrono::duration<double>((1 - state.tokens) / rate);
    return std::clamp(std::chrono::ceil<Millis>(wait), Millis(1), maxWait);
}

double rateToBorrow(const Limit& state, Instant now)
{
    double rate = rateOf(state, now);
    double demand = demandAt(state, now);
    auto isRecent = [now](const auto& item) { return now < item.second + replyTimeout; };
    if (demand < rate * borrowThreshold || std::any_of(state.unanswered.begin(), state.unanswered.end(), isRecent))
        return 0;
    return std::min(demand * demandHeadroom - rate, state.limit - rate);
}

void registerBorrowRequest(Limit& state, const GrantId& id, Instant now)
{
    expire(state, now);
    if (state.unanswered.size() < maxGrants)
        state.unanswered.emplace(id, now);
}

double onBorrowRequest(Limit& state, const GrantId& id, double wanted, Instant now)
{
    expire(state, now);
    if (auto known = state.lent.find(id); known != state.lent.end())
        return known->second.rate;
    if (state.lent.size() >= maxGrants || now < state.startedAt + lendTerm)
        return 0;
    double base = baseShareOf(state);
    double lent = rateSumOf(state.lent, now);
    double ownNeed = demandAt(state, now) * demandHeadroom;
    double spare = std::min(base * maxLentShare, base - ownNeed) - lent;
    double rate = std::min(wanted, spare);
    if (!(rate > 0))
        return 0;
    state.lent.emplace(id, Grant { rate, now + lendTerm });
    state.tokens = std::min(state.tokens, bucketCapacity(state, now));
    return rate;
}

void onBorrowReply(Limit& state, const GrantId& id, double granted, Instant now)
{
    expire(state, now);
    auto request = state.unanswered.find(id);
    if (request == state.unanswered.end())
        return;
    auto until = request->second + grantTerm;
    state.unanswered.erase(request);
    if (granted > 0 && now < until && state.borrowed.size() < maxGrants)
        state.borrowed.emplace(id, Grant { granted, until });
}

void expire(Limit& state, Instant now)
{
    expireUntil(state, now);
    refill(state, now);
    std::erase_if(state.unanswered, [now](const auto& item) { return item.second + grantTerm <= now; });
}

} // namespace agatevane::limits

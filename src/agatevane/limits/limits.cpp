#include "agatevane/limits/limits.h"

#include <algorithm>
#include <cmath>

namespace agatevane::limits {

namespace {

    constexpr std::size_t maxGrants = 256; //!< of each kind; bounds what a peer that repeats itself can store
    constexpr double demandSeconds = 1; //!< time constant of the demand estimate
    //! What the lender keeps above its own demand, so that its own callers do not run short at once.
    constexpr double lenderHeadroom = 1.25;
    constexpr Millis patience {
        200
    }; //!< a request unanswered for so long is taken for lost, and another peer is asked
    constexpr double demandTrigger = 0.9; //!< share of the rate in use at which more is asked for

    double secondsBetween(Instant from, Instant to)
    {
        return std::chrono::duration<double>(to - from).count();
    }

    double sumOf(const std::map<GrantId, Grant>& grants, Instant now)
    {
        double sum = 0;
        for (const auto& [id, grant] : grants) {
            if (now < grant.until)
                sum += grant.rate;
        }
        return sum;
    }

    double baseOf(const Limit& state)
    {
        return state.limit / std::max(1, state.members);
    }

    double demandAt(const Limit& state, Instant now)
    {
        return state.demand * std::exp(-secondsBetween(state.demandUpdated, now) / demandSeconds);
    }

    double bucketOf(const Limit& state, Instant now)
    {
        return rateOf(state, now) * std::chrono::duration<double>(burst).count();
    }

    //! Refills up to `now` with the present rate. Called before every change of the rate.
    void refill(Limit& state, Instant now)
    {
        if (now <= state.refilled)
            return;
        state.tokens += rateOf(state, now) * secondsBetween(state.refilled, now);
        state.refilled = now;
        state.tokens = std::min(state.tokens, bucketOf(state, now));
    }

    //! Ends grants one by one in the order of their deadlines, so that tokens for the time before a deadline are
    //! counted with the rate that held then.
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
            if (earliest > state.refilled) {
                auto justBefore = earliest - std::chrono::nanoseconds(1);
                refill(state, justBefore);
                state.refilled = earliest;
            }
            auto isOver = [earliest](const auto& item) { return item.second.until <= earliest; };
            std::erase_if(state.lent, isOver);
            std::erase_if(state.borrowed, isOver);
        }
    }

} // namespace

Limit makeLimit(double limit, int members, Instant now)
{
    Limit state;
    state.limit = limit;
    state.members = members;
    state.startedAt = state.refilled = state.demandUpdated = now;
    return state;
}

void update(Limit& state, double limit, int members, Instant now)
{
    expire(state, now);
    state.limit = limit;
    state.members = members;
    state.tokens = std::min(state.tokens, bucketOf(state, now));
}

double rateOf(const Limit& state, Instant now)
{
    double base = baseOf(state);
    if (now < state.startedAt + lendTerm)
        base *= 1 - maxLentShare;
    return std::max(0.0, base - sumOf(state.lent, now)) + sumOf(state.borrowed, now);
}

bool tryAdmit(Limit& state, Instant now)
{
    expire(state, now);
    state.demand = demandAt(state, now) + 1 / demandSeconds;
    state.demandUpdated = now;
    // The margin absorbs rounding in sums of fractions of a token.
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
    constexpr Millis longest { 60000 };
    double rate = rateOf(state, now);
    if (rate <= 0)
        return longest;
    auto wait = std::chrono::duration<double>((1 - state.tokens) / rate);
    return std::clamp(std::chrono::ceil<Millis>(wait), Millis(1), longest);
}

double rateToBorrow(const Limit& state, Instant now)
{
    double rate = rateOf(state, now);
    double demand = demandAt(state, now);
    auto isFresh = [now](const auto& item) { return now < item.second + patience; };
    if (demand < rate * demandTrigger || std::any_of(state.asked.begin(), state.asked.end(), isFresh))
        return 0;
    return std::min(demand * lenderHeadroom - rate, state.limit - rate);
}

void registerBorrowRequest(Limit& state, const GrantId& id, Instant now)
{
    expire(state, now);
    if (state.asked.size() < maxGrants)
        state.asked.emplace(id, now);
}

double onBorrowRequest(Limit& state, const GrantId& id, double wanted, Instant now)
{
    expire(state, now);
    if (auto known = state.lent.find(id); known != state.lent.end())
        return known->second.rate;
    if (state.lent.size() >= maxGrants || now < state.startedAt + lendTerm)
        return 0;
    double base = baseOf(state);
    double lent = sumOf(state.lent, now);
    double keep = demandAt(state, now) * lenderHeadroom;
    double spare = std::min(base * maxLentShare, base - keep) - lent;
    double rate = std::min(wanted, spare);
    if (!(rate > 0))
        return 0;
    state.lent.emplace(id, Grant { rate, now + lendTerm });
    state.tokens = std::min(state.tokens, bucketOf(state, now));
    return rate;
}

void onBorrowReply(Limit& state, const GrantId& id, double granted, Instant now)
{
    expire(state, now);
    auto asked = state.asked.find(id);
    if (asked == state.asked.end())
        return;
    auto until = asked->second + grantTerm;
    state.asked.erase(asked);
    if (granted > 0 && now < until && state.borrowed.size() < maxGrants)
        state.borrowed.emplace(id, Grant { granted, until });
}

void expire(Limit& state, Instant now)
{
    expireUntil(state, now);
    refill(state, now);
    std::erase_if(state.asked, [now](const auto& item) { return item.second + grantTerm <= now; });
}

} // namespace agatevane::limits

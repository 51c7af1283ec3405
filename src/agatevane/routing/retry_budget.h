#pragma once

#include <algorithm>

namespace agatevane::routing {

//! Limits retries to a share of the requests, so that retries cannot multiply the load on workers that already fail.
class RetryBudget {
public:
    static constexpr double share = 0.1; //!< retries per request
    static constexpr double reserve = 10; //!< retries that can be saved up, for times of little traffic

    void onRequest() { tokens_ = std::min(reserve, tokens_ + share); }

    //! Takes one retry from the budget. Returns false if the budget is used up.
    bool tryRetry()
    {
        constexpr double wholeToken = 1 - 1e-9; // The margin absorbs rounding errors in sums of tenths.
        if (tokens_ < wholeToken)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    double tokens_ = reserve;
};

} // namespace agatevane::routing

#pragma once

#include "agatevane/http/client.h"
#include "load/plan.h"

namespace agatevane::load {

enum class Verdict {
    Done,
    NotRun,
    Unknown, //!< the entry said so
    NoAnswer, //!< the connection to the entry failed
    Wrong //!< an answer that is not whole, is that of another request, or states no outcome
};

} // namespace agatevane::load

template <> struct agatevane::EnumNames<agatevane::load::Verdict> {
    using E = agatevane::load::Verdict;
    static constexpr std::array<std::pair<E, std::string_view>, 5> table { {
        { E::Done, "done" },
        { E::NotRun, "not_run" },
        { E::Unknown, "unknown" },
        { E::NoAnswer, "no_answer" },
        { E::Wrong, "wrong" },
    } };
};

namespace agatevane::load {

struct Judgement {
    Verdict verdict = Verdict::Wrong;
    std::string reason; //!< for Wrong
};

//! Checks the identity and the wholeness of the answer to one call.
Judgement judgeCall(const LoadSettings& settings, const PlannedRequest& request, const http::ClientResult& result);

Judgement judgeJob(const http::ClientResult& result);

} // namespace agatevane::load

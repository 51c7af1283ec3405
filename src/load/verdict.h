#pragma once

#include "agatevane/http/client.h"
#include "load/plan.h"

namespace agatevane::load {

enum class Verdict {
    Done,
    NotRun,
    Unknown, //!< the entry VM answered that the outcome is unknown
    NoAnswer, //!< the connection to the entry VM failed
    Wrong //!< the answer is incomplete, belongs to another request or states no outcome
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
    std::string reason; //!< set only for the verdict Wrong
};

//! Checks that the answer to a call is complete and belongs to that call.
Judgement judgeCall(const LoadSettings& settings, const PlannedRequest& request, const http::ClientResult& result);

Judgement judgeJob(const http::ClientResult& result);

} // namespace agatevane::load

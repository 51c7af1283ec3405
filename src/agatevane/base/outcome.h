#pragma once

#include "agatevane/base/enum_names.h"

namespace agatevane {

//! What is known about an attempt to run something. `NotRun` guarantees that it has never run and never will run
//! under that attempt.
enum class Outcome { Done, NotRun, Unknown };

template <> struct EnumNames<Outcome> {
    static constexpr std::array<std::pair<Outcome, std::string_view>, 3> table { {
        { Outcome::Done, "done" },
        { Outcome::NotRun, "not_run" },
        { Outcome::Unknown, "unknown" },
    } };
};

} // namespace agatevane

#pragma once

#include "agatevane/base/enum_names.h"

namespace agatevane {

//! Urgency of a job or request, most urgent first.
enum class WorkClass { Urgent, Standard, Batch };

template <> struct EnumNames<WorkClass> {
    static constexpr std::array<std::pair<WorkClass, std::string_view>, 3> table { {
        { WorkClass::Urgent, "urgent" },
        { WorkClass::Standard, "standard" },
        { WorkClass::Batch, "batch" },
    } };
};

} // namespace agatevane

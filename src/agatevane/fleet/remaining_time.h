#pragma once

#include "agatevane/fleet/state.h"
#include <optional>

//! Predicts when a run ends.
namespace agatevane::fleet {

//! Time until a run ends by its own pace; nothing until it has done enough of its work to show it.
std::optional<Millis> measuredRemainingTime(const StepSpec& step, const Run& run, Instant at);

//! True if by its own pace the run ends sooner than a stop ordered now would take effect. False again once it has not
//! ended as predicted.
bool endsBeforeStop(const Fleet& fleet, const Run& run, Instant at);

//! A run that is predicted to end, and is not reported to have ended, is believed to end for this long: the report
//! takes as long as a poll.
constexpr Millis endReportAllowance { 300 };

} // namespace agatevane::fleet

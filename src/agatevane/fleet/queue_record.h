#pragma once

#include "agatevane/desired_state/desired_state.h"
#include <optional>
#include <string>
#include <string_view>

//! Durable settings of the queues that have jobs. A version of the desired state may drop a queue while its jobs wait
//! or run; a later owner goes on with them by the settings that were stored with their acceptance.
namespace agatevane::fleet {

constexpr const char* queuePrefix = "agatevane/queue/";

//! Key of a queue's record. Names are of any length, keys are not.
std::string queueKey(const std::string& name);
std::string encodeQueue(const desired_state::Queue& queue);
//! Nothing if the record can't be read.
std::optional<desired_state::Queue> decodeQueue(std::string_view record);

//! Settings of a queue of which nothing is known: no worker serves it, and no failure is the last attempt.
desired_state::Queue unknownQueue(const std::string& name);

} // namespace agatevane::fleet

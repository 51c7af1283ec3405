#pragma once

#include "agatevane/admin/admin.h"
#include <nlohmann/json_fwd.hpp>

namespace agatevane::admin {

//! The caller of the request's bearer token. Otherwise nothing, and `response` is a 401 problem.
std::optional<CallerEntry> authenticate(
    const Functions& functions, const http::Request& request, http::Response& response);

//! Why the caller may not make this change; empty if it may. `before` or `after` is null for a creation or deletion.
std::string refusal(
    const CallerEntry& caller, EntryKind kind, const nlohmann::json& before, const nlohmann::json& after);

} // namespace agatevane::admin

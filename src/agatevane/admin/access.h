#pragma once

#include "agatevane/admin/admin.h"
#include <nlohmann/json_fwd.hpp>

namespace agatevane::admin {

//! Returns the caller to whom the request's bearer token belongs. If there is none, writes a 401 problem to `response`
//! and returns no value.
std::optional<CallerEntry> authenticate(
    const Functions& functions, const http::Request& request, http::Response& response);

//! Returns the reason why the caller may not make this change, or an empty string if the change is allowed. `before` is
//! null for a creation, `after` is null for a deletion.
std::string reasonForRefusal(
    const CallerEntry& caller, EntryKind kind, const nlohmann::json& before, const nlohmann::json& after);

} // namespace agatevane::admin

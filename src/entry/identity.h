#pragma once

#include "agatevane/http/message.h"
#include "entry/catalogue_snapshot.h"
#include <optional>

namespace agatevane::entry {

//! Returns the caller whose bearer token the request carries. For an unknown or missing token, returns nothing and
//! writes a 401 to `response`.
std::optional<CallerEntry> authenticate(
    const http::Request& request, const CatalogueSnapshot& catalogue, http::Response& response);

//! Returns `requested`, or `highest` if that is less urgent.
WorkClass limitClass(WorkClass requested, WorkClass highest);

} // namespace agatevane::entry

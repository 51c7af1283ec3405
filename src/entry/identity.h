#pragma once

#include "agatevane/http/message.h"
#include "entry/catalogue_snapshot.h"
#include <optional>

namespace agatevane::entry {

//! The caller whose bearer token the request carries. Otherwise nothing, and `response` is a 401.
std::optional<CallerEntry> authenticate(
    const http::Request& request, const CatalogueSnapshot& catalogue, http::Response& response);

//! `asked`, or `highest` if that is less urgent.
WorkClass lowerClass(WorkClass asked, WorkClass highest);

} // namespace agatevane::entry

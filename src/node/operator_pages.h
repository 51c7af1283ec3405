#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/upkeep/upkeep.h"
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

//! JSON pages for operators at the metrics address. They have the paths and field names of the product's administration
//! interface, so that agatevanectl can show them.
namespace agatevane::node {

//! Longer lists are cut, so that rendering a page does not block the event loop for long.
constexpr std::size_t maxPageRows = 2000;

//! The owner's state at one instant, from which pages are rendered.
struct FleetView {
    const fleet::Fleet& fleet;
    const upkeep::State* upkeep = nullptr; //!< null: machines take no orders
    std::string owner; //!< name of the node that owns the fleet
    std::int64_t unixMs = 0; //!< the instant on the machine's wall clock
    Instant at; //!< the same instant on the monotonic clock of bootNow()
};

//! Renders the page at `path`, which is "/v1/fleet", "/v1/workspaces", "/v1/workers", "/v1/waves", "/v1/evacuations",
//! "/v1/jobs" or "/v1/jobs/ID". Returns nothing if there is no such page or job.
std::optional<nlohmann::json> operatorPage(const FleetView& view, std::string_view path);

} // namespace agatevane::node

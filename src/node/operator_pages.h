#pragma once

#include "agatevane/fleet/state.h"
#include "agatevane/upkeep/upkeep.h"
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

//! What operators read at the metrics address: pages in JSON with the paths and names of the product's administration
//! interface, so that agatevanectl shows them.
namespace agatevane::node {

//! Most rows of a page, so that a long queue doesn't keep the event loop from its work.
constexpr std::size_t maxPageRows = 2000;

//! What the owner shows of the fleet at one instant.
struct FleetView {
    const fleet::Fleet& fleet;
    const upkeep::State* upkeep = nullptr; //!< null: machines take no orders
    std::string owner;
    std::int64_t unixMs = 0;
    Instant at;
};

//! The page at `path`, which is "/v1/fleet", "/v1/workspaces", "/v1/workers", "/v1/waves", "/v1/jobs" or "/v1/jobs/ID".
//! Nothing if there is no such page or job.
std::optional<nlohmann::json> operatorPage(const FleetView& view, std::string_view path);

} // namespace agatevane::node

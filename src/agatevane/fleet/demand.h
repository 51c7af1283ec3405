#pragma once

#include "agatevane/fleet/model.h"
#include <string>
#include <tuple>

namespace agatevane::fleet {

//! What determines whether tasks can be placed. As long as a round only uses up capacity, a demand that could not
//! be placed once can't be placed later in the round.
struct Demand {
    std::string service;
    std::string label;
    std::string rack;
    bool needsOneRack = false;
    Capacity need;
    std::size_t count = 0;

    auto key() const
    {
        return std::tie(service, label, rack, needsOneRack, need.milliCores, need.memoryMiB, need.accelerators, count);
    }
    bool operator<(const Demand& other) const { return key() < other.key(); }
};

} // namespace agatevane::fleet

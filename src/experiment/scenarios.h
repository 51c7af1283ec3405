#pragma once

#include "simulation.h"
#include <map>

namespace agatevane::experiment {

enum class Candidate { Agatevane, FirstCome, Overtaking };

std::string_view nameOf(Candidate candidate);

//! Named figures of one seed.
using Figures = std::map<std::string, double>;

//! Ordinary load on a fragmented fleet: completion, waits, fragmentation.
Figures runOrdinary(const Setting& setting, Candidate candidate, std::uint64_t seed);

//! Share of the other work's accelerator time that is still completed during a flood of 20 times one class.
Figures runFloods(const Setting& setting, Candidate candidate, std::uint64_t seed);

//! Mean slowdown of the other callers of a workspace beside one that asks for 100 times as much, over that without it.
Figures runLargeCaller(const Setting& setting, Candidate candidate, std::uint64_t seed);

//! Whether a claim of a whole guarantee on a full fleet is met within the reclaim deadline.
Figures runClaim(const Setting& setting, Candidate candidate, std::uint64_t seed);

} // namespace agatevane::experiment

#pragma once

#include "simulation.h"
#include <map>

namespace agatevane::experiment {

//! The schedulers that are compared.
enum class Candidate { Agatevane, FirstCome, Overtaking };

std::string_view nameOf(Candidate candidate);

//! The measurements of one seed, by name.
using Measurements = std::map<std::string, double>;

//! Measures completion times, waiting times and fragmentation under ordinary load on a fleet that starts fragmented.
Measurements runOrdinary(const Setting& setting, Candidate candidate, std::uint64_t seed);

//! Measures the share of the other work that is still completed, by accelerator time, while one class floods the
//! scheduler with 20 times its ordinary arrivals.
Measurements runFloods(const Setting& setting, Candidate candidate, std::uint64_t seed);

//! Measures the mean slowdown of the other callers of a workspace while one caller asks for 100 times as much, divided
//! by their mean slowdown without that caller.
Measurements runLargeCaller(const Setting& setting, Candidate candidate, std::uint64_t seed);

//! Measures whether a workspace that claims its whole guarantee on a full fleet gets it within the reclaim deadline.
Measurements runClaim(const Setting& setting, Candidate candidate, std::uint64_t seed);

} // namespace agatevane::experiment

#pragma once

#include "agatevane/base/hash.h"
#include <random>
#include <string>

namespace agatevane {

using Random = std::mt19937_64;

//! Returns a uniformly distributed integer in [low, high].
inline std::int64_t uniform(Random& random, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(random);
}

//! Returns a generator seeded by the operating system, for programs; tests use a fixed seed instead.
inline Random makeRandom()
{
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device() };
    return Random(seed);
}

//! Returns 32 random hexadecimal digits, which are unique with overwhelming probability.
inline std::string randomToken(Random& random)
{
    return toHex(random()) + toHex(random());
}

} // namespace agatevane

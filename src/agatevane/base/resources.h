#pragma once

#include <cstdint>

namespace agatevane {

//! An amount of the resources of one worker.
struct Resources {
    int accelerators = 0;
    int cores = 0;
    std::int64_t memoryMiB = 0;

    bool operator==(const Resources&) const = default;
};

inline bool fitsWithin(const Resources& need, const Resources& capacity)
{
    return need.accelerators <= capacity.accelerators && need.cores <= capacity.cores
        && need.memoryMiB <= capacity.memoryMiB;
}

inline Resources operator+(const Resources& a, const Resources& b)
{
    return { a.accelerators + b.accelerators, a.cores + b.cores, a.memoryMiB + b.memoryMiB };
}

inline Resources operator-(const Resources& a, const Resources& b)
{
    return { a.accelerators - b.accelerators, a.cores - b.cores, a.memoryMiB - b.memoryMiB };
}

} // namespace agatevane

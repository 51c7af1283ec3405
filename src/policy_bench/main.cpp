#include "policy_bench/benches.h"

#include <cstdio>
#include <cstdlib>

//! Usage: agatevane-policy-bench [seeds]
int main(int argc, char** argv)
{
    auto seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::printf("# seed %llu\n", static_cast<unsigned long long>(seed));
        agatevane::bench::measureRouting(seed);
        agatevane::bench::measureAdmission(seed);
    }
    return 0;
}

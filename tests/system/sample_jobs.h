#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace agatevane::test {

//! A job that takes all eight accelerators of each of its workers in one data centre.
inline nlohmann::json gangJob(int accelerators, std::int64_t expectedSeconds, const std::string& dataCentre = "harju")
{
    return { { "workspace", "installers" }, { "kind", "thermal-scan" }, { "class", "standard" },
        { "accelerators", accelerators }, { "acceleratorsPerWorker", 8 }, { "expectedSeconds", expectedSeconds },
        { "canCheckpoint", true }, { "dataCentre", dataCentre }, { "payload", "" } };
}

} // namespace agatevane::test

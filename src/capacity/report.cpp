#include "capacity/measure.h"
#include <iostream>
namespace agatevane::capacity {
std::string report()
{
    std::string t;
    for (auto* f : { membershipBytes, membershipTick, catalogueApply, catalogueMemory, timelineMemory, timelineRecord,
             metricsRender, rpcCall, httpPoll, reportBytes, reportDecode, renewEncode, journalEncode, journalBytes,
             shardDecide, shardMemory }) {
        auto s = f();
        t = s.name + ": ";
        for (auto& x : s.samples)
            t += std::to_string(x.size) + "=" + std::to_string(x.value) + " ";
        std::cout << t << " slope " << s.line().slope << std::endl;
    }
    return "";
}
}

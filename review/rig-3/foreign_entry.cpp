#include "cases.h"

#include <algorithm>

namespace rig {

namespace {

    constexpr int jobs = 8;
    constexpr int subtasksPerJob = 4;
    constexpr std::int64_t durationMs = 20'000;
    constexpr std::int64_t watchMs = 40'000;

    std::string jobBody()
    {
        Json step { { "count", subtasksPerJob }, { "cpu", 4000 }, { "taskMemoryMb", 1024 },
            { "estimatedMs", durationMs } };
        return Json { { "specification", "ms=" + std::to_string(durationMs) }, { "steps", { step } } }.dump();
    }

} // namespace

int foreignEntry(const CaseOptions& options)
{
    Setting setting(options, { "a", "a", "a", "a" });
    if (!setting.start())
        return couldNotRun;
    constexpr int attempts = 5;
    for (int number = 0; number < jobs; ++number) {
        auto id = ordinaryId(number);
        auto answer = setting.nodes->callWithRetries("POST", targetOf(id), jobBody(), attempts);
        setting.record.note("job " + id + " submitted: " + std::to_string(answer.status));
        if (answer.status != 200)
            return couldNotRun;
    }
    // All subtasks work by now.
    sleepMs(5000);
    if (options.hasTrouble)
        setting.platform.writeForeignEntry();
    auto deadline = steadyMs() + watchMs;
    while (steadyMs() < deadline)
        sleepMs(500);
    auto twice = setting.platform.tasksRunTwiceAtOnce();
    for (const auto& task : twice)
        setting.record.say("two runs of " + task + " at the same time");
    setting.record.say(std::to_string(twice.size()) + " of " + std::to_string(jobs * subtasksPerJob)
        + " subtasks had two runs at the same time; starts in all: " + std::to_string(setting.platform.startCount()));
    return twice.empty() ? ruleHeld : ruleBroken;
}

} // namespace rig

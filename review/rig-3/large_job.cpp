#include "cases.h"

namespace rig {

namespace {

    constexpr int subtasks = 3000;
    constexpr int checkpointBytes = 360;
    constexpr std::int64_t runLimitMs = 30'000;
    constexpr int ordinaryJobs = 10;
    constexpr int stepsPerOrdinaryJob = 3;

    std::string largeJobBody()
    {
        Json job { { "specification", "ms=9000 saves=" + std::to_string(checkpointBytes) },
            { "steps", Json::array() } };
        job["steps"].push_back({ { "count", subtasks }, { "cpu", 100 }, { "taskMemoryMb", 64 }, { "estimatedMs", 9000 },
            { "enableCheckpoints", true } });
        return job.dump();
    }

    //! True if a step of the job has been done for 3 s, the next one has not begun, and at most a few subtasks run.
    bool isIdleThoughUnfinished(Setting& setting, const std::string& id)
    {
        constexpr std::int64_t idleMs = 3000;
        constexpr std::size_t fewSubtasks = 20;
        auto activity = setting.platform.activityOf(id);
        return activity.running == 0 && activity.done > 0 && activity.done < stepsPerOrdinaryJob
            && steadyMs() - activity.lastEndMs > idleMs && setting.platform.runningCount() < fewSubtasks;
    }

    void say(Setting& setting)
    {
        setting.record.say("ends listed: " + std::to_string(setting.platform.endCount())
            + ", not taken note of: " + std::to_string(setting.platform.endsNotAcknowledged())
            + "; last write to the store " + std::to_string(setting.platform.msSinceCommit())
            + " ms ago; writes that the store refused: " + std::to_string(setting.platform.oversizedTxns())
            + ", with a value of " + std::to_string(setting.platform.largestRefusedValue()) + " bytes");
    }

} // namespace

int largeJob(const CaseOptions& options)
{
    Setting setting(options, { "a", "a", "a", "a" });
    if (!setting.start())
        return couldNotRun;
    for (int number = 0; number < ordinaryJobs; ++number) {
        if (!setting.submitOrdinary(number, "ms=8000", stepsPerOrdinaryJob))
            return couldNotRun;
    }
    if (options.hasTrouble) {
        auto body = largeJobBody();
        auto answer = setting.nodes->callWithRetries("POST", targetOf(troubleId(0)), body, 5);
        setting.record.say("a job of " + std::to_string(subtasks) + " subtasks, " + std::to_string(body.size())
            + " bytes: " + std::to_string(answer.status));
        if (answer.status != 200)
            return couldNotRun;
    }
    setting.record.say("the end of the traffic");
    auto deadline = steadyMs() + runLimitMs;
    while (steadyMs() < deadline) {
        sleepMs(2000);
        say(setting);
    }
    // 24 s of work have been done, or could have been.
    sleepMs(finishMs);
    int idle = 0;
    for (const auto& id : setting.ordinaryJobs)
        idle += isIdleThoughUnfinished(setting, id) ? 1 : 0;
    setting.record.say(std::to_string(idle) + " of " + std::to_string(ordinaryJobs)
        + " accepted ordinary jobs have nothing running for 3 s though the turn of a subtask has come");
    auto unacknowledged = setting.cancelOrdinaryJobs();
    say(setting);
    setting.record.say(std::to_string(unacknowledged) + " of " + std::to_string(ordinaryJobs)
        + " cancellations of ordinary jobs have no 2xx or 410 after " + std::to_string(ackTimeoutMs) + " ms");
    return idle > 0 || (unacknowledged >= 3 && unacknowledged * 10 > ordinaryJobs) ? ruleBroken : ruleHeld;
}

} // namespace rig

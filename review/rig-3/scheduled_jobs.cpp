#include "cases.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <thread>

namespace rig {

namespace {

    constexpr int stepsPerJob = 256;
    constexpr int repetitions = 78;
    constexpr int clients = 4;
    constexpr int attemptsPerQuestion = 5;

    //! The jobs that make the trouble.
    struct Flood {
        int jobs = 0;
        std::int64_t firstRunInMs = 0;
        std::int64_t intervalMs = 0;
        Json step;
    };

    //! A job of many short fields: `stepsPerJob` steps, `repetitions` times.
    std::string jobOfManyFields(const Flood& flood)
    {
        Json job { { "specification", "ms=1000" }, { "steps", Json::array() }, { "repetitions", repetitions },
            { "firstRunMs", unixMs() + flood.firstRunInMs }, { "intervalMs", flood.intervalMs } };
        for (int step = 0; step < stepsPerJob; ++step)
            job["steps"].push_back(flood.step);
        return job.dump();
    }

    //! Clients that each send their share of the jobs, with retries. Returns how many were accepted.
    int sendJobs(Setting& setting, const Flood& flood, std::int64_t endMs)
    {
        std::atomic<int> accepted { 0 };
        std::atomic<int> next { 0 };
        auto body = jobOfManyFields(flood);
        setting.record.say("the clients send " + std::to_string(flood.jobs) + " jobs of " + std::to_string(body.size())
            + " bytes, " + std::to_string(stepsPerJob) + " steps, " + std::to_string(repetitions) + " times");
        std::vector<std::thread> threads;
        for (int client = 0; client < clients; ++client) {
            threads.emplace_back([&] {
                for (int job = next++; job < flood.jobs && steadyMs() < endMs; job = next++) {
                    auto answer = setting.nodes->callWithRetries("POST", targetOf(troubleId(job)), body, 3);
                    accepted += answer.status == 200 ? 1 : 0;
                    setting.record.note("job " + troubleId(job) + " submitted: " + std::to_string(answer.status));
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
        setting.record.say(std::to_string(accepted) + " of these jobs were accepted");
        return accepted;
    }

    //! Asks for all ordinary jobs at once, as their consumers do. Returns how many are not known or get no answer.
    int askForOrdinaryJobs(Setting& setting)
    {
        std::atomic<int> unanswered { 0 };
        std::atomic<int> unfinished { 0 };
        std::vector<std::thread> threads;
        for (const auto& id : setting.ordinaryJobs) {
            threads.emplace_back([&, id] {
                auto state = setting.stateOf(id, attemptsPerQuestion);
                unanswered += state.empty() || state == "410" ? 1 : 0;
                unfinished += state == "queued" || state == "running" ? 1 : 0;
            });
        }
        for (auto& thread : threads)
            thread.join();
        setting.record.say("of " + std::to_string(setting.ordinaryJobs.size()) + " accepted ordinary jobs, "
            + std::to_string(unanswered) + " get no answer and " + std::to_string(unfinished) + " are not completed");
        return unanswered;
    }

    //! Ordinary jobs that have a subtask to run and nothing running for over 3 s, while under half of the workers have
    //! anything to do. Each subtask of the flood takes a whole worker.
    int countIdleOrdinaryJobs(Setting& setting, std::size_t workers)
    {
        constexpr std::int64_t idleMs = 3500;
        constexpr std::int64_t sampleMs = 50;
        std::map<std::string, int> doneBefore;
        for (const auto& id : setting.ordinaryJobs)
            doneBefore[id] = setting.platform.activityOf(id).done;
        std::set<std::string> active;
        std::size_t mostRunning = 0;
        auto endMs = steadyMs() + idleMs;
        while (steadyMs() < endMs) {
            mostRunning = std::max(mostRunning, setting.platform.runningCount());
            for (const auto& id : setting.ordinaryJobs) {
                auto activity = setting.platform.activityOf(id);
                if (activity.running > 0 || activity.done != doneBefore[id] || activity.done >= setting.stepsOf[id])
                    active.insert(id);
            }
            sleepMs(sampleMs);
        }
        auto idle = setting.ordinaryJobs.size() - active.size();
        setting.record.say(std::to_string(idle) + " ordinary jobs have nothing running for " + std::to_string(idleMs)
            + " ms; subtasks that run at most meanwhile: " + std::to_string(mostRunning) + " on "
            + std::to_string(workers) + " workers");
        return 2 * mostRunning < workers ? static_cast<int>(idle) : 0;
    }

    int run(const CaseOptions& options, const Flood& flood, int workers, int ordinaryDuring)
    {
        Setting setting(options, std::vector<std::string>(static_cast<std::size_t>(workers), "a"));
        if (!setting.start())
            return couldNotRun;
        constexpr int ordinaryBefore = 5;
        constexpr std::int64_t sendingTimeMs = 30'000;
        for (int number = 0; number < ordinaryBefore; ++number) {
            if (!setting.submitOrdinary(number, "ms=4000", 5))
                return couldNotRun;
        }
        auto endMs = steadyMs() + sendingTimeMs;
        std::thread sender;
        if (options.hasTrouble)
            sender = std::thread([&] { sendJobs(setting, flood, endMs); });
        for (int number = 0; number < ordinaryDuring; ++number) {
            sleepMs(1500);
            setting.submitOrdinary(ordinaryBefore + number, "ms=1000", 2);
        }
        if (sender.joinable())
            sender.join();
        setting.record.say("the end of the traffic");
        sleepMs(finishMs);
        auto lost = countIdleOrdinaryJobs(setting, static_cast<std::size_t>(workers));
        lost += askForOrdinaryJobs(setting);
        setting.record.say("most memory of a node: " + std::to_string(setting.nodes->mostMemoryMb())
            + " MB; kills for it: " + std::to_string(setting.nodes->memoryKills()) + " on "
            + std::to_string(setting.nodes->machinesWithMemoryKills(1))
            + " machines; other ends: " + std::to_string(setting.nodes->ownEnds())
            + "; highest fencing token: " + std::to_string(setting.platform.highestFencingToken())
            + "; orders with a lower one than the worker has seen: " + std::to_string(setting.platform.fencedOrders()));
        return lost > 0 ? ruleBroken : ruleHeld;
    }

} // namespace

int manyScheduledJobs(const CaseOptions& options)
{
    constexpr std::int64_t hourMs = 3'600'000;
    Flood flood { 120, hourMs, hourMs, { { "count", 1 }, { "cpu", 500 }, { "estimatedMs", 1000 } } };
    constexpr int workers = 4;
    constexpr int ordinaryDuring = 5;
    return run(options, flood, workers, ordinaryDuring);
}

int manyDueJobs(const CaseOptions& options)
{
    Flood flood { 22, 0, 1,
        { { "count", 1 }, { "gpu", 8 }, { "estimatedMs", 1000 }, { "antiAffinity", 1 }, { "affinity", "r1-0" } } };
    constexpr int workers = 48;
    constexpr int ordinaryDuring = 1;
    return run(options, flood, workers, ordinaryDuring);
}

} // namespace rig

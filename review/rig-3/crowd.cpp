#include "cases.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace rig {

namespace {

    constexpr int clientsAtOnce = 600; //!< fewer than the connections that a node admits, 738
    constexpr std::size_t bodyBytes = 262'000; //!< within `maxBodyBytes`
    constexpr int rounds = 4;
    constexpr std::int64_t pauseMs = 3000;

    //! A job with long texts in its steps.
    std::string bodyOfLegalSize()
    {
        constexpr int steps = 5;
        Json job { { "specification", "ms=100" }, { "steps", Json::array() } };
        for (int step = 0; step < steps; ++step)
            job["steps"].push_back({ { "count", 1 }, { "cpu", 100 }, { "image", "" } });
        auto left = bodyBytes - job.dump().size();
        for (auto& step : job["steps"])
            step["image"] = std::string(left / steps, 'x');
        return job.dump();
    }

    //! All clients of the crowd send the same job at once to one node, as if it was repeated.
    void sendAtOnce(Setting& setting, int node, const std::string& id, const std::string& body)
    {
        std::atomic<int> accepted { 0 };
        std::atomic<int> refused { 0 };
        std::vector<std::thread> threads;
        for (int client = 0; client < clientsAtOnce; ++client) {
            threads.emplace_back([&] {
                auto status = setting.nodes->call(node, "POST", targetOf(id), body).status;
                accepted += status == 200 ? 1 : 0;
                refused += status == 429 || status == 503 ? 1 : 0;
            });
        }
        for (auto& thread : threads)
            thread.join();
        setting.record.say(std::to_string(clientsAtOnce) + " clients have sent job " + id + " to node "
            + std::to_string(node) + ": " + std::to_string(accepted) + " accepted, " + std::to_string(refused)
            + " refused, the others without an answer");
    }

} // namespace

int crowd(const CaseOptions& options)
{
    Setting setting(options, { "a", "a", "a", "a" });
    if (!setting.start())
        return couldNotRun;
    constexpr int ordinaryJobs = 5;
    for (int number = 0; number < ordinaryJobs; ++number) {
        if (!setting.submitOrdinary(number, "ms=1000", 3))
            return couldNotRun;
    }
    auto body = bodyOfLegalSize();
    for (int round = 0; round < rounds; ++round) {
        for (int node = 0; node < setting.nodes->size(); ++node) {
            if (options.hasTrouble)
                sendAtOnce(setting, node, troubleId(round), body);
            sleepMs(pauseMs);
        }
    }
    int unanswered = 0;
    constexpr int attempts = 5;
    for (const auto& id : setting.ordinaryJobs)
        unanswered += setting.stateOf(id, attempts) == "completed" ? 0 : 1;
    auto machines = setting.nodes->machinesWithMemoryKills(killsPerMachine);
    setting.record.say("bodies of " + std::to_string(body.size())
        + " bytes; most memory of a node: " + std::to_string(setting.nodes->mostMemoryMb()) + " MB; kills for it: "
        + std::to_string(setting.nodes->memoryKills()) + "; machines with " + std::to_string(killsPerMachine)
        + " or more: " + std::to_string(machines) + "; ordinary jobs not completed: " + std::to_string(unanswered));
    return machines >= 2 ? ruleBroken : ruleHeld;
}

} // namespace rig

#include "cases.h"

#include <atomic>
#include <thread>

namespace rig {

namespace {

    constexpr std::size_t bodyBytes = 1'048'500; //!< four times `maxBodyBytes` of the desired state
    constexpr int clients = 6;
    constexpr std::int64_t leadMs = 5000; //!< from the first of these bodies to the cancellations

    //! A job of `bodyBytes` with long texts in all of its steps.
    std::string largeBody()
    {
        constexpr int steps = 16;
        Json job { { "specification", "ms=100" }, { "steps", Json::array() } };
        for (int step = 0; step < steps; ++step)
            job["steps"].push_back({ { "count", 1 }, { "image", "" } });
        auto left = bodyBytes - job.dump().size();
        for (auto& step : job["steps"])
            step["image"] = std::string(left / steps, 'x');
        return job.dump();
    }

} // namespace

int largeBodies(const CaseOptions& options)
{
    Setting setting(options, { "a", "a", "a", "a" });
    if (!setting.start())
        return couldNotRun;
    constexpr int ordinaryJobs = 10;
    for (int number = 0; number < ordinaryJobs; ++number) {
        if (!setting.submitOrdinary(number, "ms=90000", 1))
            return couldNotRun;
    }
    std::atomic<bool> isEnding { false };
    std::atomic<int> nextJob { 0 };
    std::vector<std::thread> threads;
    auto body = largeBody();
    if (options.hasTrouble) {
        setting.record.say(std::to_string(clients) + " clients send bodies of " + std::to_string(body.size())
            + " bytes; maxBodyBytes is 262144");
        for (int client = 0; client < clients; ++client) {
            threads.emplace_back([&, client] {
                sleepMs(client * 130);
                while (!isEnding) {
                    auto id = troubleId(nextJob++);
                    auto answer = setting.nodes->call(client % setting.nodes->size(), "POST", targetOf(id), body);
                    setting.record.note("job " + id + " of " + std::to_string(body.size())
                        + " bytes submitted: " + std::to_string(answer.status));
                }
            });
        }
    }
    sleepMs(leadMs);
    auto unacknowledged = setting.cancelOrdinaryJobs();
    isEnding = true;
    for (auto& thread : threads)
        thread.join();
    setting.record.say(std::to_string(unacknowledged) + " of " + std::to_string(ordinaryJobs)
        + " cancellations have no 2xx or 410 after " + std::to_string(ackTimeoutMs) + " ms; the store refused "
        + std::to_string(setting.platform.oversizedTxns()) + " transactions with a value of "
        + std::to_string(setting.platform.largestRefusedValue()) + " bytes");
    return unacknowledged >= 3 && unacknowledged * 10 > ordinaryJobs ? ruleBroken : ruleHeld;
}

} // namespace rig

#include "timeline_tool/collect.h"

#include <future>

namespace agatevane::timeline_tool {

namespace {

    //! A ring buffer of events fits in far fewer pages. The limit ends the reading of a process that records events
    //! faster than they are read.
    constexpr int maxPagesPerProcess = 100;

    std::string addressOf(const http::Endpoint& process)
    {
        return process.address + ":" + std::to_string(process.port);
    }

} // namespace

Findings readEvents(const http::Endpoint& process, Instant deadline, std::vector<timeline::Page>& pages)
{
    http::Client client(process);
    std::uint64_t since = 0;
    for (int i = 0; i < maxPagesPerProcess; ++i) {
        auto answer = client.request("GET", "/v1/timeline?since=" + std::to_string(since), "", deadline);
        if (answer.error)
            return { { addressOf(process), answer.error.message() } };
        if (answer.status != 200)
            return { { addressOf(process), "HTTP status " + std::to_string(answer.status) } };
        timeline::Page page;
        if (auto findings = timeline::decode(answer.body, page); !findings.empty())
            return { { addressOf(process),
                "not a timeline: " + findings.front().place + ": " + findings.front().text } };
        if (page.events.empty())
            return {};
        since = page.next;
        pages.push_back(std::move(page));
    }
    return {};
}

Collected collect(const std::vector<http::Endpoint>& processes, Millis timeout)
{
    auto deadline = now() + timeout;
    struct Answer {
        std::vector<timeline::Page> pages;
        Findings findings;
    };
    std::vector<std::future<Answer>> answers;
    answers.reserve(processes.size());
    for (const auto& process : processes) {
        answers.push_back(std::async(std::launch::async, [&process, deadline] {
            Answer answer;
            answer.findings = readEvents(process, deadline, answer.pages);
            return answer;
        }));
    }
    Collected collected;
    for (auto& future : answers) {
        auto answer = future.get();
        std::move(answer.pages.begin(), answer.pages.end(), std::back_inserter(collected.pages));
        std::move(answer.findings.begin(), answer.findings.end(), std::back_inserter(collected.failures));
    }
    return collected;
}

} // namespace agatevane::timeline_tool

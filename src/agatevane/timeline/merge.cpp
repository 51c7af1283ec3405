#include "agatevane/timeline/merge.h"

#include <algorithm>
#include <tuple>

namespace agatevane::timeline {

bool matches(const Filter& filter, const Event& event)
{
    return (filter.job.empty() || filter.job == event.job)
        && (filter.request.empty() || filter.request == event.request)
        && (filter.workspace.empty() || filter.workspace == event.workspace)
        && (filter.dataCentre.empty() || filter.dataCentre == event.dataCentre);
}

std::vector<Event> merge(const std::vector<Page>& pages, const Filter& filter)
{
    std::vector<Event> events;
    for (const auto& page : pages) {
        std::ranges::copy_if(
            page.events, std::back_inserter(events), [&](const Event& event) { return matches(filter, event); });
    }
    auto key = [](const Event& event) { return std::tie(event.clock, event.process, event.sequence); };
    std::ranges::sort(events, {}, key);
    auto isDuplicate = [&](const Event& a, const Event& b) { return key(a) == key(b); };
    events.erase(std::unique(events.begin(), events.end(), isDuplicate), events.end());
    return events;
}

} // namespace agatevane::timeline

#include "timeline_tool/logs.h"

#include <map>
#include <optional>
#include <string_view>

namespace agatevane::timeline_tool {

namespace {

    using event_log::LogLine;
    using event_log::textOf;
    using timeline::EventType;

    std::optional<EventType> typeOfAnsweredCall(const LogLine& line)
    {
        auto isOk = textOf(line, "status") == "ok";
        if (textOf(line, "call") == "submit")
            return isOk ? EventType::JobAccepted : EventType::JobRefused;
        if (textOf(line, "call") == "cancel" && isOk)
            return EventType::JobCancelled;
        return EventType::RequestAnswered;
    }

    std::optional<EventType> typeOf(const LogLine& line)
    {
        static const std::map<std::string_view, EventType> types {
            { "desired_state_applied", EventType::CatalogueApplied },
            { "job_completed", EventType::JobFinished },
            { "job_failed", EventType::JobFailed },
            { "lease_lost", EventType::StoreLost },
            { "commit_unanswered", EventType::StoreLost },
            { "owner_absent", EventType::MemberSuspected },
            { "ownership_gained", EventType::OwnershipTaken },
            { "ownership_lost", EventType::OwnershipLost },
            { "preempted", EventType::JobPreempted },
            { "run_adopted", EventType::JobStarted },
            { "run_ended", EventType::JobStopped },
            { "run_lost", EventType::JobStopped },
            { "run_missing", EventType::JobStopped },
            { "start_ordered", EventType::JobStarted },
            { "started", EventType::ProcessStarted },
            { "stopping", EventType::ProcessStopping },
            { "worker_regained", EventType::WorkerReadmitted },
            { "worker_silent", EventType::WorkerLost },
            { "worker_unlisted", EventType::WorkerLost },
        };
        if (line.event == "call_answered")
            return typeOfAnsweredCall(line);
        if (line.event == "worker_listed" && line.fields.value("draining", false))
            return EventType::WorkerLeaving;
        auto found = types.find(line.event);
        return found == types.end() ? std::nullopt : std::optional(found->second);
    }

    std::string detailOf(const LogLine& line)
    {
        std::string detail = line.event;
        for (const char* field : { "task", "how", "reason", "status", "for" }) {
            if (auto text = textOf(line, field); !text.empty())
                detail += std::string(" ") + field + "=" + text;
        }
        return detail.substr(0, timeline::maxDetailBytes);
    }

} // namespace

std::vector<timeline::Page> pagesFromLogs(const std::vector<event_log::LogLine>& lines)
{
    std::map<std::string, timeline::Page> pages;
    for (const auto& line : lines) {
        auto type = typeOf(line);
        if (!type)
            continue;
        auto& page = pages[line.process];
        page.process = line.process;
        timeline::Event event;
        event.clock = static_cast<std::uint64_t>(std::max<std::int64_t>(0, line.timeMs));
        event.sequence = ++page.next;
        event.process = line.process;
        event.type = *type;
        event.unixMs = line.timeMs;
        event.job = { textOf(line, "job") };
        event.workspace = { textOf(line, "tenant") };
        event.worker = { textOf(line, "worker") };
        event.member = { textOf(line, "owner") };
        event.detail = detailOf(line);
        page.events.push_back(std::move(event));
    }
    std::vector<timeline::Page> result;
    result.reserve(pages.size());
    for (auto& [process, page] : pages)
        result.push_back(std::move(page));
    return result;
}

} // namespace agatevane::timeline_tool

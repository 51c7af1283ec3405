#include "agatevane/http/problem.h"
#include "agatevane/json/reader.h"
#include "agatevane/timeline/ring.h"
#include <charconv>

namespace agatevane::timeline {

namespace {

    constexpr auto optional = json::Presence::Optional;

    nlohmann::json toJson(const Event& event)
    {
        nlohmann::json json { { "clock", event.clock }, { "sequence", event.sequence }, { "type", nameOf(event.type) },
            { "unixMs", event.unixMs } };
        auto add = [&](const char* name, const std::string& value) {
            if (!value.empty())
                json[name] = value;
        };
        add("job", event.job.value);
        add("request", event.request);
        add("workspace", event.workspace.value);
        add("dataCentre", event.dataCentre.value);
        add("worker", event.worker.value);
        add("member", event.member.value);
        add("detail", event.detail);
        return json;
    }

    Event fromJson(const nlohmann::json& value, const std::string& place, Findings& findings)
    {
        Event event;
        json::ObjectReader reader(value, place, findings);
        reader.read("clock", event.clock);
        reader.read("sequence", event.sequence);
        reader.read("type", event.type);
        reader.read("unixMs", event.unixMs);
        reader.read("job", event.job, optional);
        reader.read("request", event.request, optional);
        reader.read("workspace", event.workspace, optional);
        reader.read("dataCentre", event.dataCentre, optional);
        reader.read("worker", event.worker, optional);
        reader.read("member", event.member, optional);
        reader.read("detail", event.detail, optional);
        reader.finish();
        return event;
    }

    //! Returns false if the parameter is given but is not a number; an absent one leaves `value` unchanged.
    template <typename T> bool readParameter(const http::Request& request, const char* name, T& value)
    {
        auto text = http::parameterOf(request, name);
        if (text.empty())
            return true;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::string encode(const Page& page)
{
    nlohmann::json json { { "process", page.process }, { "next", page.next }, { "dropped", page.dropped },
        { "events", nlohmann::json::array() } };
    for (const auto& event : page.events)
        json["events"].push_back(toJson(event));
    return json::dump(json);
}

Findings decode(const std::string& text, Page& page)
{
    Findings findings;
    nlohmann::json value;
    if (!json::parse(text, "timeline", value, findings))
        return findings;
    page = {};
    json::ObjectReader reader(value, "", findings);
    reader.read("process", page.process);
    reader.read("next", page.next);
    reader.read("dropped", page.dropped);
    reader.readArray(
        "events",
        [&](const nlohmann::json& element, const std::string& place) {
            page.events.push_back(fromJson(element, place, findings));
            page.events.back().process = page.process;
        },
        json::Presence::Required, maxPageEvents);
    reader.finish();
    return findings;
}

void registerTimelineRoute(http::Server& server, const Ring& ring)
{
    server.route("GET", "/v1/timeline", [&ring](const http::Request& request, http::Response& response) {
        std::uint64_t since = 0;
        std::size_t limit = maxPageEvents;
        if (!readParameter(request, "since", since) || !readParameter(request, "limit", limit)) {
            http::Problem problem { .status = 400, .title = "since and limit must be numbers" };
            http::writeProblem(problem, response);
            return;
        }
        response.body = encode(ring.since(since, std::min(limit, maxPageEvents)));
    });
}

} // namespace agatevane::timeline

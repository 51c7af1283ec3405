#include "timeline_tool/logs.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace agatevane;
using timeline::EventType;

// Guards against a time line without the events of the platform's nodes. Nodes have no HTTP interface for a ring buffer
// of events, so their events are read from their logs.
BOOST_AUTO_TEST_CASE(Logs_of_nodes_are_merged_into_one_time_line, *boost::unit_test::label("logs"))
{
    std::istringstream log(
        R"({"time_ms":2000,"event":"start_ordered","process":"n2","job":"a","task":"a.0.0.0","worker":"w1"})"
        "\n"
        R"({"time_ms":1000,"event":"call_answered","process":"n1","call":"submit","job":"a","status":"ok","tenant":"t"})"
        "\n"
        R"({"time_ms":1500,"event":"call_answered","process":"n1","call":"submit","job":"b","status":"not_accepted"})"
        "\n"
        R"({"time_ms":2500,"event":"worker_listed","process":"n2","worker":"w1","draining":true})"
        "\n"
        R"({"time_ms":2600,"event":"fillers_paced","process":"n2","worker":"w1"})"
        "\n");
    std::vector<event_log::LogLine> lines;
    event_log::readLog(log, lines);
    auto events = timeline::merge(timeline_tool::pagesFromLogs(lines));
    std::vector<EventType> types;
    for (const auto& event : events)
        types.push_back(event.type);
    const std::vector<EventType> expected { EventType::JobAccepted, EventType::JobRefused, EventType::JobStarted,
        EventType::WorkerLeaving };
    BOOST_CHECK(types == expected);
    BOOST_CHECK_EQUAL(events.front().workspace.value, "t");
    BOOST_CHECK_EQUAL(timeline::merge(timeline_tool::pagesFromLogs(lines), { .job = { "a" } }).size(), 2);
}

#include "agatevane/event_log/log_reader.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace agatevane;

namespace {

std::vector<event_log::LogLine> read(const std::string& text, std::size_t expectedSkipped)
{
    std::istringstream log(text);
    std::vector<event_log::LogLine> lines;
    BOOST_CHECK_EQUAL(event_log::readLog(log, lines), expectedSkipped);
    return lines;
}

} // namespace

// Guards against logs that cannot be read because a collector has put a time and a machine before each line.
BOOST_AUTO_TEST_CASE(What_a_collector_puts_before_a_line_is_ignored, *boost::unit_test::label("logs"))
{
    auto lines = read(R"( -13.9998 node-1 {"time_ms":7,"event":"started","process":"n1","zone":"z"})"
                      "\n"
                      R"({"time_ms":8,"event":"stopping","process":"n1"})"
                      "\n",
        0);
    BOOST_REQUIRE_EQUAL(lines.size(), 2);
    BOOST_CHECK_EQUAL(lines[0].timeMs, 7);
    BOOST_CHECK_EQUAL(event_log::textOf(lines[0], "zone"), "z");
    BOOST_CHECK_EQUAL(lines[1].event, "stopping");
}

// Guards against other texts and torn lines that end the reading, or that pass for lines.
BOOST_AUTO_TEST_CASE(Torn_and_foreign_lines_are_skipped_and_counted, *boost::unit_test::label("logs"))
{
    auto lines = read(R"(node-1 starts
node-1 {"time_ms":7,"event":"started","proc
node-1 {"time_ms":"7","event":"started","process":"n1"}
node-1 {"time_ms":9,"event":"stopping","process":"n1"}
)",
        3);
    BOOST_REQUIRE_EQUAL(lines.size(), 1);
    BOOST_CHECK_EQUAL(lines[0].timeMs, 9);
}

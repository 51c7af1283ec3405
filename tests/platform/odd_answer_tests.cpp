//! Numbers out of range and unreadable parts in answers, in operators' items and in callers' requests: none of them
//! changes its meaning by a conversion, and none hides the valid parts.
#include "agatevane/base/error.h"
#include "platform/job_interface.h"
#include "platform/store_client.h"
#include "platform/store_items.h"
#include "platform/wire.h"
#include "platform/worker_client.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace agatevane;
using namespace agatevane::platform;

namespace {

node::PollResult pollWith(const std::string& members)
{
    return decodePollAnswer({}, { 200, {}, "{" + members + "}" });
}

//! The answer of a worker that runs one task; the row continues with `columns`.
node::PollResult pollRunning(const std::string& columns)
{
    return pollWith(R"("clockMs":5,"running":[["5c0e7a21d94b36f8.0.1.17",)" + columns + "]]");
}

node::PollResult pollEnded(const std::string& number, const std::string& run)
{
    return pollWith(R"("clockMs":5,"ended":[[)" + number + R"(,"5c0e7a21d94b36f8.0.1.9",)" + run + R"(,"done",""]])");
}

kv::Item makeItem(const std::string& key, const std::string& value)
{
    return { key, value, 7, 0 };
}

//! A desired state of one queue, in which `name` of the queue is `number`.
std::string desiredWith(const std::string& name, const std::string& number)
{
    return R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","service":"s",")" + name + "\":" + number
        + "}]}";
}

} // namespace

// Guards against runs that count as missing because the worker returns no more ends at a time.
BOOST_AUTO_TEST_CASE(
    An_answer_with_as_many_ends_as_a_worker_returns_may_lack_some, *boost::unit_test::label("platform"))
{
    auto pollWithEnds = [](int count) {
        auto ends = nlohmann::json::array();
        for (int number = 1; number <= count; ++number)
            ends.push_back({ number, "5c0e7a21d94b36f8.0.1.9", 1, "done", "" });
        return pollWith(R"("clockMs":5,"ended":)" + ends.dump());
    };
    BOOST_CHECK(!pollWithEnds(499).answer.mayLackEnds);
    BOOST_CHECK(pollWithEnds(500).answer.mayLackEnds);
    BOOST_CHECK_EQUAL(pollWithEnds(500).answer.ended.size(), 500U);
}

// Guards against a large run number that is cut off to the number of another run.
BOOST_AUTO_TEST_CASE(A_run_number_out_of_range_names_no_run, *boost::unit_test::label("platform"))
{
    for (const char* run : { "4294967298", "18446744073709551615", "-1", "1e3", "2.0", "null", "\"2\"" }) {
        auto running = pollRunning(std::string(run) + R"(,"",41)");
        BOOST_CHECK_MESSAGE(!running.error && running.answer.running.empty(), run);
        BOOST_CHECK_MESSAGE(running.answer.unreadableRuns == 1, run);
        auto ended = pollEnded("58", run);
        BOOST_REQUIRE_MESSAGE(!ended.error && ended.answer.ended.size() == 1, run);
        BOOST_CHECK_MESSAGE(!ended.answer.ended.front().isReadable, run);
    }
    auto largest = pollRunning(R"(4294967295,"",41)");
    BOOST_REQUIRE(!largest.error && largest.answer.running.size() == 1);
    BOOST_CHECK_EQUAL(largest.answer.running.front().key.second, 4294967295U);
}

// Guards against an end whose number turns negative, which is ignored as an old one, and against one whose number hides
// the ends after it.
BOOST_AUTO_TEST_CASE(The_number_of_an_end_out_of_range_makes_the_end_unreadable, *boost::unit_test::label("platform"))
{
    for (const char* number :
        { "18446744073709551615", "9223372036854775808", "9223372036854775807", "-1", "1e3", "\"58\"" }) {
        auto poll = pollEnded(number, "1");
        BOOST_REQUIRE_MESSAGE(!poll.error && poll.answer.ended.size() == 1, number);
        BOOST_CHECK_MESSAGE(!poll.answer.ended.front().isReadable, number);
        BOOST_CHECK_MESSAGE(poll.answer.ended.front().number == 1, number);
    }
    auto good = pollEnded("58", "1");
    BOOST_REQUIRE(!good.error && good.answer.ended.size() == 1);
    BOOST_CHECK(good.answer.ended.front().isReadable);
    BOOST_CHECK_EQUAL(good.answer.ended.front().number, 58);
}

// Guards against a worker whose runs lapse, and whose ends are never seen, because one row of its answers can't be
// read.
BOOST_AUTO_TEST_CASE(An_odd_row_hides_no_other_row_of_a_poll_answer, *boost::unit_test::label("platform"))
{
    const std::string oddRows[] { "null", "5", "{}", "[]", R"(["?",1,"",0])",
        R"([9,"5c0e7a21d94b36f8.0.1.9",1,"odd",""])" };
    for (const auto& odd : oddRows) {
        auto poll = pollWith(R"("clockMs":5,"running":[["5c0e7a21d94b36f8.0.1.1",1,"",10],)" + odd
            + R"(,["5c0e7a21d94b36f8.0.1.2",1,"",20]],"ended":[[7,"5c0e7a21d94b36f8.0.1.3",1,"done",""],)" + odd
            + R"(,[12,"5c0e7a21d94b36f8.0.1.4",1,"done",""]])");
        BOOST_CHECK_MESSAGE(!poll.error, odd);
        BOOST_REQUIRE_EQUAL(poll.answer.running.size(), 2U);
        BOOST_CHECK_EQUAL(poll.answer.running[1].key.first.index, 2U);
        BOOST_CHECK_EQUAL(poll.answer.unreadableRuns, 1U);
        BOOST_REQUIRE_EQUAL(poll.answer.ended.size(), 3U);
        BOOST_CHECK(poll.answer.ended[0].isReadable && !poll.answer.ended[1].isReadable);
        BOOST_CHECK_EQUAL(poll.answer.ended[1].number, 8);
        BOOST_CHECK_EQUAL(poll.answer.ended[2].number, 12);
    }
    BOOST_CHECK(pollWith(R"("clockMs":5,"running":{})").error == Errc::Malformed);
    BOOST_CHECK(pollWith(R"("clockMs":5,"ended":null)").error == Errc::Malformed);
}

// Guards against a run that is taken for gone because its row tells its progress in another form.
BOOST_AUTO_TEST_CASE(A_row_that_names_a_run_is_kept, *boost::unit_test::label("platform"))
{
    for (const char* columns : { "2", "2,null,null", "2,5,\"41\"" }) {
        auto poll = pollRunning(columns);
        BOOST_REQUIRE_MESSAGE(!poll.error && poll.answer.running.size() == 1, columns);
        BOOST_CHECK_EQUAL(poll.answer.running.front().key.second, 2U);
        BOOST_CHECK_EQUAL(poll.answer.running.front().percent, fleet::unknownPercent);
        BOOST_CHECK_EQUAL(poll.answer.running.front().checkpoint, "");
        BOOST_CHECK_EQUAL(poll.answer.unreadableRuns, 0U);
    }
}

// Guards against conversions whose result is undefined.
BOOST_AUTO_TEST_CASE(Progress_and_measurements_of_a_run_stay_within_their_ranges, *boost::unit_test::label("platform"))
{
    auto running = [](const std::string& percent, const std::string& measurement) {
        auto poll = pollRunning("2,\"\"," + percent + "," + measurement);
        BOOST_REQUIRE(!poll.error);
        return poll.answer.running.at(0);
    };
    BOOST_CHECK_EQUAL(running("41", "3").percent, 41);
    BOOST_CHECK_EQUAL(running("41.7", "3").percent, 41);
    for (const char* large : { "1e300", "18446744073709551615", "9223372036854775807", "4294967337" }) {
        BOOST_CHECK_EQUAL(running(large, large).percent, 100);
        BOOST_CHECK_GT(running(large, large).recentMeasurement, 0);
        BOOST_CHECK_LT(running(large, large).recentMeasurement, std::int64_t(1) << 53);
    }
    for (const char* negative : { "-1", "-1e300", "-9223372036854775808" }) {
        BOOST_CHECK_EQUAL(running(negative, negative).percent, 0);
        BOOST_CHECK_EQUAL(running(negative, negative).recentMeasurement, 0);
    }
}

// Guards against leases computed from a clock that overflows, and against a start in the far future, against which each
// later incarnation of the worker counts as an old one.
BOOST_AUTO_TEST_CASE(A_clock_or_start_out_of_range_makes_a_poll_answer_malformed, *boost::unit_test::label("platform"))
{
    for (const char* number :
        { "18446744073709551615", "9223372036854775807", "32503680000000000", "-1", "1e3", "0.5", "\"5\"", "null" }) {
        BOOST_CHECK_MESSAGE(pollWith(std::string(R"("clockMs":)") + number).error == Errc::Malformed, number);
        BOOST_CHECK_MESSAGE(pollWith(std::string(R"("clockMs":5,"born":)") + number).error == Errc::Malformed, number);
    }
    BOOST_CHECK(!pollWith(R"("clockMs":482113,"born":1700000000000)").error);
    BOOST_CHECK(!pollWith(R"("clockMs":482113)").error);
}

BOOST_AUTO_TEST_CASE(The_validity_of_tickets_is_bounded, *boost::unit_test::label("platform"))
{
    auto validityOf = [](const char* number) {
        return decodeAdvice({}, { 200, {}, std::string(R"({"good":[["i-1","t"]],"validMs":)") + number + "}" })
            .validity;
    };
    BOOST_CHECK(validityOf("3000") == Millis(3000));
    for (const char* number :
        { "9223372036854775807", "18446744073709551615", "-1", "-9223372036854775808", "1e300" }) {
        BOOST_CHECK_MESSAGE(validityOf(number) >= Millis(0), number);
        BOOST_CHECK_MESSAGE(validityOf(number) <= std::chrono::hours(24), number);
    }
}

BOOST_AUTO_TEST_CASE(An_integer_beyond_the_range_is_no_integer, *boost::unit_test::label("platform"))
{
    BOOST_CHECK_EQUAL(integerOr(Json { { "a", std::numeric_limits<std::uint64_t>::max() } }, "a", 7), 7);
    BOOST_CHECK_EQUAL(integerOr(Json { { "a", std::numeric_limits<std::int64_t>::max() } }, "a", 7),
        std::numeric_limits<std::int64_t>::max());
    BOOST_CHECK_EQUAL(integerOr(Json { { "a", -3 } }, "a", 7), -3);
}

// Guards against times computed from a desired state that overflow.
BOOST_AUTO_TEST_CASE(A_desired_state_with_numbers_out_of_range_is_ignored, *boost::unit_test::label("platform"))
{
    auto isDecoded = [](const std::string& name, const std::string& number) {
        Findings findings;
        auto state = decodeDesiredState(makeItem("op/config", desiredWith(name, number)), findings);
        BOOST_CHECK_EQUAL(findings.empty(), state.has_value());
        return state.has_value();
    };
    for (const char* name : { "priority", "maxAttempts", "stretch", "targetLatencyMs" }) {
        for (const char* number : { "9223372036854775807", "18446744073709551615", "1e300", "-1", "\"3\"", "null" })
            BOOST_CHECK_MESSAGE(!isDecoded(name, number), name << " " << number);
        BOOST_CHECK_MESSAGE(isDecoded(name, "3"), name);
    }
    BOOST_CHECK(isDecoded("priority", "0"));
    BOOST_CHECK(isDecoded("stretch", "1.5"));
    BOOST_CHECK(isDecoded("targetLatencyMs", "0"));
    BOOST_CHECK(isDecoded("timeoutMs", "1e300"));
}

// Guards against a wave whose time limit turns negative, and against one that hides later waves.
BOOST_AUTO_TEST_CASE(A_wave_with_numbers_out_of_range_is_ignored, *boost::unit_test::label("platform"))
{
    auto isDecoded = [](const std::string& wave, const std::string& duration, const std::string& maximum) {
        Findings findings;
        auto text = R"({"wave":)" + wave + R"(,"machines":["m-1"],"durationS":)" + duration + R"(,"maximum":)" + maximum
            + "}";
        auto request = decodeWave(makeItem("op/wave/1", text), findings);
        BOOST_CHECK_EQUAL(findings.empty(), request.has_value());
        return request.has_value();
    };
    BOOST_CHECK(isDecoded("1", "20", "1"));
    BOOST_CHECK(isDecoded("1", "0.5", "1"));
    for (const char* number : { "9223372036854775807", "18446744073709551615", "1e300", "-1", "\"3\"", "null" }) {
        BOOST_CHECK_MESSAGE(!isDecoded("1", number, "1"), "durationS " << number);
        BOOST_CHECK_MESSAGE(!isDecoded("1", "20", number), "maximum " << number);
    }
    for (const char* number : { "18446744073709551615", "1e300", "0", "-1", "\"3\"", "null" })
        BOOST_CHECK_MESSAGE(!isDecoded(number, "20", "1"), "wave " << number);
}

// Guards against due times that overflow, by which an occurrence would start at once.
BOOST_AUTO_TEST_CASE(A_job_with_times_out_of_range_is_refused, *boost::unit_test::label("platform"))
{
    auto isDecoded = [](const std::string& first, const std::string& interval) {
        Findings findings;
        auto body = R"({"repetitions":3,"firstRunMs":)" + first + R"(,"intervalMs":)" + interval
            + R"(,"steps":[{"count":1}]})";
        return decodeCall({ "POST", "/", {}, body }, "5c0e7a21d94b36f8", findings).has_value();
    };
    BOOST_CHECK(isDecoded("1700000000000", "60000"));
    BOOST_CHECK(isDecoded("0", "0"));
    BOOST_CHECK(isDecoded("-1", "0"));
    BOOST_CHECK(!isDecoded("0", "-1"));
    for (const char* number :
        { "9223372036854775807", "-9223372036854775808", "18446744073709551615", "1e300", "1e3" }) {
        BOOST_CHECK_MESSAGE(!isDecoded(number, "60000"), "firstRunMs " << number);
        BOOST_CHECK_MESSAGE(!isDecoded("1700000000000", number), "intervalMs " << number);
    }
}

// Guards against a deadline that overflows, with which the call would end at once.
BOOST_AUTO_TEST_CASE(The_time_that_a_caller_waits_is_bounded, *boost::unit_test::label("platform"))
{
    auto timeout = [](const char* text) {
        return timeoutOf({ "GET", "/", { { "x-agatevane-deadline-milliseconds", text } }, {} });
    };
    BOOST_CHECK(timeout("3000") == Millis(3000));
    BOOST_CHECK(timeout("9223372036854775807") >= std::chrono::minutes(1));
    BOOST_CHECK(timeout("9223372036854775807") <= std::chrono::hours(24));
    for (const char* text : { "", "-1", "99999999999999999999", "1e3", "soon" })
        BOOST_CHECK_MESSAGE(!timeout(text), text);
}

// Guards against readers that stop following a prefix for ever because one item below it can't be read.
BOOST_AUTO_TEST_CASE(An_unreadable_value_hides_no_other_item, *boost::unit_test::label("platform"))
{
    const std::string goodItem = R"({"key":"servers/i-1","value":"bm9kZS0x","revision":4,"created":4,"lease":0})";
    for (const char* value : { "\"%%%\"", "\"bm9\"", "5", "null", "true", "{}", "[[[[1]]]]", "1e400" }) {
        auto oddItem = std::string(R"({"key":"servers/odd","revision":5,"created":5,"lease":0,"value":)") + value + "}";
        bool isNumberTooLarge = std::string_view(value) == "1e400";
        bool hasMore = false;
        auto list = decodeItems(
            { 200, {}, R"({"asOf":9,"hasMore":false,"items":[)" + oddItem + "," + goodItem + "]}" }, hasMore);
        auto watch = decodeWatch({ 200, {}, R"({"asOf":9,"events":[)" + oddItem + "," + goodItem + "]}" });
        // The whole answer is no JSON then, whoever wrote it.
        if (isNumberTooLarge) {
            BOOST_CHECK(list.error == Errc::Malformed && watch.error == Errc::Malformed);
            continue;
        }
        BOOST_CHECK_MESSAGE(!list.error && !watch.error, value);
        BOOST_REQUIRE_EQUAL(list.items.size(), 2U);
        BOOST_CHECK_EQUAL(list.items[0].key, "servers/odd");
        BOOST_CHECK_EQUAL(list.items[0].value, "");
        BOOST_CHECK_EQUAL(list.items[1].value, "node-1");
        BOOST_REQUIRE_EQUAL(watch.changes.size(), 2U);
        BOOST_CHECK_EQUAL(watch.changes[0].item.value, "");
        BOOST_CHECK_EQUAL(watch.changes[1].item.value, "node-1");
    }
}

// Guards against an answer that is cut or garbled and taken for a shorter list, by which workers and jobs would vanish.
BOOST_AUTO_TEST_CASE(A_list_whose_structure_is_damaged_is_malformed, *boost::unit_test::label("platform"))
{
    for (const char* items : { R"([{"value":"bm9kZS0x","revision":4}])", R"([{"key":5,"value":"","revision":4}])",
             R"([{"key":"servers/i-1","value":""}])", R"([5])", R"({})", "null",
             R"([{"key":"servers/i-1","value":"","revision":18446744073709551615}])" }) {
        bool hasMore = false;
        BOOST_CHECK_MESSAGE(
            decodeItems({ 200, {}, std::string(R"({"asOf":9,"items":)") + items + "}" }, hasMore).error, items);
        BOOST_CHECK_MESSAGE(decodeWatch({ 200, {}, std::string(R"({"asOf":9,"events":)") + items + "}" }).error, items);
    }
}

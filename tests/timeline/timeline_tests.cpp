#include "agatevane/base/random.h"
#include "agatevane/http/client.h"
#include "agatevane/json/reader.h"
#include "agatevane/timeline/merge.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::timeline;

namespace {

Event makeEvent(EventType type, const std::string& job = "")
{
    Event event;
    event.type = type;
    event.job = { job };
    return event;
}

} // namespace

BOOST_AUTO_TEST_CASE(The_ring_keeps_the_latest_events_and_counts_the_dropped_ones, *boost::unit_test::label("ring"))
{
    Ring ring("entry-1", 4);
    for (int i = 0; i < 10; ++i)
        ring.record(makeEvent(EventType::JobAccepted, std::to_string(i)));
    auto page = ring.since(0);
    BOOST_TEST(page.dropped == 6U);
    BOOST_REQUIRE(page.events.size() == 4);
    BOOST_TEST(page.events.front().job.value == "6");
    BOOST_TEST(page.next == 10U);
    BOOST_TEST(ring.since(8, 1).next == 9U);
    BOOST_TEST(ring.since(10).events.empty());
    // A reader of an earlier run of the process may ask for events after a number that the ring has not reached.
    BOOST_TEST(ring.since(500).events.size() == 4U);
    Page decoded;
    BOOST_TEST(format(decode(encode(page), decoded)) == "");
    BOOST_TEST((decoded == page));
}

// Guards against an effect that is listed before its cause because the wall clocks of VMs differ.
RC_BOOST_PROP(a_message_is_sent_before_it_is_received_in_every_merge, (std::uint64_t seed))
{
    Random random(seed);
    constexpr int processes = 4;
    std::vector<std::unique_ptr<Ring>> rings;
    for (int i = 0; i < processes; ++i)
        rings.push_back(std::make_unique<Ring>("p" + std::to_string(i)));
    for (int message = 0; message < 40; ++message) {
        auto& sender = *rings[uniform(random, 0, processes - 1)];
        auto& receiver = *rings[uniform(random, 0, processes - 1)];
        auto name = std::to_string(message);
        sender.record(makeEvent(EventType::RequestSent, name));
        auto clock = sender.clock().tick();
        if (uniform(random, 0, 3) == 0)
            sender.record(makeEvent(EventType::JobStarted, "unrelated"));
        receiver.clock().observe(clock);
        receiver.record(makeEvent(EventType::RequestReceived, name));
    }
    std::vector<Page> pages;
    for (const auto& ring : rings) {
        pages.push_back(ring->since(0));
        pages.push_back(ring->since(3)); // Overlaps the first page.
    }
    auto events = merge(pages);
    std::size_t total = 0;
    for (const auto& ring : rings)
        total += ring->since(0).events.size();
    RC_ASSERT(events.size() == total);
    std::map<std::string, std::uint64_t> lastOfProcess;
    std::map<std::string, bool> isSent;
    for (const auto& event : events) {
        RC_ASSERT(event.sequence > lastOfProcess[event.process]);
        lastOfProcess[event.process] = event.sequence;
        if (event.type == EventType::RequestSent)
            isSent[event.job.value] = true;
        if (event.type == EventType::RequestReceived)
            RC_ASSERT(isSent[event.job.value]);
    }
}

BOOST_AUTO_TEST_CASE(A_filter_keeps_events_that_match_all_of_its_fields, *boost::unit_test::label("merge"))
{
    Ring ring("scheduler-1");
    auto event = makeEvent(EventType::JobStarted, "dc.1");
    event.workspace = { "north" };
    ring.record(event);
    event.workspace = { "south" };
    ring.record(event);
    auto kept
        = merge({ ring.since(0) }, { .job = { "dc.1" }, .request = "", .workspace = { "south" }, .dataCentre = {} });
    BOOST_REQUIRE(kept.size() == 1);
    BOOST_TEST(kept[0].sequence == 2U);
}

// Guards against event text that changes the HTML page, controls the terminal or breaks the structure of the trace.
BOOST_AUTO_TEST_CASE(Output_formats_escape_text_and_pair_begins_with_ends, *boost::unit_test::label("writers"))
{
    Ring ring("scheduler-1");
    ring.record(makeEvent(EventType::JobFinished, "a"));
    ring.record(makeEvent(EventType::JobStarted, "a"));
    ring.record(makeEvent(EventType::JobStarted, "a"));
    ring.record(makeEvent(EventType::JobStopped, "a"));
    auto malicious = makeEvent(EventType::JobAccepted, "<script>");
    malicious.detail = "\x1b[2Jx\xff";
    ring.record(malicious);
    auto events = merge({ ring.since(0) });
    BOOST_TEST(formatHtml(events).find("<td>&lt;script&gt;</td>") != std::string::npos);
    BOOST_TEST(formatTable(events).find('\x1b') == std::string::npos);
    BOOST_TEST(formatTable(events).find("job_stopped") != std::string::npos);
    auto trace = nlohmann::json::parse(formatTrace(events));
    int begins = 0;
    int ends = 0;
    std::int64_t lastTimestamp = 0;
    for (const auto& entry : trace["traceEvents"]) {
        begins += entry["ph"] == "b";
        ends += entry["ph"] == "e";
        if (entry.contains("ts")) {
            BOOST_TEST(entry["ts"].get<std::int64_t>() >= lastTimestamp);
            lastTimestamp = entry["ts"];
        }
    }
    BOOST_TEST(begins == 1);
    BOOST_TEST(ends == 1);
}

RC_BOOST_PROP(
    any_text_is_decoded_or_refused_without_a_crash, (const std::string& text, std::size_t position, char byte))
{
    Page page;
    RC_ASSERT(!decode(text, page).empty());
    Ring ring("p");
    ring.record(makeEvent(EventType::StoreLost, "x"));
    auto valid = encode(ring.since(0));
    valid[position % valid.size()] = byte;
    if (decode(valid, page).empty())
        formatTrace(merge({ page }));
}

BOOST_AUTO_TEST_CASE(The_route_serves_pages_and_refuses_malformed_parameters, *boost::unit_test::label("route"))
{
    Ring ring("p");
    ring.record(makeEvent(EventType::StoreLost));
    ring.record(makeEvent(EventType::StoreRegained));
    http::Server server;
    registerTimelineRoute(server, ring);
    BOOST_REQUIRE(!server.bind("127.0.0.1", 0));
    server.start();
    http::Client client({ "127.0.0.1", server.port() });
    auto answer = client.request("GET", "/v1/timeline?since=1", "", now() + Millis(2000));
    Page page;
    BOOST_TEST(format(decode(answer.body, page)) == "");
    BOOST_REQUIRE(page.events.size() == 1);
    BOOST_TEST((page.events[0].type == EventType::StoreRegained));
    BOOST_TEST(client.request("GET", "/v1/timeline?since=x", "", now() + Millis(2000)).status == 400);
}

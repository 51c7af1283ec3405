#include "agatevane/base/job.h"
#include "agatevane/json/reader.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;

// Guards against a decoder that stops at the first error: the user would need one run to find each of them.
BOOST_AUTO_TEST_CASE(All_errors_of_an_object_are_reported_with_their_JSON_pointer, *boost::unit_test::label("reader"))
{
    Findings findings;
    nlohmann::json value;
    BOOST_REQUIRE(json::parse(R"({"count": 900, "state": "flying", "extra": 1, "list": 7})", "", value, findings));
    int count = 0;
    std::string name;
    JobState state {};
    json::ObjectReader reader(value, "/job", findings);
    reader.read("count", count, json::Presence::Required, 1, 128);
    reader.read("name", name);
    reader.read("state", state);
    reader.readArray("list", [](const nlohmann::json&, const std::string&) {});
    reader.finish();
    BOOST_REQUIRE_EQUAL(findings.size(), 5U);
    BOOST_TEST(format(findings).find("/job/count: 900 is outside 1 to 128") != std::string::npos);
    BOOST_TEST(format(findings).find("/job/name: missing") != std::string::npos);
    BOOST_TEST(format(findings).find("/job/extra: unknown field") != std::string::npos);
}

// Guards against a stack overflow caused by deeply nested input.
BOOST_AUTO_TEST_CASE(Deep_nesting_is_refused, *boost::unit_test::label("reader"))
{
    Findings findings;
    nlohmann::json value;
    BOOST_TEST(!json::parse(std::string(100000, '['), "body", value, findings));
    findings.clear();
    BOOST_TEST(!json::parse(std::string(100, '[') + std::string(100, ']'), "body", value, findings));
    BOOST_TEST(findings.size() == 1U);
}

RC_BOOST_PROP(parsing_any_bytes_gives_a_value_or_a_finding, (const std::string& text))
{
    Findings findings;
    nlohmann::json value;
    bool parsed = json::parse(text, "body", value, findings);
    RC_ASSERT(parsed == findings.empty());
    json::dump(value);
}

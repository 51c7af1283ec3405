//! Seeded fuzz of the decoder of callers' jobs: random bytes, and valid jobs cut at each position and altered.
#include "agatevane/base/random.h"
#include "platform/job_interface.h"
#include <boost/test/unit_test.hpp>

using namespace agatevane;

namespace {

constexpr std::uint64_t seed = 20261207;
constexpr const char* jobId = "5c0e7a21d94b36f8";

const std::string validJob
    = R"({"specification":"text\u00e9","repetitions":2,"firstRunMs":17,"intervalMs":1000,"steps":[
{"count":4,"cpu":500,"taskMemoryMb":256,"estimatedMs":900,"affinity":"r1-3"},
{"count":20,"cpu":2000,"gpu":2,"after":[0],"enableCheckpoints":true,"gang":true,"tightlyCoupled":true,
"requirements":"a","antiAffinity":2,"image":"m1","targetMs":80,"mayMiss":1,"fills":false,"continuous":false}]})";

//! Decodes a submission and checks what holds for any bytes. Returns true if it is a job.
bool decode(const std::string& body)
{
    constexpr std::size_t maxPayloadBytes = 4000;
    constexpr std::size_t maxSteps = 256;
    Findings findings;
    auto call = platform::decodeCall({ "POST", std::string("/jobs/") + jobId, {}, body }, jobId, findings);
    BOOST_REQUIRE_EQUAL(call.has_value(), findings.empty());
    if (!call)
        return false;
    BOOST_REQUIRE_LE(call->spec.payload.size(), maxPayloadBytes);
    BOOST_REQUIRE(!call->spec.steps.empty() && call->spec.steps.size() <= maxSteps);
    for (std::size_t index = 0; index < call->spec.steps.size(); ++index) {
        const auto& step = call->spec.steps[index];
        BOOST_REQUIRE_GE(step.count, 1U);
        for (auto earlier : step.after)
            BOOST_REQUIRE_LT(earlier, index);
    }
    return true;
}

std::string randomBytes(Random& random, std::int64_t maxSize)
{
    constexpr std::int64_t maxByte = 255;
    std::string bytes(static_cast<std::size_t>(uniform(random, 0, maxSize)), '\0');
    for (auto& byte : bytes)
        byte = static_cast<char>(uniform(random, 0, maxByte));
    return bytes;
}

std::size_t positionIn(Random& random, const std::string& text)
{
    return static_cast<std::size_t>(uniform(random, 0, static_cast<std::int64_t>(text.size())));
}

} // namespace

BOOST_AUTO_TEST_SUITE(decode_call_fuzz, *boost::unit_test::label("platform"))

// Guards against a submission that ends the process, and against a job that is accepted from a part of its text.
BOOST_AUTO_TEST_CASE(A_job_that_is_cut_at_any_position_is_refused)
{
    BOOST_REQUIRE(decode(validJob));
    for (std::size_t size = 0; size < validJob.size(); ++size)
        BOOST_CHECK(!decode(validJob.substr(0, size)));
}

// Guards against values outside their limits that reach the fleet.
BOOST_AUTO_TEST_CASE(Altered_jobs_are_decoded_within_the_limits_or_refused)
{
    Random random(seed);
    int jobs = 0;
    for (int round = 0; round < 30000; ++round) {
        auto body = validJob;
        for (auto changes = uniform(random, 1, 3); changes > 0; --changes) {
            auto position = positionIn(random, body);
            auto length = static_cast<std::size_t>(uniform(random, 0, 4));
            constexpr std::string_view digits = "0123456789-e\"{}[],:";
            if (uniform(random, 0, 3) == 0)
                body.replace(position, length, randomBytes(random, 4));
            else
                body.replace(position, length, 1, digits[positionIn(random, std::string(digits.size() - 1, ' '))]);
        }
        jobs += decode(body) ? 1 : 0;
    }
    BOOST_CHECK_GT(jobs, 0);
}

BOOST_AUTO_TEST_CASE(Random_bytes_are_refused)
{
    Random random(seed);
    for (int round = 0; round < 30000; ++round)
        BOOST_CHECK(!decode(randomBytes(random, 300)));
    // Deep nesting must not exhaust the stack.
    BOOST_CHECK(!decode(R"({"steps":)" + std::string(500000, '[')));
}

BOOST_AUTO_TEST_SUITE_END()

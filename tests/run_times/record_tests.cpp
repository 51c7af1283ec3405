#include "agatevane/base/hash.h"
#include "agatevane/base/random.h"
#include "agatevane/net/archive.h"
#include "agatevane/run_times/record.h"
#include "samples.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using run_times::Kind;
using run_times::Model;
using test::addEnded;
using test::quantileMs;

namespace {

const Instant start = Instant(std::chrono::hours(1));

Model varied(std::uint64_t seed, int queues, int workspaces)
{
    Random random(seed);
    Model model;
    for (int queue = 0; queue < queues; ++queue) {
        for (int workspace = 0; workspace < workspaces; ++workspace) {
            for (int n = 0; n < 20; ++n)
                addEnded(
                    model, { std::to_string(queue), std::to_string(workspace), 1000 }, uniform(random, 200, 20000), 1);
        }
    }
    return model;
}

} // namespace

// Guards against a successor that expects other run times than the owner before it.
RC_BOOST_PROP(A_record_holds_the_estimates, (std::uint64_t seed))
{
    auto model = varied(seed, 2, 4);
    auto record = run_times::encodeModel(model);
    auto read = run_times::decodeModel(record, start);
    RC_ASSERT(read.has_value());
    for (const auto* workspace : { "0", "1", "2", "3", "none" }) {
        for (double fraction : { 0.1, 0.5, 0.9 }) {
            Kind kind { "1", workspace, 1000 };
            // Shares are rounded to 1/255 of the largest, so that durations and ratios may change places.
            constexpr double error = 0.03;
            constexpr double bucketWidth = 1.2;
            auto after = static_cast<double>(quantileMs(*read, kind, fraction));
            RC_ASSERT(after * bucketWidth >= static_cast<double>(quantileMs(model, kind, fraction - error)));
            RC_ASSERT(after <= bucketWidth * static_cast<double>(quantileMs(model, kind, fraction + error)));
            RC_ASSERT(run_times::estimate(*read, kind).source == run_times::estimate(model, kind).source);
        }
    }
}

// Guards against a record that the store does not take, and against one that lacks the groups that most runs use.
BOOST_AUTO_TEST_CASE(A_record_of_any_model_fits, *boost::unit_test::label("run_times"))
{
    auto model = varied(1, 64, 64);
    auto record = run_times::encodeModel(model);
    BOOST_CHECK_LE(record.size(), run_times::maxRecordBytes);
    auto read = run_times::decodeModel(record, start);
    BOOST_REQUIRE(read);
    BOOST_CHECK_EQUAL(read->queues.size(), 64U);
}

// Guards against decisions by a record that another program has written, or that is cut off.
BOOST_AUTO_TEST_CASE(A_damaged_record_is_not_used, *boost::unit_test::label("run_times"))
{
    auto record = run_times::encodeModel(varied(2, 2, 2));
    for (std::size_t size = 0; size < record.size(); ++size)
        BOOST_REQUIRE(!run_times::decodeModel(record.substr(0, size), start));
    for (std::size_t index = 0; index < record.size(); ++index) {
        auto damaged = record;
        damaged[index] = static_cast<char>(damaged[index] ^ 0x10);
        BOOST_REQUIRE(!run_times::decodeModel(damaged, start));
    }
    BOOST_CHECK(!run_times::decodeModel(record + "x", start));
    BOOST_CHECK(!run_times::decodeModel(std::string(run_times::maxRecordBytes + 1, 'x'), start));
}

// Guards against a crash, or values out of range, by a body that is not a model although its checksum is right.
RC_BOOST_PROP(Any_body_is_read_or_refused, (std::string body))
{
    body = net::encode(std::uint8_t { 1 }) + body;
    auto read = run_times::decodeModel(body + net::encode(hash64(body)), start);
    if (read)
        RC_ASSERT(quantileMs(*read, { "queue", "own", 1000 }, 0.5) >= 0);
    body.front() = 2;
    RC_ASSERT(!run_times::decodeModel(body + net::encode(hash64(body)), start));
}

// Guards against an owner that keeps to what earlier ones have seen long after the work has changed.
BOOST_AUTO_TEST_CASE(Inherited_samples_count_for_few_new_ones, *boost::unit_test::label("run_times"))
{
    Model model;
    Kind kind { "queue", "own", 0 };
    for (int n = 0; n < 5000; ++n)
        addEnded(model, kind, 1000, 1, start + n * Millis(10));
    auto read = run_times::decodeModel(run_times::encodeModel(model), start);
    BOOST_REQUIRE(read);
    for (int n = 0; n < 60; ++n)
        addEnded(*read, kind, 8000, 1, start + n * Millis(10));
    BOOST_CHECK_GT(quantileMs(*read, kind, 0.5), 7000);
}

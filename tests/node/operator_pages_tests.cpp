#include "node/operator_pages.h"

#include "agatevane/fleet/dispatch.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/jobs.h"
#include "agatevane/fleet/workers.h"
#include "fakes.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace agatevane;

namespace {

//! A fleet of two workers with one running job and one job that is too large for any worker.
struct PagesFixture {
    PagesFixture()
    {
        fleet.tenure = 3;
        fleet.tookOverAt = at;
        fleet.desired.tenants = { { "crew", {}, 4 } };
        for (int n = 1; n <= 2; ++n) {
            auto listing = test::sampleWorker(n);
            fleet::applyListing(fleet, listing, at);
            fleet::applyPollAnswer(fleet, listing.id, { listing.incarnation, 1000, {}, {} }, unixMs, at);
        }
        submit("runs", 1);
        submit("waits", 1000);
        fleet::advance(fleet, unixMs, at);
    }

    void submit(const std::string& id, std::int64_t accelerators)
    {
        auto spec = test::sampleJob(id, 1000);
        spec.tenant = "crew";
        spec.steps[0].need.accelerators = accelerators;
        fleet::applyCommitted(fleet, fleet::submit(fleet, spec, test::sampleQueue(), unixMs, at));
    }

    nlohmann::json page(std::string_view path) const
    {
        auto result = node::operatorPage({ fleet, nullptr, "n1", unixMs, at }, path);
        BOOST_REQUIRE_MESSAGE(result, path);
        return *result;
    }

    fleet::Fleet fleet;
    std::int64_t unixMs = 1000000;
    Instant at = Instant {} + Millis(100000);
};

} // namespace

// Guards against a page that does not show which jobs wait and why.
BOOST_FIXTURE_TEST_CASE(The_page_of_jobs_shows_why_each_job_waits, PagesFixture, *boost::unit_test::label("node"))
{
    auto jobs = page("/v1/jobs").at("jobs");
    BOOST_REQUIRE_EQUAL(jobs.size(), 2);
    BOOST_CHECK_EQUAL(jobs[0].at("id"), "runs");
    BOOST_CHECK_EQUAL(jobs[0].at("reason"), "");
    BOOST_CHECK_EQUAL(jobs[1].at("id"), "waits");
    BOOST_CHECK_EQUAL(jobs[1].at("reason"), "no_suitable_worker");
    auto job = page("/v1/jobs/runs");
    BOOST_REQUIRE_EQUAL(job.at("runs").size(), 1);
    BOOST_CHECK_EQUAL(job.at("runs")[0].at("state"), "ordered");
    BOOST_CHECK(!node::operatorPage({ fleet, nullptr, "n1", unixMs, at }, "/v1/jobs/other"));
}

// Guards against totals that leave out a worker, and against usage that is not counted for its tenant.
BOOST_FIXTURE_TEST_CASE(
    The_pages_of_fleet_and_workspaces_show_correct_totals, PagesFixture, *boost::unit_test::label("node"))
{
    auto totals = page("/v1/fleet").at("dataCentres")[0];
    std::int64_t accelerators = 0;
    for (const auto& [id, worker] : fleet.workers)
        accelerators += worker.capacity.accelerators;
    BOOST_CHECK_EQUAL(totals.at("accelerators"), accelerators);
    BOOST_CHECK_EQUAL(totals.at("acceleratorsFree"), accelerators - 1);
    BOOST_CHECK_EQUAL(totals.at("epoch"), 3);
    auto tenant = page("/v1/workspaces").at("workspaces")[0];
    BOOST_CHECK_EQUAL(tenant.at("workspace"), "crew");
    BOOST_CHECK_EQUAL(tenant.at("used"), 1);
    BOOST_CHECK_EQUAL(tenant.at("guaranteed"), 4);
    BOOST_CHECK_EQUAL(page("/v1/workers").at("workers").size(), 2);
    BOOST_CHECK_EQUAL(page("/v1/workers").at("workers")[0].at("standing"), "trusted");
    BOOST_CHECK(page("/v1/waves").at("waves").empty());
}

// Guards against a page that does not say by which run time a job is ordered, and from how many runs it is known.
BOOST_FIXTURE_TEST_CASE(The_page_of_a_job_shows_the_expected_run_time, PagesFixture, *boost::unit_test::label("node"))
{
    auto step = page("/v1/jobs/waits").at("steps")[0];
    BOOST_CHECK_EQUAL(step.at("expectedMs"), 1000);
    BOOST_CHECK_EQUAL(step.at("expectedBy"), "declared");
    BOOST_CHECK_EQUAL(step.at("samples"), 0);
    fleet.limits.stopDuration = Millis(900);
    for (int n = 0; n < 12; ++n) {
        run_times::Sample sample;
        run_times::setDuration(fleet.runTimes.model, { "queue", "crew", 1000 }, sample, 4000, at);
    }
    fleet.jobs.at("waits").spec.queue = "queue";
    step = page("/v1/jobs/waits").at("steps")[0];
    BOOST_CHECK_EQUAL(step.at("declaredMs"), 1000);
    BOOST_CHECK_EQUAL(step.at("expectedMs"), 4000);
    BOOST_CHECK_EQUAL(step.at("expectedBy"), "workspace");
    BOOST_CHECK_EQUAL(step.at("samples"), 12);
}

// Guards against an evacuation whose end operators can't foresee: the page shows what still runs there.
BOOST_FIXTURE_TEST_CASE(
    The_page_of_evacuations_shows_what_is_left_there, PagesFixture, *boost::unit_test::label("node"))
{
    BOOST_CHECK(page("/v1/evacuations").at("evacuations").empty());
    fleet::requestEvacuation(fleet, "", at - Millis(1500));
    auto row = page("/v1/evacuations").at("evacuations").at(0);
    BOOST_CHECK_EQUAL(row.at("startedUnixMs"), unixMs - 1500);
    BOOST_CHECK_EQUAL(row.at("workers"), 2);
    BOOST_CHECK_EQUAL(row.at("runs"), 0);
    BOOST_CHECK_EQUAL(row.at("unconfirmedStarts"), 1);
    BOOST_CHECK_EQUAL(page("/v1/workers").at("workers")[0].at("state"), "evacuated");
}

#include "agatevane/base/error.h"
#include "agatevane/json/reader.h"
#include "platform/job_interface.h"
#include "platform/machine_client.h"
#include "platform/settings_file.h"
#include "platform/store_client.h"
#include "platform/store_items.h"
#include "platform/wire.h"
#include "platform/worker_client.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace agatevane;
using namespace agatevane::platform;

namespace {

constexpr const char* settingsText = R"(nodeName=frontend-harju-a-1
ipAddress=10.1.0.19
zone=harju-a
region=harju
listenAddresses.frontendAddress=10.1.0.19:8521
listenAddresses.ready=10.1.0.19:8523
listenAddresses.control=10.1.0.19:8526
internalPortRange=7000,7015
seedNodes=10.1.0.19:8526,10.2.0.35:8526
bounds.holdMaxMs=5000
bounds.status_s=120
platform.address=10.200.1.7:8524
somethingNew=1
)";

kv::Item makeItem(const std::string& key, const std::string& value)
{
    return { key, value, 7, 0 };
}

constexpr const char* workerText = R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"harju-a","state":"ready",
"born":1700000000000,"capacity":{"cpu":16000,"taskMemoryMb":32768,"gpu":8},"labels":["a","r1-2"],"sequence":4})";

} // namespace

BOOST_AUTO_TEST_CASE(Settings_are_read_and_unknown_ones_ignored, *boost::unit_test::label("platform"))
{
    Findings findings;
    auto settings = readSettings(settingsText, findings);
    BOOST_REQUIRE_MESSAGE(settings, format(findings));
    BOOST_CHECK_EQUAL(settings->callerAddress.port, 8521);
    BOOST_CHECK_EQUAL(settings->metricsAddress.address, "10.1.0.19");
    BOOST_CHECK_EQUAL(settings->metricsAddress.port, 7001);
    BOOST_CHECK_EQUAL(settings->seedNodes.size(), 2U);
    BOOST_CHECK(settings->fleetLimits.leaseDuration == Millis(5000));
    BOOST_CHECK(settings->fleetLimits.statusRetention == Millis(120000));
    BOOST_CHECK(!settings->fleetLimits.evacuationBound);
    BOOST_CHECK(!fleet::areStopsCostly(settings->fleetLimits));
}

// Guards against new decisions that take effect in deployments whose settings do not call for them.
BOOST_AUTO_TEST_CASE(Settings_of_slow_stops_and_of_evacuations_are_read, *boost::unit_test::label("platform"))
{
    Findings findings;
    auto text = std::string(settingsText)
        + "\nbounds.stopMs=900\nbounds.restoreMs=100\nbounds.checkpointIntervalS=0.5\nbounds.evacuationMs="
          "5000\nplatform.valueBytes=65536\n"
          "limits.memoryMb=512\n";
    auto settings = readSettings(text, findings);
    BOOST_REQUIRE_MESSAGE(settings, format(findings));
    BOOST_CHECK(settings->fleetLimits.evacuationBound == Millis(5000));
    BOOST_CHECK(settings->fleetLimits.checkpointInterval == Millis(500));
    BOOST_CHECK_EQUAL(settings->fleetLimits.maxValueBytes, 65536U);
    BOOST_CHECK(fleet::areStopsCostly(settings->fleetLimits));
    BOOST_CHECK_EQUAL(settings->memoryBytes, 512U * 1024 * 1024);
}

// Guards against limits on clients that are set and have no effect, or that exclude ordinary clients.
BOOST_AUTO_TEST_CASE(Limits_on_clients_are_read_and_checked, *boost::unit_test::label("platform"))
{
    Findings findings;
    auto text = std::string(settingsText) + "\nlimits.memoryMb=512\nagatevane.clients.budgetMb=64\n";
    auto settings = readSettings(text + "agatevane.clients.connections=300\nagatevane.clients.headerS=30\n", findings);
    BOOST_REQUIRE_MESSAGE(settings, format(findings));
    BOOST_CHECK_EQUAL(settings->clientLimits.budgetBytes, 64U * 1024 * 1024);
    BOOST_CHECK_EQUAL(settings->clientLimits.connections, 300U);
    BOOST_CHECK(settings->clientLimits.headerTime == Millis(30000));
    BOOST_CHECK_EQUAL(settings->clientLimits.bodyBytes, 1048576U);
    BOOST_CHECK(!readSettings(text + "agatevane.clients.headerS=1\nagatevane.clients.bodyBytes=1000\n", findings));
    BOOST_CHECK_EQUAL(findings.size(), 2U);
}

BOOST_AUTO_TEST_CASE(All_missing_and_malformed_settings_are_reported_together, *boost::unit_test::label("platform"))
{
    Findings findings;
    BOOST_CHECK(!readSettings("nodeName=a\nlistenAddresses.ready=nowhere\nbounds.graceS=soon\n", findings));
    BOOST_CHECK_GE(findings.size(), 6U);
}

BOOST_AUTO_TEST_CASE(A_job_is_decoded_with_all_requirements_of_its_steps, *boost::unit_test::label("platform"))
{
    Findings findings;
    event_http::Request request { "POST", "/q/5c0e7a21d94b36f8", {},
        R"({"specification":"text","steps":[{"count":4,"cpu":500,"taskMemoryMb":256,"estimatedMs":900,"affinity":"r1-3"},
        {"count":20,"cpu":2000,"gpu":2,"after":[0],"enableCheckpoints":true,"gang":true,"tightlyCoupled":true,
        "requirements":"a","antiAffinity":2,"image":"m1","targetMs":80}]})" };
    auto call = decodeCall(request, "5c0e7a21d94b36f8", findings);
    BOOST_REQUIRE_MESSAGE(call, format(findings));
    BOOST_REQUIRE_EQUAL(call->spec.steps.size(), 2U);
    BOOST_CHECK_EQUAL(call->spec.steps[0].dataRack, "r1-3");
    const auto& second = call->spec.steps[1];
    BOOST_CHECK_EQUAL(second.need.accelerators, 2);
    BOOST_CHECK(second.isGang && second.isTightlyCoupled && second.savesCheckpoints);
    BOOST_CHECK_EQUAL(second.requiredLabel, "a");
    BOOST_CHECK_EQUAL(second.maxPerWorker, 2U);
    BOOST_CHECK_EQUAL(second.image, "m1");
    BOOST_CHECK_EQUAL(second.tailLatencyTargetMs, 80);
    BOOST_CHECK(second.after == std::vector<std::uint32_t> { 0 });
}

// Guards against a job that refers to a later step and so could never start, and against one of unbounded size.
BOOST_AUTO_TEST_CASE(An_invalid_job_is_rejected_with_findings, *boost::unit_test::label("platform"))
{
    for (const char* body :
        { R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[]})", R"({"steps":[{"count":-1}]})",
            R"({"steps":[{"count":9000},{"count":9000},{"count":9000}]})", "{", "[]" }) {
        Findings findings;
        BOOST_CHECK(!decodeCall({ "POST", "/", {}, body }, "5c0e7a21d94b36f8", findings));
        BOOST_CHECK(!findings.empty());
    }
}

BOOST_AUTO_TEST_CASE(A_worker_entry_is_decoded, *boost::unit_test::label("platform"))
{
    Findings findings;
    auto listing = decodeListing(makeItem("servers/i-1", workerText), findings);
    BOOST_REQUIRE_MESSAGE(listing, format(findings));
    BOOST_CHECK_EQUAL(listing->id, "i-1");
    BOOST_CHECK_EQUAL(listing->rack, "r1-2");
    BOOST_CHECK_EQUAL(listing->address.port, 8080);
    BOOST_CHECK_EQUAL(listing->capacity.accelerators, 8);
    BOOST_CHECK_EQUAL(listing->incarnation, 1700000000000);
}

// Guards against a draining worker that leaves before its tasks are moved, because its time left was not decoded.
BOOST_AUTO_TEST_CASE(The_time_left_of_a_draining_worker_is_decoded, *boost::unit_test::label("platform"))
{
    auto timeLeftOf = [](const char* state, std::int64_t remainingMs) {
        auto entry = nlohmann::json::parse(workerText);
        entry["state"] = state;
        entry["remainingMs"] = remainingMs;
        Findings findings;
        auto listing = decodeListing(makeItem("servers/i-1", entry.dump()), findings);
        return listing ? listing->timeLeft : std::nullopt;
    };
    BOOST_CHECK(timeLeftOf("draining", 2500) == Millis(2500));
    BOOST_CHECK(!timeLeftOf("ready", 2500));
    BOOST_CHECK(!timeLeftOf("draining", std::numeric_limits<std::int64_t>::max()));
}

// Guards against the use of entries that other programs have written and that do not name a usable worker.
BOOST_AUTO_TEST_CASE(Worker_entries_of_other_writers_are_rejected_with_findings, *boost::unit_test::label("platform"))
{
    for (const char* text : { "", "null", "{}", R"({"service":5,"address":"1.2.3.4:5","state":"ready","capacity":{}})",
             R"({"service":"a","address":"nowhere","state":"ready","capacity":{}})",
             R"({"service":"a","address":"1.2.3.4:5","state":"asleep","capacity":{}})",
             R"({"service":"a","address":"1.2.3.4:5","state":"ready"})" }) {
        Findings findings;
        BOOST_CHECK(!decodeListing(makeItem("servers/x", text), findings));
        BOOST_CHECK(!findings.empty());
    }
}

BOOST_AUTO_TEST_CASE(A_desired_state_is_decoded, *boost::unit_test::label("platform"))
{
    Findings findings;
    auto state = decodeDesiredState(makeItem("op/config",
                                        R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/p/",
        "kind":"unsafe","targetLatencyMs":400,"priority":0,"service":"s","maxAttempts":3,"stretch":1.5}],
        "services":[{"name":"s","rejectsOverload":true}],
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"guaranteed":{"gpu":120}}]})"),
        findings);
    BOOST_REQUIRE_MESSAGE(state, format(findings));
    const auto* queue = desired_state::findQueue(*state, "h.example:80", "/p/5c0e");
    BOOST_REQUIRE(queue);
    BOOST_CHECK(queue->objectiveBase == Millis(400));
    BOOST_CHECK(!desired_state::findQueue(*state, "other.example", "/p/5c0e"));
    const auto* tenant = desired_state::findTenantByKey(*state, "k2");
    BOOST_REQUIRE(tenant);
    BOOST_CHECK_EQUAL(tenant->guaranteedAccelerators, 120);
    BOOST_CHECK(!desired_state::findTenantByKey(*state, "k3"));
}

BOOST_AUTO_TEST_CASE(Each_answer_to_an_order_is_decoded_to_its_own_outcome, *boost::unit_test::label("platform"))
{
    using fleet::OrderOutcome;
    auto conflict = [](const char* reason) {
        return decodeOrderAnswer({}, { 409, {}, std::string(R"({"clockMs":1,"reason":")") + reason + "\"}" });
    };
    BOOST_CHECK(decodeOrderAnswer({}, { 200, {}, "{}" }).outcome == OrderOutcome::Done);
    BOOST_CHECK(conflict("old").outcome == OrderOutcome::Outdated);
    BOOST_CHECK(conflict("late").outcome == OrderOutcome::Late);
    BOOST_CHECK(conflict("room").outcome == OrderOutcome::NoRoom);
    BOOST_CHECK(conflict("fence").isFenced);
    BOOST_CHECK(decodeOrderAnswer({}, { 421, {}, {} }).outcome == OrderOutcome::OtherIncarnation);
    BOOST_CHECK(decodeOrderAnswer({}, { 503, {}, {} }).outcome == OrderOutcome::Unhealthy);
    BOOST_CHECK(decodeOrderAnswer(Errc::Unreachable, {}).outcome == OrderOutcome::NotSent);
    BOOST_CHECK(decodeOrderAnswer(Errc::Timeout, {}).outcome == OrderOutcome::Unknown);
}

BOOST_AUTO_TEST_CASE(The_running_and_ended_runs_of_a_poll_answer_are_decoded, *boost::unit_test::label("platform"))
{
    auto poll = decodePollAnswer(
        {}, { 200, {}, R"({"clockMs":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c1",41,3]],
        "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})" });
    BOOST_REQUIRE(!poll.error);
    BOOST_CHECK_EQUAL(poll.answer.clockMs, 482113);
    BOOST_REQUIRE_EQUAL(poll.answer.running.size(), 1U);
    BOOST_CHECK_EQUAL(poll.answer.running.front().key.first.index, 17U);
    BOOST_CHECK_EQUAL(poll.answer.running.front().percent, 41);
    BOOST_CHECK_EQUAL(poll.answer.running.front().recentMeasurement, 3);
    BOOST_REQUIRE_EQUAL(poll.answer.ended.size(), 1U);
    BOOST_CHECK(poll.answer.ended.front().kind == fleet::EndKind::Done);
}

BOOST_AUTO_TEST_CASE(Tickets_and_their_validity_are_decoded, *boost::unit_test::label("platform"))
{
    auto answer = decodeAdvice({}, { 200, {}, R"({"good":[["i-7f3a91c2","c81e-7a21d94b"]],"validMs":3000})" });
    BOOST_REQUIRE(answer.isAnswered);
    BOOST_REQUIRE_EQUAL(answer.tickets.size(), 1U);
    BOOST_CHECK_EQUAL(answer.tickets.front().second, "c81e-7a21d94b");
    BOOST_CHECK(answer.validity == Millis(3000));
    BOOST_CHECK(!decodeAdvice({}, { 429, {}, {} }).isAnswered);
}

BOOST_AUTO_TEST_CASE(A_wave_is_decoded_and_its_status_is_encoded, *boost::unit_test::label("platform"))
{
    Findings findings;
    auto wave = decodeWave(
        makeItem("op/wave/3", R"({"wave":3,"machines":["m-0a3f1","m-141e8"],"durationS":20,"maximum":2})"), findings);
    BOOST_REQUIRE_MESSAGE(wave, format(findings));
    BOOST_CHECK_EQUAL(wave->number, 3);
    BOOST_CHECK_EQUAL(wave->machines.size(), 2U);
    BOOST_CHECK(wave->timeLimit == Millis(20000));
    BOOST_CHECK_EQUAL(wave->mostAtOnce, 2U);
    BOOST_CHECK(!decodeWave(makeItem("op/wave/3", R"({"wave":3,"machines":"all"})"), findings));
    BOOST_CHECK_EQUAL(encodeWaveStatus(3, true).key, "status/wave/3");
    BOOST_CHECK_EQUAL(encodeWaveStatus(3, true).value, R"({"state":"completed"})");
}

BOOST_AUTO_TEST_CASE(Machines_and_the_answers_to_upkeep_orders_are_decoded, *boost::unit_test::label("platform"))
{
    using upkeep::UpkeepOutcome;
    std::vector<upkeep::Machine> machines;
    std::string nextToken;
    BOOST_REQUIRE(decodeMachines({ 200, {}, R"({"machines":[{"machine":"m-1","pool":"p","state":"upkeep","id":"i-1"},
        {"machine":5},{"machine":"m-2","state":"asleep"}],"nextPageToken":"t2"})" },
        machines, nextToken));
    BOOST_REQUIRE_EQUAL(machines.size(), 1U);
    BOOST_CHECK(machines.front().state == upkeep::MachineState::Upkeep);
    BOOST_CHECK_EQUAL(machines.front().worker, "i-1");
    BOOST_CHECK_EQUAL(nextToken, "t2");
    BOOST_CHECK(decodeUpkeepAnswer({}, { 200, {}, {} }) == UpkeepOutcome::Done);
    BOOST_CHECK(decodeUpkeepAnswer({}, { 409, {}, R"({"reason":"busy"})" }) == UpkeepOutcome::Busy);
    BOOST_CHECK(decodeUpkeepAnswer({}, { 409, {}, R"({"reason":"wave"})" }) == UpkeepOutcome::NotInWave);
    BOOST_CHECK(decodeUpkeepAnswer({}, { 429, {}, {} }) == UpkeepOutcome::Refused);
    BOOST_CHECK(decodeUpkeepAnswer(Errc::Timeout, {}) == UpkeepOutcome::Unknown);
}

BOOST_AUTO_TEST_CASE(A_failed_condition_returns_the_current_items, *boost::unit_test::label("platform"))
{
    auto result = decodeTxn(
        { 412, {}, R"({"items":[{"key":"a","value":"bm9kZS0x","revision":4,"created":4,"lease":0},{"key":"b"}]})" });
    BOOST_CHECK(result.error == Errc::Conflict);
    BOOST_REQUIRE_EQUAL(result.current.size(), 1U);
    BOOST_CHECK_EQUAL(result.current.front().value, "node-1");
    BOOST_CHECK(decodeTxn({ 404, {}, "{}" }).hasLeaseEnded);
    BOOST_CHECK(decodeTxn({ 503, {}, {} }).error == Errc::Refused);
}

// Guards against an owner that reckons with a longer lease than the store has granted.
BOOST_AUTO_TEST_CASE(The_duration_of_a_granted_lease_is_decoded, *boost::unit_test::label("platform"))
{
    auto granted = decodeLease({}, { 200, {}, R"({"lease":7,"ttlMs":1200})" });
    BOOST_CHECK(!granted.error);
    BOOST_CHECK_EQUAL(granted.lease, 7);
    BOOST_CHECK(granted.ttl == Millis(1200));
    for (const auto* odd : { R"({"lease":7})", R"({"lease":7,"ttlMs":-5})", R"({"lease":7,"ttlMs":"1"})" })
        BOOST_CHECK(decodeLease({}, { 200, {}, odd }).ttl == Millis(0));
}

// Guards against a job that runs although its submission was refused: a failure inside the store was taken for a
// refusal, and the batch that the store had applied was withdrawn.
BOOST_AUTO_TEST_CASE(A_failure_inside_the_store_leaves_the_outcome_unknown, *boost::unit_test::label("platform"))
{
    for (int status : { 500, 502, 504 })
        BOOST_CHECK(decodeTxn({ status, {}, {} }).error == Errc::OutcomeUnknown);
    for (int status : { 400, 403, 429, 503 })
        BOOST_CHECK(decodeTxn({ status, {}, {} }).error == Errc::Refused);
}

// Guards against a transaction that is sent again for ever although the store will never take it.
BOOST_AUTO_TEST_CASE(A_lasting_refusal_of_the_store_is_told_from_a_passing_one, *boost::unit_test::label("platform"))
{
    for (int status : { 400, 403, 413, 422 }) {
        auto result = decodeTxn({ status, {}, {} });
        BOOST_CHECK(result.error == Errc::Refused);
        BOOST_CHECK(result.isRefusalLasting);
    }
    for (int status : { 200, 404, 408, 412, 429, 500, 503 })
        BOOST_CHECK(!decodeTxn({ status, {}, "{}" }).isRefusalLasting);
}

RC_BOOST_PROP(Decoders_tolerate_any_bytes, (const std::string& bytes))
{
    Findings findings;
    bool hasMore = false;
    decodeItems({ 200, {}, bytes }, hasMore);
    decodeWatch({ 200, {}, bytes });
    decodeTxn({ 200, {}, bytes });
    decodePollAnswer({}, { 200, {}, bytes });
    decodeOrderAnswer({}, { 409, {}, bytes });
    decodeAdvice({}, { 200, {}, bytes });
    decodeListing(makeItem("servers/x", bytes), findings);
    decodeDesiredState(makeItem("op/config", bytes), findings);
    decodeWave(makeItem("op/wave/1", bytes), findings);
    decodeUpkeepAnswer({}, { 409, {}, bytes });
    std::vector<upkeep::Machine> machines;
    std::string nextToken;
    decodeMachines({ 200, {}, bytes }, machines, nextToken);
    decodeCall({ "POST", "/", {}, bytes }, "5c0e7a21d94b36f8", findings);
    readSettings(bytes, findings);
    decodeTaskName(bytes);
}

//! Valid JSON of the wrong structure gets further into the decoders than random bytes.
RC_BOOST_PROP(Decoders_tolerate_any_values_in_known_fields, (int number, bool flag, const std::string& text))
{
    for (const char* name : { "items", "events", "running", "ended", "steps", "routes", "tenants", "capacity",
             "address", "clockMs", "born", "revision", "labels", "state", "reason", "machines", "wave" }) {
        for (const nlohmann::json& value : { nlohmann::json(number), nlohmann::json(flag), nlohmann::json(text),
                 nlohmann::json { number, text }, nlohmann::json { { name, number } }, nlohmann::json(nullptr),
                 nlohmann::json::array({ nlohmann::json::array({ text, number, text, number }) }) }) {
            auto body = json::dump({ { name, value }, { "asOf", 1 }, { "version", 1 }, { "service", "s" } });
            Findings findings;
            bool hasMore = false;
            decodeItems({ 200, {}, body }, hasMore);
            decodeWatch({ 200, {}, body });
            decodeTxn({ 412, {}, body });
            decodePollAnswer({}, { 200, {}, body });
            decodeOrderAnswer({}, { 409, {}, body });
            decodeAdvice({}, { 200, {}, body });
            decodeListing(makeItem("servers/x", body), findings);
            decodeDesiredState(makeItem("op/config", body), findings);
            decodeWave(makeItem("op/wave/1", body), findings);
            decodeUpkeepAnswer({}, { 409, {}, body });
            std::vector<upkeep::Machine> machines;
            std::string nextToken;
            decodeMachines({ 200, {}, body }, machines, nextToken);
            decodeCall({ "POST", "/", {}, body }, "5c0e7a21d94b36f8", findings);
        }
    }
}

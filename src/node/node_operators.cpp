//! The part of Node that serves metrics and operator pages at the metrics address.
#include "agatevane/event_log/event_log.h"
#include "agatevane/fleet/evacuation.h"
#include "agatevane/fleet/free_share.h"
#include "agatevane/json/reader.h"
#include "node/node.h"
#include "node/operator_pages.h"
#include <nlohmann/json.hpp>

namespace agatevane::node {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;

    //! Time in which the owner has to answer. An operator's client waits longer than this.
    constexpr Millis pageTimeout { 2000 };

    event_http::Response jsonResponse(int status, const nlohmann::json& body)
    {
        return { status, { { "content-type", "application/json" } }, json::dump(body) };
    }

    event_http::Response problem(int status, const std::string& title)
    {
        return jsonResponse(status, { { "status", status }, { "title", title } });
    }

    void setEvacuationGauges(const fleet::Fleet& fleet)
    {
        auto summaries = fleet::summarizeEvacuations(fleet);
        std::size_t runs = 0;
        for (const auto& summary : summaries)
            runs += summary.runs;
        auto& registry = metrics::registry();
        registry.gauge("agatevane_evacuated_data_centres", "Data centres in which nothing may start")
            .set(static_cast<double>(summaries.size()));
        registry.gauge("agatevane_runs_in_evacuated_data_centres", "Runs that go on in evacuated data centres")
            .set(static_cast<double>(runs));
    }

    void setPreemptionMetrics(metrics::Registry& registry, const fleet::Fleet& fleet)
    {
        for (const auto& [cause, stops] : fleet.stopsByCause) {
            registry
                .gauge("agatevane_run_stops", "Runs ordered to stop in this tenure, by cause", { { "cause", cause } })
                .set(static_cast<double>(stops));
        }
        registry
            .gauge("agatevane_preemption_lost_core_seconds",
                "Core-seconds lost by stops for more urgent work in this tenure")
            .set(fleet.preemptedCoreSeconds);
        registry.gauge("agatevane_urgent_reserve_accelerators", "Free accelerators that are kept for urgent work")
            .set(static_cast<double>(fleet.urgentReserve.reservedAccelerators));
        registry.gauge("agatevane_room_holds", "Steps for which freed capacity is held")
            .set(static_cast<double>(fleet.roomHolds.byStep.size()));
    }

} // namespace

void Node::handleOperator(const event_http::Request& request, const event_http::Respond& respond)
{
    std::string_view path = request.target;
    path = path.substr(0, path.find('?'));
    if (!path.starts_with("/v1/"))
        return respond(metricsPage());
    if (path == "/v1/members")
        return respond(jsonResponse(statusOk, membersPage()));
    if (path == "/v1/owners")
        return respond(jsonResponse(statusOk, ownersPage()));
    if (fleetOwner_ && fleetOwner_->isReady()) {
        auto page = fleetPage(path);
        return respond(page ? jsonResponse(statusOk, *page) : problem(statusNotFound, "no such page or job"));
    }
    const auto& owner = election_.owner();
    if (fleetOwner_ || owner.revision == 0 || owner.record.name == settings_.name)
        return respond(problem(statusUnavailable, "no node serves the fleet"));
    clientOf(owner.record.address)
        .call(static_cast<std::uint16_t>(PeerMessage::Page), net::encode(PageRequest { std::string(path) }),
            now() + pageTimeout, liveness_.guard([respond](std::error_code error, const std::string& payload) {
                PageReply reply;
                if (error || !net::decode(payload, reply) || !reply.isOwner)
                    return respond(problem(statusUnavailable, "the owner of the fleet has not answered"));
                if (!reply.isFound)
                    return respond(problem(statusNotFound, "no such page or job"));
                respond({ statusOk, { { "content-type", "application/json" } }, reply.body });
            }));
}

void Node::handlePageRequest(const PageRequest& request, const net::Reply& reply)
{
    PageReply answer;
    answer.isOwner = fleetOwner_ && fleetOwner_->isReady();
    if (answer.isOwner) {
        auto page = fleetPage(request.path);
        answer.isFound = page.has_value();
        answer.body = page ? json::dump(*page) : std::string();
    }
    reply(net::encode(answer));
}

std::optional<nlohmann::json> Node::fleetPage(std::string_view path) const
{
    const auto* upkeep = fleetOwner_->upkeepController();
    return operatorPage(
        { fleetOwner_->fleet(), upkeep ? &upkeep->state() : nullptr, settings_.name, unixMillis(), bootNow() }, path);
}

nlohmann::json Node::membersPage() const
{
    auto rows = nlohmann::json::array();
    auto add = [&](const std::string& name, const net::PeerAddress& address) {
        bool isOwner = name == election_.owner().record.name;
        rows.push_back(
            { { "member", name }, { "address", net::toString(address) }, { "state", isOwner ? "owner" : "follower" } });
    };
    add(settings_.name, settings_.peerAddress);
    for (const auto& [name, address] : peers_)
        add(name, address);
    return { { "members", std::move(rows) }, { "askedMember", settings_.name },
        { "desiredRevision", desiredFeed_.revision() } };
}

nlohmann::json Node::ownersPage() const
{
    const auto& owner = election_.owner();
    auto rows = nlohmann::json::array();
    if (owner.revision != 0) {
        rows.push_back({ { "dataCentre", "all" }, { "owner", owner.record.name },
            { "address", net::toString(owner.record.address) }, { "revision", owner.revision } });
    }
    return { { "owners", std::move(rows) } };
}

void Node::setConnectionMetrics() const
{
    using event_http::Audience;
    auto& registry = metrics::registry();
    auto set = [&](Audience audience, const event_http::Server& server) {
        metrics::Labels labels { { "address", std::string(nameOf(audience)) } };
        registry.gauge("agatevane_client_connections", "Open connections of clients", labels)
            .set(static_cast<double>(server.connectionCount()));
        registry.gauge("agatevane_client_held_bytes", "Memory that the connections of clients hold", labels)
            .set(static_cast<double>(connectionBudget_->used(audience)));
        registry.gauge("agatevane_client_share_bytes", "Memory that the connections of clients may hold", labels)
            .set(static_cast<double>(connectionBudget_->share(audience)));
    };
    registry.gauge("agatevane_request_held_bytes", "Memory that callers' requests under way are reckoned to take")
        .set(static_cast<double>(requestBytes_));
    set(Audience::Callers, *callerServer_);
    set(Audience::Readiness, *readinessServer_);
    set(Audience::Operators, *metricsServer_);
}

event_http::Response Node::metricsPage() const
{
    auto& registry = metrics::registry();
    registry.gauge("agatevane_is_owner", "1 while this node owns the fleet").set(fleetOwner_ ? 1 : 0);
    registry.gauge("agatevane_desired_revision", "Revision of the desired state in force")
        .set(static_cast<double>(desiredFeed_.revision()));
    auto at = bootNow();
    auto secondsSince = [at](Instant since) { return std::chrono::duration<double>(at - since).count(); };
    registry.gauge("agatevane_desired_state_newest_revision", "Newest revision of the desired state that is known")
        .set(static_cast<double>(desiredFeed_.newestRevision()));
    auto behindSince = desiredFeed_.behindSince();
    registry
        .gauge("agatevane_desired_state_behind_seconds",
            "Time for which a newer desired state has been known and not in force")
        .set(behindSince ? secondsSince(*behindSince) : 0);
    registry
        .gauge("agatevane_desired_state_unchecked_seconds",
            "Time since the store last answered a call for the desired state")
        .set(secondsSince(desiredFeed_.storeAnsweredAt()));
    registry.gauge("agatevane_log_lines_dropped", "Log lines dropped since the start")
        .set(static_cast<double>(event_log::droppedLines()));
    setConnectionMetrics();
    if (fleetOwner_) {
        const auto& fleet = fleetOwner_->fleet();
        registry.gauge("agatevane_open_jobs", "Accepted jobs that have not ended")
            .set(static_cast<double>(fleet.openJobs.size()));
        registry.gauge("agatevane_jobs_unreadable", "Accepted jobs whose records can't be read")
            .set(static_cast<double>(fleet.unreadableJobs.size()));
        registry.gauge("agatevane_denials_stored", "Jobs in stored records of cancellations that found no such job")
            .set(static_cast<double>(fleet.denials.storedJobs));
        auto oldestChange = fleetOwner_->oldestPendingChange();
        registry
            .gauge("agatevane_oldest_unstored_change_seconds", "Age of the oldest change that the store does not hold")
            .set(oldestChange ? secondsSince(*oldestChange) : 0);
        registry.gauge("agatevane_workers", "Workers known").set(static_cast<double>(fleet.workers.size()));
        registry.gauge("agatevane_entries_ignored", "Entries among the workers' that name no worker to use")
            .set(static_cast<double>(fleetOwner_->ignoredEntries()));
        auto setWatchAge = [&registry, at](const std::string& keys, const PrefixFollower& follower) {
            registry
                .gauge("agatevane_store_watch_age_seconds",
                    "Time since the store last answered the owner's watch of these keys", { { "keys", keys } })
                .set(std::chrono::duration<double>(follower.answerAge(at)).count());
        };
        setWatchAge("workers", fleetOwner_->workersFollower());
        if (const auto* upkeep = fleetOwner_->upkeepController())
            setWatchAge("waves", upkeep->wavesFollower());
        registry.gauge("agatevane_run_time_queues", "Queues whose run times were learned from finished runs")
            .set(static_cast<double>(fleet.runTimes.model.queues.size()));
        if (const auto* evacuations = fleetOwner_->evacuationFeed())
            setWatchAge("evacuations", evacuations->follower());
        setEvacuationGauges(fleet);
        registry.gauge("agatevane_starts_ordered", "Starts ordered in this tenure")
            .set(static_cast<double>(fleet.startsOrdered));
        registry.gauge("agatevane_preemptions", "Tasks or gangs stopped for more urgent work in this tenure")
            .set(static_cast<double>(fleet.preemptedRuns));
        setPreemptionMetrics(registry, fleet);
        registry
            .gauge("agatevane_rounds_deferred",
                "Rounds in this tenure that left work waiting because enough starts were under way")
            .set(static_cast<double>(fleet.deferredRounds));
        registry.gauge("agatevane_worker_visits", "Workers that rounds of decisions have looked at in this tenure")
            .set(static_cast<double>(fleet.workerVisits));
        registry.gauge("agatevane_fillers_slowed", "Times that the fillers of a worker were slowed in this tenure")
            .set(static_cast<double>(fleet.fillerSlowdowns));
        const auto& history = fleet.workerHistory;
        registry.gauge("agatevane_workers_suspected", "Workers whose recent runs failed by their fault")
            .set(static_cast<double>(history.suspects.size()));
        registry.gauge("agatevane_workers_held_back", "Suspected workers that get no work while others could hold it")
            .set(static_cast<double>(history.heldBackWorkers));
        registry.gauge("agatevane_starts_on_suspects", "Starts ordered on suspected workers in this tenure")
            .set(static_cast<double>(history.startsOnSuspects));
        registry
            .gauge("agatevane_usable_free_share",
                "Share of the free accelerators that the waiting step with the largest tasks could use")
            .set(fleet::usableFreeShare(fleet, unixMillis(), at));
    }
    return { statusOk, { { "content-type", metrics::contentType } }, registry.render() };
}

} // namespace agatevane::node

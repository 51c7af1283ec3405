#include "fakes.h"

namespace agatevane::test {

namespace {

    constexpr const char* serviceName = "training";

} // namespace

node::StatePeers noPeers()
{
    return { [] { return std::vector<net::PeerAddress>(); }, [](const auto&, const auto&, Instant, const auto&) {} };
}

fleet::WorkerListing sampleWorker(int number)
{
    fleet::WorkerListing listing;
    listing.id = "w" + std::to_string(number);
    listing.address = { "127.0.0.1", 1000 + number };
    listing.service = serviceName;
    listing.rack = "r1";
    listing.labels = { "a", "r1" };
    listing.capacity = { 64000, 128000, 8 };
    listing.incarnation = 1;
    return listing;
}

desired_state::Queue sampleQueue()
{
    desired_state::Queue queue;
    queue.name = "queue";
    queue.host = "jobs.example";
    queue.prefix = "/q/";
    queue.service = serviceName;
    queue.priority = 1;
    queue.maxAttempts = 3;
    queue.objectiveFactor = 3;
    queue.allowsAnonymous = true;
    return queue;
}

fleet::JobSpec sampleJob(const fleet::JobId& id, std::int64_t durationMs)
{
    fleet::JobSpec spec;
    spec.id = id;
    spec.payload = "ms=" + std::to_string(durationMs);
    fleet::StepSpec step;
    step.need = { 1000, 1000, 1 };
    step.estimatedMs = durationMs;
    spec.steps.push_back(step);
    return spec;
}

node::Translation plainTranslation()
{
    node::Translation translation;
    translation.decodeCall = [](const event_http::Request& request, std::string_view path, Findings&) {
        node::CallerRequest call;
        call.job = path;
        call.kind = request.method == "POST" ? node::CallKind::Submit
            : request.method == "DELETE"     ? node::CallKind::Cancel
                                             : node::CallKind::QueryState;
        call.spec = sampleJob(call.job, request.body.empty() ? 100 : std::stoll(request.body));
        return std::optional(call);
    };
    translation.hostOf
        = [](const event_http::Request& request) { return event_http::headerOf(request.headers, "x-queue-host"); };
    translation.apiKeyOf = [](const event_http::Request&) { return std::string(); };
    translation.timeoutOf = [](const event_http::Request& request) {
        auto text = std::string(event_http::headerOf(request.headers, "x-patience"));
        return std::optional(Millis(text.empty() ? 3000 : std::stoll(text)));
    };
    translation.encodeAnswer = [](const node::CallerAnswer& answer) {
        event_http::Response response;
        response.status = answer.status == node::CallStatus::Ok ? 200 : 500 + static_cast<int>(answer.status);
        response.body = answer.state ? std::to_string(static_cast<int>(*answer.state)) : answer.reason;
        return response;
    };
    translation.desiredStateKey = "desired";
    translation.decodeDesiredState = [](const kv::Item& item, Findings&) {
        desired_state::DesiredState state;
        state.version = std::stoll(item.value);
        state.revision = item.revision;
        state.queues.push_back(sampleQueue());
        state.maxBodyBytes = maxBodyBytes;
        return std::optional(state);
    };
    translation.workerPrefix = "workers/";
    translation.decodeListing = [](const kv::Item& item, Findings& findings) -> std::optional<fleet::WorkerListing> {
        fleet::WorkerListing listing;
        if (net::decode(item.value, listing))
            return listing;
        findings.push_back({ item.key, "can't be read" });
        return std::nullopt;
    };
    translation.isReadinessCheck = [](const event_http::Request&) { return true; };
    return translation;
}

bool runUntil(asio::io_context& context, Millis limit, const std::function<bool()>& condition)
{
    auto end = now() + limit;
    while (!condition()) {
        if (now() >= end)
            return false;
        context.restart();
        context.run_for(Millis(5));
    }
    return true;
}

} // namespace agatevane::test

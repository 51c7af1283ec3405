#include "load/plan.h"

#include "agatevane/json/reader.h"
#include "agatevane/settings/settings.h"
#include <algorithm>
#include <charconv>

namespace agatevane::load {

namespace {

    //! Parses a list such as "token=weight,token". A weight that is left out is 1. Returns an error text or "".
    std::string readCallers(const std::string& text, std::vector<WeightedCaller>& callers)
    {
        callers.clear();
        for (const auto& part : settings::splitList(text)) {
            WeightedCaller caller;
            auto equals = part.find('=');
            caller.token = part.substr(0, equals);
            if (equals != std::string::npos) {
                auto digits = std::string_view(part).substr(equals + 1);
                auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), caller.weight);
                if (error != std::errc() || end != digits.data() + digits.size() || !(caller.weight > 0))
                    return "\"" + part + "\" is not token=weight";
            }
            callers.push_back(std::move(caller));
        }
        return callers.empty() ? "names no caller" : "";
    }

    std::string makeCallBody(const LoadSettings& settings, std::uint64_t number, Random& random)
    {
        double mean = std::max(1, settings.callMs);
        auto ms = static_cast<std::int64_t>(std::exponential_distribution<double>(1 / mean)(random));
        return json::dump({ { "request", number }, { "run", settings.runToken }, { "durationMs", ms },
            { "answerBytes", settings.answerBytes } });
    }

    std::string makeJobBody(const LoadSettings& settings, const PlannedRequest& request)
    {
        return json::dump(
            { { "kind", "load" }, { "class", nameOf(request.workClass) }, { "accelerators", settings.accelerators },
                { "expectedSeconds", settings.jobSeconds }, { "canCheckpoint", true } });
    }

    void addArrivals(const LoadSettings& settings, RequestKind kind, double perSecond, Random& random,
        std::vector<PlannedRequest>& plan)
    {
        if (perSecond <= 0)
            return;
        std::vector<double> weights;
        weights.reserve(settings.callers.size());
        for (const auto& caller : settings.callers)
            weights.push_back(caller.weight);
        std::discrete_distribution<std::size_t> callers(weights.begin(), weights.end());
        std::discrete_distribution<int> classes(settings.classWeights.begin(), settings.classWeights.end());
        std::uniform_real_distribution<double> uniform(0, 1);
        std::exponential_distribution<double> interval(perSecond / 1000);
        for (double at = interval(random); at < static_cast<double>(settings.duration.count());
             at += interval(random)) {
            PlannedRequest request;
            request.at = Millis(static_cast<std::int64_t>(at));
            request.kind = kind;
            request.workClass = static_cast<WorkClass>(classes(random));
            request.caller = callers(random);
            request.entry = plan.size() % settings.entries.size();
            request.isIdempotent = kind == RequestKind::Call && uniform(random) < settings.idempotentShare;
            request.isRepeated = !request.isIdempotent && uniform(random) < settings.repeatShare;
            if (!request.isIdempotent)
                request.key = settings.runToken + "-" + std::to_string(plan.size());
            request.body = kind == RequestKind::Call ? makeCallBody(settings, plan.size(), random)
                                                     : makeJobBody(settings, request);
            plan.push_back(std::move(request));
        }
    }

} // namespace

std::optional<int> readSettings(
    int argc, const char* const* argv, LoadSettings& result, std::ostream& out, std::ostream& err)
{
    using json::Presence;
    settings::Settings reader("agatevane-load", "Sends calls and jobs at a fixed rate and checks every answer",
        "agatevane-load --entry 10.0.0.1:8080,10.0.0.2:8080 --service visitdesk --callers secret1=1,secret2=100");
    http::Endpoint control;
    reader.endpoints("--entry", result.entries, "HTTP addresses of entry VMs, used in turn", Presence::Required);
    reader.text("--service", result.service.value, "service of the calls", Presence::Required, 64);
    reader.custom(
        "--callers", "bearer tokens with their weights", "",
        [&result](const std::string& text) { return readCallers(text, result.callers); }, Presence::Required);
    reader.real("--calls-per-second", result.callsPerSecond, 0, 100000, "mean arrival rate of calls");
    reader.real("--jobs-per-second", result.jobsPerSecond, 0, 1000, "mean arrival rate of jobs");
    reader.duration(
        "--duration-ms", result.duration, Millis(100), Millis(24 * 3600 * 1000), "time during which requests arrive");
    reader.real("--urgent", result.classWeights[0], 0, 1000, "weight of the class");
    reader.real("--standard", result.classWeights[1], 0, 1000, "weight of the class");
    reader.real("--batch", result.classWeights[2], 0, 1000, "weight of the class");
    reader.real("--idempotent-share", result.idempotentShare, 0, 1, "share of calls that may run more than once");
    reader.real("--repeat-share", result.repeatShare, 0, 1, "share of calls with a key that are sent again");
    reader.integer("--call-ms", result.callMs, 0, 600000, "mean run time of a call");
    reader.integer("--answer-bytes", result.answerBytes, 0, 4 << 20, "minimum size of an answer");
    reader.duration("--deadline-ms", result.deadline, Millis(1), Millis(300000), "deadline of each call");
    reader.integer("--accelerators", result.accelerators, 1, 128, "accelerators of each job");
    reader.integer("--job-seconds", result.jobSeconds, 1, 86400, "declared run time of each job");
    reader.integer("--threads", result.threads, 1, 4000, "maximum number of requests in flight");
    reader.integer("--seed", result.seed, std::int64_t(0), std::int64_t(1) << 62,
        "seed of arrivals, classes, callers and run times");
    reader.choice("--format", result.format, "form of the report");
    reader.endpoint(
        "--worker-control", control, "control address of standin-worker, to check which calls were executed");
    reader.check([&result](Findings& findings) {
        if (result.classWeights[0] + result.classWeights[1] + result.classWeights[2] <= 0)
            findings.push_back({ "--urgent, --standard, --batch", "one weight must be above 0" });
    });
    auto random = makeRandom();
    result.runToken = randomToken(random);
    auto exitCode = reader.parseOrPrint(argc, argv, out, err);
    if (reader.isGiven("--worker-control"))
        result.workerControl = control;
    return exitCode;
}

std::vector<PlannedRequest> planRequests(const LoadSettings& settings)
{
    Random random(static_cast<std::uint64_t>(settings.seed));
    std::vector<PlannedRequest> plan;
    addArrivals(settings, RequestKind::Call, settings.callsPerSecond, random, plan);
    addArrivals(settings, RequestKind::Job, settings.jobsPerSecond, random, plan);
    std::stable_sort(plan.begin(), plan.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return plan;
}

} // namespace agatevane::load

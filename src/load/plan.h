#pragma once

#include "agatevane/base/id.h"
#include "agatevane/base/instant.h"
#include "agatevane/base/random.h"
#include "agatevane/base/work_class.h"
#include "agatevane/http/client.h"
#include <array>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace agatevane::load {

enum class Format { Table, Json };

} // namespace agatevane::load

template <> struct agatevane::EnumNames<agatevane::load::Format> {
    static constexpr std::array<std::pair<agatevane::load::Format, std::string_view>, 2> table { {
        { agatevane::load::Format::Table, "table" },
        { agatevane::load::Format::Json, "json" },
    } };
};

namespace agatevane::load {

//! One caller and how often it asks, relative to the others.
struct CallerMix {
    std::string token;
    double weight = 1;
};

struct LoadSettings {
    std::vector<http::Endpoint> entries; //!< used in turn, as a balancer does
    ServiceId service;
    double callsPerSecond = 100;
    double jobsPerSecond = 0;
    Millis duration { 10000 };
    std::vector<CallerMix> callers;
    std::array<double, 3> classWeights { 1, 1, 1 }; //!< by WorkClass
    double idempotentShare = 1;
    double repeatShare = 0; //!< of the calls with a key: sent again, to another entry
    int callMs = 20; //!< mean of the exponential run time that the call asks for
    int answerBytes = 0;
    Millis deadline { 2000 };
    int accelerators = 1; //!< of a job
    int jobSeconds = 10;
    int threads = 256; //!< requests in flight at most
    std::int64_t seed = 1;
    Format format = Format::Table;
    std::optional<http::Endpoint> workerControl; //!< of standin-worker, to check what really ran
};

//! The exit code, if the program must end.
std::optional<int> readSettings(
    int argc, const char* const* argv, LoadSettings& result, std::ostream& out, std::ostream& err);

enum class RequestKind { Call, Job };

//! One request, fixed before the run, so that the same seed asks for the same work.
struct PlannedRequest {
    Millis at { 0 }; //!< since the start of the run
    RequestKind kind = RequestKind::Call;
    WorkClass workClass = WorkClass::Standard;
    std::size_t caller = 0;
    std::size_t entry = 0;
    bool isIdempotent = true;
    bool isRepeated = false;
    std::string key; //!< empty if idempotent
    std::string body;
};

//! Arrivals are a Poisson process; they do not wait for answers.
std::vector<PlannedRequest> planRequests(const LoadSettings& settings);

} // namespace agatevane::load

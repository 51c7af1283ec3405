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

//! One caller and its share of the requests, relative to the other callers.
struct WeightedCaller {
    std::string token;
    double weight = 1;
};

struct LoadSettings {
    std::vector<http::Endpoint> entries; //!< used in turn, as a load balancer does
    ServiceId service;
    double callsPerSecond = 100;
    double jobsPerSecond = 0;
    Millis duration { 10000 };
    std::vector<WeightedCaller> callers;
    std::array<double, 3> classWeights { 1, 1, 1 }; //!< indexed by WorkClass
    double idempotentShare = 1;
    double repeatShare = 0; //!< share of the calls with a key that are sent again, to another entry VM
    int callMs = 20; //!< mean of the exponentially distributed run time that a call requests
    int answerBytes = 0;
    Millis deadline { 2000 };
    int accelerators = 1; //!< accelerators of each job
    int jobSeconds = 10;
    int threads = 256; //!< maximum number of requests in flight
    std::int64_t seed = 1;
    std::string runToken; //!< part of bodies and keys; separates runs with the same seed in the workers' log
    Format format = Format::Table;
    //! Control address of standin-worker, to check which calls were executed.
    std::optional<http::Endpoint> workerControl;
};

//! Returns the exit code if the program must end.
std::optional<int> readSettings(
    int argc, const char* const* argv, LoadSettings& result, std::ostream& out, std::ostream& err);

enum class RequestKind { Call, Job };

//! One request. All requests are planned before the run, so that the same seed requests the same work at the same
//! times.
struct PlannedRequest {
    Millis at { 0 }; //!< planned arrival, since the start of the run
    RequestKind kind = RequestKind::Call;
    WorkClass workClass = WorkClass::Standard;
    std::size_t caller = 0;
    std::size_t entry = 0;
    bool isIdempotent = true;
    bool isRepeated = false;
    std::string key; //!< empty if idempotent
    std::string body;
};

//! Plans requests that arrive as a Poisson process. An arrival does not wait for the answers to earlier requests.
std::vector<PlannedRequest> planRequests(const LoadSettings& settings);

} // namespace agatevane::load

#pragma once

#include "agatevane/base/id.h"
#include "agatevane/http/client.h"
#include "agatevane/worker_api/worker_api.h"
#include <memory>
#include <mutex>
#include <unordered_map>

namespace agatevane::entry {

enum class CallOutcome {
    Answered, //!< whole answer of this attempt; the status may be an error of the service
    Leaving, //!< refused before the start
    Full, //!< refused before the start
    Unreachable, //!< no connection, hence not run
    TimedOut, //!< may have run
    Broken //!< may have run; the answer was lost, truncated or that of another attempt
};

//! Whether the attempt certainly did not run.
inline bool isNotRun(CallOutcome outcome)
{
    return outcome == CallOutcome::Leaving || outcome == CallOutcome::Full || outcome == CallOutcome::Unreachable;
}

struct WorkerAnswer {
    CallOutcome outcome = CallOutcome::Unreachable;
    int status = 0;
    std::string contentType;
    std::string body;
};

//! The path in "ip:port/base"; often empty.
std::string basePathOf(const std::string& address);

//! HTTP clients of the workers, by address. Thread-safe.
class WorkerClient {
public:
    //! Sends the call once and checks that the answer is whole and belongs to `attempt`.
    WorkerAnswer call(const std::string& address, const AttemptId& attempt, const ServiceId& service,
        const std::string& body, Instant deadline);

    //! False if no valid report arrived before the deadline.
    bool report(const std::string& address, Instant deadline, WorkerReport& report);

    //! Drops the connections to workers that are in use no more.
    void keepOnly(const std::vector<std::string>& addresses);

    //! Null if the address cannot be read.
    std::shared_ptr<http::Client> clientOf(const std::string& address);

private:
    std::mutex mutex_;
    std::unordered_map<std::string, std::shared_ptr<http::Client>> clients_;
};

} // namespace agatevane::entry

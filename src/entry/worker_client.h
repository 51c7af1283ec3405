#pragma once

#include "agatevane/base/id.h"
#include "agatevane/http/client.h"
#include "agatevane/worker_api/worker_api.h"
#include <memory>
#include <mutex>
#include <unordered_map>

namespace agatevane::entry {

enum class CallOutcome {
    Answered, //!< the answer of this attempt is complete; its status may be an error of the service
    Leaving, //!< the worker is leaving and refused the call before the start
    Full, //!< the worker has no free slot and refused the call before the start
    Unreachable, //!< no connection could be made, so the call did not run
    TimedOut, //!< the call may have run
    InvalidAnswer //!< the call may have run; its answer was lost, truncated or that of another attempt
};

//! Returns whether the attempt certainly did not run.
inline bool didNotRun(CallOutcome outcome)
{
    return outcome == CallOutcome::Leaving || outcome == CallOutcome::Full || outcome == CallOutcome::Unreachable;
}

struct WorkerAnswer {
    CallOutcome outcome = CallOutcome::Unreachable;
    int status = 0;
    std::string contentType;
    std::string body;
};

//! Returns the path in an address "ip:port/base", such as "/base". It is often empty.
std::string basePathOf(const std::string& address);

//! Sends calls to workers. Keeps one HTTP client for each address. Thread-safe.
class WorkerClient {
public:
    //! Sends the call once and checks that the answer is complete and belongs to `attempt`.
    WorkerAnswer call(const std::string& address, const AttemptId& attempt, const ServiceId& service,
        const std::string& body, Instant deadline);

    //! Requests the worker's report. Returns false if no valid report arrived before the deadline.
    bool report(const std::string& address, Instant deadline, WorkerReport& report);

    //! Drops the connections to all workers except those with the given addresses.
    void dropClientsExcept(const std::vector<std::string>& addresses);

    //! Returns null if the address is invalid.
    std::shared_ptr<http::Client> clientOf(const std::string& address);

private:
    std::mutex mutex_;
    std::unordered_map<std::string, std::shared_ptr<http::Client>> clients_;
};

} // namespace agatevane::entry

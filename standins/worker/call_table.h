#pragma once

#include "agatevane/base/id.h"
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

//! The calls (short requests) of one worker, as state without input or output.
namespace agatevane::standin {

enum class CallState { NeverSeen, Running, Done, Forbidden };

struct CallAnswer {
    int status = 200;
    std::string body;
};

//! One start of a call. Tests detect double executions by the digest of the request's body.
struct Execution {
    AttemptId attempt;
    ServiceId service;
    std::string bodyDigest;
    std::string instance;
    std::int64_t startedMs = 0; //!< on the worker's clock
};

struct CallRecord {
    CallState state = CallState::NeverSeen;
    CallAnswer answer;
};

struct CallTable {
    std::unordered_map<AttemptId, CallRecord> calls; //!< a restart clears it
    std::vector<Execution> executions; //!< a restart keeps it
};

//! The work of a call. Its body may be a JSON object with these members, so that a test can choose the work.
struct CallWork {
    std::int64_t durationMs = 0;
    std::size_t answerBytes = 0;
    int status = 200;
};

CallWork parseCallWork(const std::string& body, std::int64_t defaultDurationMs);

//! Records the start of a call. False if the attempt is forbidden. An attempt that is sent twice is executed twice,
//! since a worker cannot know whether its caller repeated it on purpose.
bool begin(CallTable& table, const Execution& execution);
void finish(CallTable& table, const AttemptId& attempt, CallAnswer answer);

//! Forbids the attempt if the worker has never seen it. Returns the attempt's state afterwards.
CallState forbid(CallTable& table, const AttemptId& attempt);

CallRecord find(const CallTable& table, const AttemptId& attempt);

//! The answer depends only on the request, so that a test can tell which request an answer belongs to.
CallAnswer makeAnswer(const ServiceId& service, const std::string& body, const CallWork& work);

} // namespace agatevane::standin

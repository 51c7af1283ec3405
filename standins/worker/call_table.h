#pragma once

#include "agatevane/base/id.h"
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

//! The short requests of one worker as pure state.
namespace agatevane::standin {

enum class CallState { NeverSeen, Running, Done, Forbidden };

struct CallAnswer {
    int status = 200;
    std::string body;
};

//! One start of a call. A test finds doubles by the digest of the request's body.
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
    std::unordered_map<AttemptId, CallRecord> calls; //!< lost at a restart
    std::vector<Execution> executions; //!< kept over restarts
};

//! The body of a call may be a JSON object with these members, so that a test can set the work to be done.
struct CallWork {
    std::int64_t durationMs = 0;
    std::size_t answerBytes = 0;
    int status = 200;
};

CallWork workOf(const std::string& body, std::int64_t defaultDurationMs);

//! False if the attempt is forbidden. An attempt that is sent twice is executed twice, since a worker cannot know that
//! its caller meant it once.
bool begin(CallTable& table, const Execution& execution);
void finish(CallTable& table, const AttemptId& attempt, CallAnswer answer);

//! Forbids the attempt if it was never seen; returns its state afterwards.
CallState forbid(CallTable& table, const AttemptId& attempt);

CallRecord find(const CallTable& table, const AttemptId& attempt);

//! The same for the same request, so that a test can recognise whose answer it has got.
CallAnswer makeAnswer(const ServiceId& service, const std::string& body, const CallWork& work);

} // namespace agatevane::standin

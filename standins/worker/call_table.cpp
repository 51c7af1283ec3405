#include "standins/worker/call_table.h"

#include "agatevane/base/hash.h"
#include "agatevane/json/reader.h"

namespace agatevane::standin {

CallWork parseCallWork(const std::string& body, std::int64_t defaultDurationMs)
{
    CallWork work { .durationMs = defaultDurationMs };
    Findings findings;
    nlohmann::json value;
    if (!json::parse(body, "body", value, findings) || !value.is_object())
        return work;
    std::int64_t answerBytes = 0;
    json::ObjectReader reader(value, "", findings);
    reader.read("durationMs", work.durationMs, json::Presence::Optional, 0, 3600000);
    reader.read("answerBytes", answerBytes, json::Presence::Optional, 0, 4 << 20);
    reader.read("status", work.status, json::Presence::Optional, 200, 599);
    work.answerBytes = static_cast<std::size_t>(answerBytes);
    return work;
}

bool begin(CallTable& table, const Execution& execution)
{
    auto& record = table.calls[execution.attempt];
    if (record.state == CallState::Forbidden)
        return false;
    record.state = CallState::Running;
    table.executions.push_back(execution);
    return true;
}

void finish(CallTable& table, const AttemptId& attempt, CallAnswer answer)
{
    auto found = table.calls.find(attempt);
    if (found != table.calls.end())
        found->second = { CallState::Done, std::move(answer) };
}

CallState forbid(CallTable& table, const AttemptId& attempt)
{
    auto& record = table.calls[attempt];
    if (record.state == CallState::NeverSeen)
        record.state = CallState::Forbidden;
    return record.state;
}

CallRecord find(const CallTable& table, const AttemptId& attempt)
{
    auto found = table.calls.find(attempt);
    return found == table.calls.end() ? CallRecord {} : found->second;
}

CallAnswer makeAnswer(const ServiceId& service, const std::string& body, const CallWork& work)
{
    nlohmann::json answer { { "service", service.value }, { "requestDigest", digestOf(body) },
        { "requestLength", body.size() } };
    if (work.answerBytes > 0) {
        answer["padding"] = "";
        auto length = json::dump(answer).size();
        if (length < work.answerBytes)
            answer["padding"] = std::string(work.answerBytes - length, 'x');
    }
    return { work.status, json::dump(answer) };
}

} // namespace agatevane::standin

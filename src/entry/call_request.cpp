#include "entry/call_request.h"

#include <charconv>

namespace agatevane::entry {

namespace {

    constexpr std::int64_t maxTimeoutMs = 300000;
    constexpr std::size_t maxKeyLength = 256;

} // namespace

Findings readCallOptions(const http::Request& request, Millis defaultTimeout, CallOptions& options)
{
    Findings findings;
    options.timeout = defaultTimeout;
    if (auto text = http::headerOf(request.headers, "Agatevane-Class"); !text.empty()) {
        if (auto workClass = fromName<WorkClass>(text))
            options.workClass = *workClass;
        else
            findings.push_back({ "Agatevane-Class", "must be urgent, standard or batch" });
    }
    if (auto text = http::headerOf(request.headers, "Agatevane-Deadline-Ms"); !text.empty()) {
        std::int64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error == std::errc() && end == text.data() + text.size() && value >= 1 && value <= maxTimeoutMs)
            options.timeout = Millis(value);
        else
            findings.push_back({ "Agatevane-Deadline-Ms", "must be a number from 1 to 300000" });
    }
    auto idempotent = http::headerOf(request.headers, "Agatevane-Idempotent");
    options.isIdempotent = idempotent == "true";
    if (!idempotent.empty() && idempotent != "true" && idempotent != "false")
        findings.push_back({ "Agatevane-Idempotent", "must be true or false" });
    options.idempotencyKey = http::headerOf(request.headers, "Idempotency-Key");
    if (options.idempotencyKey.size() > maxKeyLength)
        findings.push_back({ "Idempotency-Key", "must have at most 256 bytes" });
    if (!options.isIdempotent && options.idempotencyKey.empty())
        findings.push_back({ "Idempotency-Key", "missing; or send Agatevane-Idempotent: true" });
    return findings;
}

} // namespace agatevane::entry

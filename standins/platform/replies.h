#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/event_http/message.h"
#include <nlohmann/json.hpp>
#include <string>

//! Functions and constants shared by the HTTP interfaces of the platform stand-in.
namespace agatevane::standin {

constexpr int statusNotFound = 404;
//! Time between two looks of a waiting request at its model.
constexpr Millis recheckInterval { 10 };

//! The current time in milliseconds, in the form that the models take.
inline std::int64_t modelMillis()
{
    return elapsed(Instant {}, now()).count();
}

inline event_http::Response reply(int status, const nlohmann::json& body = nlohmann::json::object())
{
    return { status, { { "content-type", "application/json" } }, body.dump() };
}

inline std::string pathOf(const std::string& target)
{
    return target.substr(0, target.find('?'));
}

} // namespace agatevane::standin

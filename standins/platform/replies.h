#pragma once

#include "agatevane/base/instant.h"
#include "agatevane/event_http/message.h"
#include <nlohmann/json.hpp>
#include <string>

//! Pieces that the stand-in's interfaces share.
namespace agatevane::standin {

constexpr int statusNotFound = 404;

//! Time as the models count it.
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

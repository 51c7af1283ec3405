#include "agatevane/admin/access.h"

#include "agatevane/base/token.h"
#include "agatevane/http/problem.h"
#include <nlohmann/json.hpp>

namespace agatevane::admin {

namespace {

    constexpr std::string_view scheme = "Bearer ";

    bool isEqual(const nlohmann::json& before, const nlohmann::json& after, const char* field)
    {
        auto valueOf = [&](const nlohmann::json& entry) {
            return entry.is_object() && entry.contains(field) ? entry[field] : nlohmann::json();
        };
        auto left = valueOf(before);
        auto right = valueOf(after);
        // An absent flag is the same as false.
        if (left.is_null() && right.is_boolean())
            left = false;
        if (right.is_null() && left.is_boolean())
            right = false;
        return left == right;
    }

    //! Fields that only operators change. Partners share one fleet, so none may raise its own share or limit.
    std::vector<const char*> reservedFields(EntryKind kind)
    {
        if (kind == EntryKind::Caller)
            return { "owner", "isOperator", "workspace", "highestClass", "requestsPerSecond" };
        if (kind == EntryKind::Workspace)
            return { "owner", "weight", "guarantees", "quotaAccelerators", "floorShare", "requestsPerSecond" };
        return { "owner" };
    }

} // namespace

std::optional<CallerEntry> authenticate(
    const Functions& functions, const http::Request& request, http::Response& response)
{
    auto header = http::headerOf(request.headers, "Authorization");
    if (header.starts_with(scheme) && header.size() > scheme.size()) {
        if (auto caller = functions.callerByToken(tokenDigestOf(header.substr(scheme.size()))))
            return caller;
    }
    http::Problem problem { .status = 401, .title = "a valid bearer token is required" };
    http::writeProblem(problem, response);
    response.headers.emplace("WWW-Authenticate", "Bearer");
    return std::nullopt;
}

std::string refusal(
    const CallerEntry& caller, EntryKind kind, const nlohmann::json& before, const nlohmann::json& after)
{
    if (caller.isOperator)
        return {};
    if (before.is_null())
        return "only operators create entries";
    auto owner = before.is_object() ? before.find("owner") : before.end();
    bool isOwner = before.is_object() && owner != before.end() && owner->is_string()
        && owner->get_ref<const std::string&>() == caller.id.value && !caller.id.empty();
    if (!isOwner)
        return "the entry belongs to someone else";
    if (after.is_null())
        return {};
    // Otherwise the owner of a caller entry could make it an operator.
    for (const auto* field : reservedFields(kind)) {
        if (!isEqual(before, after, field))
            return "only operators change the field \"" + std::string(field) + "\"";
    }
    return {};
}

} // namespace agatevane::admin

#include "agatevane/admin/access.h"

#include "agatevane/base/token.h"
#include "agatevane/http/problem.h"
#include <nlohmann/json.hpp>

namespace agatevane::admin {

namespace {

    constexpr std::string_view scheme = "Bearer ";

    bool isFieldEqual(const nlohmann::json& before, const nlohmann::json& after, const char* field)
    {
        auto valueOf = [&](const nlohmann::json& entry) {
            return entry.is_object() && entry.contains(field) ? entry[field] : nlohmann::json();
        };
        auto left = valueOf(before);
        auto right = valueOf(after);
        // An absent boolean field has the same meaning as false.
        if (left.is_null() && right.is_boolean())
            left = false;
        if (right.is_null() && left.is_boolean())
            right = false;
        return left == right;
    }

    //! The fields that only operators may change. Partners share one fleet, so no partner may raise its own share or
    //! limit.
    std::vector<const char*> operatorOnlyFields(EntryKind kind)
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
        if (auto caller = functions.findCallerByTokenDigest(tokenDigestOf(header.substr(scheme.size()))))
            return caller;
    }
    http::Problem problem { .status = 401, .title = "a valid bearer token is required" };
    http::writeProblem(problem, response);
    response.headers.emplace("WWW-Authenticate", "Bearer");
    return std::nullopt;
}

std::string reasonForRefusal(
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
    // Without this check, the owner of a caller entry could make the caller an operator.
    for (const auto* field : operatorOnlyFields(kind)) {
        if (!isFieldEqual(before, after, field))
            return "only operators change the field \"" + std::string(field) + "\"";
    }
    return {};
}

} // namespace agatevane::admin

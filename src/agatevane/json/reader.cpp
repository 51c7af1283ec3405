#include "agatevane/json/reader.h"

#include <algorithm>

namespace agatevane::json {

namespace {

    // The destructor and the serializer are recursive, so deeper input could exhaust the stack.
    constexpr int maxDepth = 32;

    std::string truncate(const std::string& text)
    {
        constexpr std::size_t maxBytes = 64;
        return text.size() <= maxBytes ? text : text.substr(0, maxBytes) + "...";
    }

} // namespace

bool parse(std::string_view text, const std::string& place, nlohmann::json& result, Findings& findings)
{
    bool isTooDeep = false;
    auto limitDepth = [&](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
        if (depth > maxDepth)
            isTooDeep = true;
        return !isTooDeep;
    };
    try {
        result = nlohmann::json::parse(text, limitDepth);
    } catch (const nlohmann::json::parse_error& error) {
        findings.push_back({ place, "not valid JSON at byte " + std::to_string(error.byte) });
        return false;
    } catch (const nlohmann::json::exception& error) {
        findings.push_back({ place, std::string("not valid JSON: ") + error.what() });
        return false;
    }
    if (isTooDeep) {
        findings.push_back({ place, "nested deeper than " + std::to_string(maxDepth) + " levels" });
        return false;
    }
    return true;
}

std::string dump(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ObjectReader::ObjectReader(const nlohmann::json& value, std::string place, Findings& findings)
    : value_(value)
    , place_(std::move(place))
    , findings_(findings)
{
    if (!value_.is_object())
        findings_.push_back({ place_.empty() ? "/" : place_, "must be an object" });
}

const nlohmann::json* ObjectReader::member(const char* name)
{
    requestedMembers_.emplace_back(name);
    if (!value_.is_object())
        return nullptr;
    auto found = value_.find(name);
    return found == value_.end() ? nullptr : &*found;
}

void ObjectReader::report(const std::string& name, std::string text)
{
    findings_.push_back({ place_ + "/" + name, std::move(text) });
}

const nlohmann::json* ObjectReader::require(const char* name, Presence presence)
{
    const auto* found = member(name);
    if (!found && presence == Presence::Required && value_.is_object())
        report(name, "missing");
    return found;
}

void ObjectReader::read(const char* name, std::string& target, Presence presence, std::size_t maxLength)
{
    const auto* found = require(name, presence);
    if (!found)
        return;
    if (!found->is_string()) {
        report(name, "must be a string");
        return;
    }
    const auto& text = found->get_ref<const std::string&>();
    if (text.size() > maxLength) {
        report(name, "longer than " + std::to_string(maxLength) + " bytes");
        return;
    }
    target = text;
}

void ObjectReader::read(const char* name, bool& target, Presence presence)
{
    const auto* found = require(name, presence);
    if (!found)
        return;
    if (!found->is_boolean()) {
        report(name, "must be true or false");
        return;
    }
    target = found->get<bool>();
}

void ObjectReader::read(const char* name, std::int64_t& target, Presence presence, std::int64_t low, std::int64_t high)
{
    const auto* found = require(name, presence);
    if (!found)
        return;
    bool isInt64 = found->is_number_integer()
        && !(found->is_number_unsigned()
            && found->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    if (!isInt64) {
        report(name, "must be an integer");
        return;
    }
    auto number = found->get<std::int64_t>();
    if (number < low || number > high) {
        report(name, std::to_string(number) + " is outside " + std::to_string(low) + " to " + std::to_string(high));
        return;
    }
    target = number;
}

void ObjectReader::read(const char* name, std::uint64_t& target, Presence presence)
{
    const auto* found = require(name, presence);
    if (!found)
        return;
    if (!found->is_number_unsigned()) {
        report(name, "must be an integer of at least 0");
        return;
    }
    target = found->get<std::uint64_t>();
}

void ObjectReader::read(const char* name, int& target, Presence presence, int low, int high)
{
    std::int64_t number = target;
    read(name, number, presence, low, high);
    target = static_cast<int>(number);
}

void ObjectReader::read(const char* name, double& target, Presence presence, double low, double high)
{
    const auto* found = require(name, presence);
    if (!found)
        return;
    if (!found->is_number()) {
        report(name, "must be a number");
        return;
    }
    auto number = found->get<double>();
    if (number < low || number > high) {
        report(name, std::to_string(number) + " is outside " + std::to_string(low) + " to " + std::to_string(high));
        return;
    }
    target = number;
}

const nlohmann::json* ObjectReader::arrayMember(const char* name, Presence presence, std::size_t maxLength)
{
    const auto* found = require(name, presence);
    if (!found)
        return nullptr;
    if (!found->is_array()) {
        report(name, "must be an array");
        return nullptr;
    }
    if (found->size() > maxLength) {
        report(name, "has more than " + std::to_string(maxLength) + " elements");
        return nullptr;
    }
    return found;
}

void ObjectReader::finish()
{
    if (!value_.is_object())
        return;
    for (const auto& [name, member] : value_.items()) {
        if (std::find(requestedMembers_.begin(), requestedMembers_.end(), name) == requestedMembers_.end())
            report(truncate(name), "unknown field");
    }
}

} // namespace agatevane::json

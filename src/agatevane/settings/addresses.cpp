#include "agatevane/settings/addresses.h"

#include <algorithm>

namespace agatevane::settings {

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        auto comma = text.find(',');
        auto part = text.substr(0, comma);
        text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
        auto first = part.find_first_not_of(' ');
        if (first == std::string_view::npos)
            continue;
        parts.emplace_back(part.substr(first, part.find_last_not_of(' ') - first + 1));
    }
    return parts;
}

std::string readNamedAddresses(std::string_view text, std::vector<NamedAddress>& result)
{
    std::vector<NamedAddress> parsed;
    for (const auto& part : splitList(text)) {
        auto equals = part.find('=');
        if (equals == std::string::npos || equals == 0)
            return "\"" + part + "\" is not name=ip:port";
        NamedAddress named { part.substr(0, equals), {} };
        if (auto fault = net::readAddress(part.substr(equals + 1), named.address); !fault.empty())
            return fault;
        if (std::ranges::any_of(parsed, [&](const auto& other) { return other.name == named.name; }))
            return "the name \"" + named.name + "\" is listed twice";
        parsed.push_back(std::move(named));
    }
    result = std::move(parsed);
    return {};
}

std::string readEndpoint(std::string_view text, http::Endpoint& result)
{
    http::Endpoint parsed;
    if (!http::parseEndpoint(text, parsed))
        return "\"" + std::string(text) + "\" is neither ip:port nor https://ip:port";
    net::PeerAddress address;
    if (auto fault = net::readAddress(parsed.address + ":" + std::to_string(parsed.port), address); !fault.empty())
        return fault;
    parsed.caFile = result.caFile;
    result = std::move(parsed);
    return {};
}

std::string readEndpoints(std::string_view text, std::vector<http::Endpoint>& result)
{
    std::vector<http::Endpoint> parsed;
    for (const auto& part : splitList(text)) {
        if (auto fault = readEndpoint(part, parsed.emplace_back()); !fault.empty())
            return fault;
    }
    result = std::move(parsed);
    return {};
}

} // namespace agatevane::settings

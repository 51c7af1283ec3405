#include "agatevane/net/peer_address.h"

#include <asio/ip/address.hpp>
#include <charconv>

namespace agatevane::net {

std::string readAddress(std::string_view text, PeerAddress& result)
{
    std::string quoted;
    quoted.append(1, '"').append(text).append(1, '"');
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return quoted + " is not ip:port";
    auto digits = text.substr(colon + 1);
    PeerAddress parsed;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port);
    if (error != std::errc() || end != digits.data() + digits.size() || parsed.port < 0 || parsed.port > 65535)
        return quoted + " has no port from 0 to 65535";
    auto host = text.substr(0, colon);
    bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    std::error_code notAnAddress;
    auto ip = asio::ip::make_address(std::string(host), notAnAddress);
    if (notAnAddress || ip.is_v6() != isBracketed)
        return quoted + " does not start with an IP number";
    parsed.address = std::string(host);
    result = std::move(parsed);
    return {};
}

std::string toString(const PeerAddress& address)
{
    bool isV6 = address.address.find(':') != std::string::npos;
    return (isV6 ? "[" + address.address + "]" : address.address) + ":" + std::to_string(address.port);
}

} // namespace agatevane::net

#pragma once

#include "agatevane/http/client.h"
#include "agatevane/net/peer_address.h"
#include <string>
#include <string_view>
#include <vector>

namespace agatevane::settings {

//! One element of a "name=ip:port" list.
struct NamedAddress {
    std::string name;
    net::PeerAddress address;

    bool operator==(const NamedAddress&) const = default;
};

//! Each reader returns what is wrong with `text`, or an empty string, as net::readAddress does.
std::string readNamedAddresses(std::string_view text, std::vector<NamedAddress>& result);
std::string readEndpoint(std::string_view text, http::Endpoint& result);
std::string readEndpoints(std::string_view text, std::vector<http::Endpoint>& result);

//! The parts of a comma-separated list without surrounding spaces; empty parts are left out.
std::vector<std::string> splitList(std::string_view text);

} // namespace agatevane::settings

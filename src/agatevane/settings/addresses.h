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

//! Each of these functions reads `text` into `result`. It returns a description of the fault in `text`, or an empty
//! string, as net::readAddress does. After a fault, `result` is unchanged.
std::string readNamedAddresses(std::string_view text, std::vector<NamedAddress>& result);
std::string readEndpoint(std::string_view text, http::Endpoint& result);
std::string readEndpoints(std::string_view text, std::vector<http::Endpoint>& result);

//! The parts of a comma-separated list without surrounding spaces. Empty parts are left out.
std::vector<std::string> splitList(std::string_view text);

} // namespace agatevane::settings

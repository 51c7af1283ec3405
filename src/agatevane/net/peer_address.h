#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace agatevane::net {

//! Address of a peer; `address` is an IP address without brackets.
struct PeerAddress {
    std::string address;
    int port = 0;

    // clang-tidy 14 takes the literal zero of a rewritten comparison for a null pointer.
    auto operator<=>(const PeerAddress&) const = default; // NOLINT(modernize-use-nullptr)
};

//! Reads "ip:port". Returns what is wrong with `text`, or an empty string. Host names are refused, since VMs have no
//! name service; IPv6 addresses are written in brackets. Port 0 means any free port.
std::string readAddress(std::string_view text, PeerAddress& result);
//! "ip:port", for logs and pages.
std::string toString(const PeerAddress& address);

} // namespace agatevane::net

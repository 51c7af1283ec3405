#pragma once

#include "agatevane/base/instant.h"
#include <string>
#include <string_view>
#include <utility>
#include <vector>

//! HTTP/1.1 client and server on one Asio event loop, for programs on small entry VMs, where one thread per connection
//! costs too much.
namespace agatevane::event_http {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
    std::string method;
    std::string target; //!< path and query
    Headers headers; //!< names in lower case
    std::string body;
    //! For how long the server had left it unread or queued when it was handed to the handler. What waits in the kernel
    //! while the event loop stands still is not counted.
    Instant::duration waited { 0 };
};

struct Response {
    int status = 0;
    Headers headers; //!< names in lower case when received
    std::string body;
};

//! The value of the header `name` (lower case); empty if it is missing.
std::string_view headerOf(const Headers& headers, std::string_view name);

} // namespace agatevane::event_http

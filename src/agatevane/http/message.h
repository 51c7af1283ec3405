#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace agatevane::http {

struct CaseInsensitiveLess {
    bool operator()(std::string_view a, std::string_view b) const;
};

using Headers = std::multimap<std::string, std::string, CaseInsensitiveLess>;

//! A request as passed to a handler. `matches[0]` is the whole path, the rest are the groups of the route's pattern.
struct Request {
    std::string method;
    std::string path;
    std::vector<std::string> matches;
    std::multimap<std::string, std::string> parameters;
    Headers headers;
    std::string body;
    std::string remoteAddress;
};

struct Response {
    int status = 200;
    Headers headers;
    std::string contentType = "application/json";
    std::string body;
};

//! The first value of a header; empty if it is absent.
std::string headerOf(const Headers& headers, const std::string& name);

//! The first value of a query parameter; empty if it is absent.
std::string parameterOf(const Request& request, const std::string& name);

} // namespace agatevane::http

#include "entry/identity.h"

#include "agatevane/base/token.h"
#include "agatevane/http/problem.h"
#include <algorithm>

namespace agatevane::entry {

std::optional<CallerEntry> authenticate(
    const http::Request& request, const CatalogueSnapshot& catalogue, http::Response& response)
{
    constexpr std::string_view scheme = "Bearer ";
    auto header = http::headerOf(request.headers, "Authorization");
    if (header.starts_with(scheme)) {
        auto found = catalogue.callersByTokenDigest.find(tokenDigestOf(std::string_view(header).substr(scheme.size())));
        if (found != catalogue.callersByTokenDigest.end())
            return *found->second;
    }
    http::Problem problem { .status = 401, .title = "unknown bearer token" };
    problem.outcome = Outcome::NotRun;
    http::writeProblem(problem, response);
    response.headers.emplace("WWW-Authenticate", "Bearer");
    return std::nullopt;
}

WorkClass limitClass(WorkClass requested, WorkClass highest)
{
    return std::max(requested, highest);
}

} // namespace agatevane::entry

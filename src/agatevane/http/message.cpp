#include "agatevane/http/message.h"

#include <algorithm>
#include <cctype>

namespace agatevane::http {

bool CaseInsensitiveLess::operator()(std::string_view a, std::string_view b) const
{
    return std::lexicographical_compare(a.begin(), a.end(), b.begin(), b.end(),
        [](unsigned char x, unsigned char y) { return std::tolower(x) < std::tolower(y); });
}

std::string headerOf(const Headers& headers, const std::string& name)
{
    auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string parameterOf(const Request& request, const std::string& name)
{
    auto found = request.parameters.find(name);
    return found == request.parameters.end() ? std::string() : found->second;
}

} // namespace agatevane::http

#include "agatevane/catalogue_writer/change_log.h"

#include "agatevane/json/reader.h"
#include <algorithm>

namespace agatevane {

std::string encodeChangeLog(const ChangeLog& log)
{
    return json::dump({ { "count", log.count }, { "tokens", log.tokens } });
}

std::optional<ChangeLog> decodeChangeLog(const std::string& text)
{
    Findings findings;
    nlohmann::json value;
    ChangeLog log;
    if (!json::parse(text, "log", value, findings))
        return std::nullopt;
    json::ObjectReader reader(value, "", findings);
    reader.read("count", log.count);
    reader.readArray("tokens", [&](const nlohmann::json& token, const std::string& place) {
        if (token.is_string())
            log.tokens.push_back(token.get<std::string>());
        else
            findings.push_back({ place, "must be a string" });
    });
    return findings.empty() ? std::optional(std::move(log)) : std::nullopt;
}

ChangeLog withChange(const ChangeLog& log, const std::string& token)
{
    ChangeLog next { log.count + 1, { token } };
    next.tokens.insert(next.tokens.end(), log.tokens.begin(), log.tokens.end());
    if (next.tokens.size() > maxLoggedTokens)
        next.tokens.resize(maxLoggedTokens);
    return next;
}

ChangeOutcome changeOutcomeOf(const ChangeLog& log, const std::string& token, std::int64_t countBefore)
{
    if (std::find(log.tokens.begin(), log.tokens.end(), token) != log.tokens.end())
        return ChangeOutcome::Applied;
    bool mayBeDropped = log.count - countBefore > static_cast<std::int64_t>(maxLoggedTokens);
    return mayBeDropped ? ChangeOutcome::Unknown : ChangeOutcome::NotApplied;
}

} // namespace agatevane

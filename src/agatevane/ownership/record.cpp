#include "agatevane/base/hash.h"
#include "agatevane/json/reader.h"
#include "agatevane/ownership/ownership.h"
#include <algorithm>

namespace agatevane::ownership {

std::string encode(const OwnerRecord& record)
{
    auto standbys = nlohmann::json::array();
    for (const auto& standby : record.standbys)
        standbys.push_back(standby.value);
    return json::dump({ { "epoch", record.epoch }, { "owner", record.owner.value }, { "standbys", standbys },
        { "token", record.token } });
}

std::optional<OwnerRecord> decodeOwnerRecord(const std::string& text)
{
    Findings findings;
    nlohmann::json value;
    if (!json::parse(text, "owner record", value, findings))
        return std::nullopt;
    OwnerRecord record;
    json::ObjectReader reader(value, "", findings);
    reader.read("epoch", record.epoch);
    reader.read("owner", record.owner);
    reader.read("token", record.token);
    reader.readArray(
        "standbys",
        [&](const nlohmann::json& element, const std::string& place) {
            if (element.is_string())
                record.standbys.push_back({ element.get<std::string>() });
            else
                findings.push_back({ place, "must be a string" });
        },
        json::Presence::Required, epochsPerBlock - 1);
    if (!findings.empty())
        return std::nullopt;
    return record;
}

std::string recordKey(const DataCentreId& dataCentre)
{
    return "/agatevane/owners/" + dataCentre.value;
}

int preferenceRank(const State& state, const MemberId& member)
{
    // The regions of other schedulers are learned from the VM list some time after the start. Candidates of unknown
    // region rank before those of other regions, so that until then a scheduler of another region does not take the
    // data centre at once.
    auto distance = [&](const Candidate& candidate) {
        return candidate.region == state.region ? 0 : candidate.region.empty() ? 1 : 2;
    };
    auto rank = [&](const Candidate& candidate) {
        return std::make_tuple(
            distance(candidate), hash64(state.dataCentre.value + "/" + candidate.member.value), candidate.member.value);
    };
    auto self = std::find_if(state.candidates.begin(), state.candidates.end(),
        [&](const Candidate& candidate) { return candidate.member == member; });
    if (self == state.candidates.end())
        return static_cast<int>(state.candidates.size());
    return static_cast<int>(std::count_if(state.candidates.begin(), state.candidates.end(),
        [&](const Candidate& candidate) { return rank(candidate) < rank(*self); }));
}

} // namespace agatevane::ownership

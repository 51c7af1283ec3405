#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/finding.h"
#include "agatevane/base/id.h"
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

//! Reads untrusted JSON field by field. Collects a finding with a JSON pointer for each error instead of stopping at
//! the first one.
namespace agatevane::json {

//! Whether a field may be absent. The target of an absent field keeps its value.
enum class Presence { Required, Optional };

//! Parses `text`. Returns false after an error and adds a finding at `place`, for a syntax error with its byte offset.
bool parse(std::string_view text, const std::string& place, nlohmann::json& result, Findings& findings);

//! Serializes `value`. Replaces invalid UTF-8, for which the library would throw.
std::string dump(const nlohmann::json& value);

//! Reads the members of one JSON object. Unknown members are reported by `finish`.
class ObjectReader {
public:
    //! `place` is the JSON pointer of the object, such as "/tasks/3"; all findings begin with it.
    ObjectReader(const nlohmann::json& value, std::string place, Findings& findings);

    void read(
        const char* name, std::string& target, Presence presence = Presence::Required, std::size_t maxLength = 65536);
    void read(const char* name, bool& target, Presence presence = Presence::Required);
    void read(const char* name, std::int64_t& target, Presence presence = Presence::Required,
        std::int64_t low = std::numeric_limits<std::int64_t>::min(),
        std::int64_t high = std::numeric_limits<std::int64_t>::max());
    void read(const char* name, std::uint64_t& target, Presence presence = Presence::Required);
    void read(const char* name, int& target, Presence presence = Presence::Required,
        int low = std::numeric_limits<int>::min(), int high = std::numeric_limits<int>::max());
    void read(const char* name, double& target, Presence presence = Presence::Required,
        double low = std::numeric_limits<double>::lowest(), double high = std::numeric_limits<double>::max());

    template <typename Tag>
    void read(const char* name, Id<Tag>& target, Presence presence = Presence::Required, std::size_t maxLength = 256)
    {
        read(name, target.value, presence, maxLength);
    }

    //! Reads an enumerator by its name in `EnumNames<E>`.
    template <typename E>
    requires std::is_enum_v<E>
    void read(const char* name, E& target, Presence presence = Presence::Required)
    {
        std::string text;
        auto findingsBefore = findings_.size();
        if (!member(name) && presence == Presence::Optional)
            return;
        read(name, text, presence);
        if (findings_.size() != findingsBefore)
            return;
        if (auto value = fromName<E>(text)) {
            target = *value;
            return;
        }
        std::string names;
        for (const auto& entry : EnumNames<E>::table)
            names += (names.empty() ? "" : ", ") + std::string(entry.second);
        report(name, "\"" + text + "\" is not one of: " + names);
    }

    //! Calls `readElement(element, place)` for each element of an array of at most `maxLength`.
    template <typename Function>
    void readArray(
        const char* name, Function readElement, Presence presence = Presence::Required, std::size_t maxLength = 10000)
    {
        const auto* array = arrayMember(name, presence, maxLength);
        if (!array)
            return;
        for (std::size_t i = 0; i < array->size(); ++i)
            readElement((*array)[i], place_ + "/" + name + "/" + std::to_string(i));
    }

    //! Returns the member `name`, or null if it is absent. `finish` does not report it as unknown.
    const nlohmann::json* member(const char* name);

    void report(const std::string& name, std::string text);

    //! Reports every member that was never asked for, so that a misspelt optional field is not ignored silently.
    void finish();

private:
    const nlohmann::json* arrayMember(const char* name, Presence presence, std::size_t maxLength);
    const nlohmann::json* require(const char* name, Presence presence);

    const nlohmann::json& value_;
    std::string place_;
    Findings& findings_;
    std::vector<std::string> requestedMembers_;
};

} // namespace agatevane::json

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatevane {

//! The record that every change of the catalogue writes in the same transaction. Comparing its revision makes changes
//! of different entries exclude each other, since together they could break a guarantee that each of them keeps; its
//! tokens tell whether a change whose answer was lost took effect.
struct ChangeLog {
    std::int64_t count = 0; //!< changes ever made
    std::vector<std::string> tokens; //!< of the last changes, newest first
};

constexpr std::string_view changeLogKey = "/agatevane/catalogue_changes";
constexpr std::size_t maxLoggedTokens = 64;

std::string encodeChangeLog(const ChangeLog& log);
std::optional<ChangeLog> decodeChangeLog(const std::string& text);

ChangeLog withChange(const ChangeLog& log, const std::string& token);

enum class ChangeFate { Applied, NotApplied, Unknown };

//! Whether the change with `token`, written when the log had `countBefore` changes, is among those of the log.
ChangeFate fateOf(const ChangeLog& log, const std::string& token, std::int64_t countBefore);

} // namespace agatevane

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace agatevane {

//! A record in the store that every change of the catalogue writes in the same transaction as the entry. Each
//! transaction compares the revision of the record, so that concurrent changes of different entries exclude each other:
//! two changes that are valid one by one could exceed a guarantee together. The tokens show whether a change whose
//! answer was lost took effect.
struct ChangeLog {
    std::int64_t count = 0; //!< number of changes made since the log was created
    std::vector<std::string> tokens; //!< tokens of the last changes, newest first
};

constexpr std::string_view changeLogKey = "/agatevane/catalogue_changes";
constexpr std::size_t maxLoggedTokens = 64; //!< older tokens are dropped from the log

std::string encodeChangeLog(const ChangeLog& log);
//! Returns no value if `text` is not a valid log.
std::optional<ChangeLog> decodeChangeLog(const std::string& text);

//! A copy of `log` with one more change.
ChangeLog withChange(const ChangeLog& log, const std::string& token);

enum class ChangeOutcome {
    Applied,
    NotApplied,
    Unknown //!< the token may have been dropped from the log
};

//! Whether the log contains the change with `token`, which was written when the count of the log was `countBefore`.
ChangeOutcome changeOutcomeOf(const ChangeLog& log, const std::string& token, std::int64_t countBefore);

} // namespace agatevane

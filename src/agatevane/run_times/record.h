#pragma once

#include "agatevane/run_times/model.h"
#include <string>
#include <string_view>

namespace agatevane::run_times {

constexpr std::size_t maxRecordBytes = 16384;

//! The model as a record for a later process. Groups that don't fit are left out, those with the least samples first.
std::string encodeModel(const Model& model);
//! Nothing if the record is damaged, too large or of another version. Its samples count as if they were new at `at`,
//! but for no more than a few new ones.
std::optional<Model> decodeModel(std::string_view record, Instant at);

} // namespace agatevane::run_times

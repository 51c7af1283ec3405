#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/job.h"
#include <optional>
#include <string>
#include <vector>

//! Records of the journal: acceptance and outcome of the jobs of one data centre.
namespace agatevane::journal {

enum class RecordKind { Accepted, Finished, Cancelled, Failed, Impossible };

struct Record {
    RecordKind kind = RecordKind::Accepted;
    JobSpec spec; //!< complete in an Accepted record; other kinds carry only its id
    AttemptId attempt; //!< in a Finished record, the one attempt whose result counts
    std::string reason; //!< set in Failed and Impossible records

    bool operator==(const Record&) const = default;
};

struct Batch {
    //! Unique for each batch, so that reading the key shows whether a write without an answer took effect.
    std::string token;
    std::vector<Record> records;
};

//! Limit of an encoded batch. It keeps values below the store's limit of 1 MB, with room for the key, the base64
//! encoding and the transaction.
constexpr std::size_t maxBatchBytes = std::size_t { 512 } * 1024;
//! Limit of a job's payload: an Accepted record must fit into a batch together with its other fields.
constexpr std::size_t maxPayloadBytes = std::size_t { 256 } * 1024;

std::string encode(const Record& record);
//! Encodes a batch. `records` are the results of `encode`.
std::string encodeBatch(const std::string& token, const std::vector<std::string>& records);
//! Returns nothing if the text is not a valid batch.
std::optional<Batch> decodeBatch(const std::string& text);

//! State of a job whose outcome has this kind; Queued for Accepted, which is not an outcome.
JobState finalState(RecordKind kind);

} // namespace agatevane::journal

template <> struct agatevane::EnumNames<agatevane::journal::RecordKind> {
    using Kind = agatevane::journal::RecordKind;
    static constexpr std::array<std::pair<Kind, std::string_view>, 5> table { {
        { Kind::Accepted, "accepted" },
        { Kind::Finished, "finished" },
        { Kind::Cancelled, "cancelled" },
        { Kind::Failed, "failed" },
        { Kind::Impossible, "impossible" },
    } };
};

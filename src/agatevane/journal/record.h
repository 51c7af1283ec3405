#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/job.h"
#include <optional>
#include <string>
#include <vector>

//! The durable facts about the jobs of one data centre.
namespace agatevane::journal {

enum class RecordKind { Accepted, Finished, Cancelled, Failed, Impossible };

struct Record {
    RecordKind kind = RecordKind::Accepted;
    JobSpec spec; //!< of Accepted; other kinds carry only its id
    AttemptId attempt; //!< of Finished: the one attempt that counts
    std::string reason; //!< of Failed and Impossible

    bool operator==(const Record&) const = default;
};

struct Batch {
    std::string token; //!< unique for each batch, so that a lost answer can be resolved by reading the key
    std::vector<Record> records;
};

//! Values stay below the store's 1 MB and leave room for the key, the base64 form and the transaction.
constexpr std::size_t maxBatchBytes = std::size_t { 512 } * 1024;
//! A record must fit into a batch together with its other fields.
constexpr std::size_t maxPayloadBytes = std::size_t { 256 } * 1024;

std::string encode(const Record& record);
//! `records` are encoded records.
std::string encodeBatch(const std::string& token, const std::vector<std::string>& records);
std::optional<Batch> decodeBatch(const std::string& text);

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

#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/id.h"
#include <cstdint>
#include <optional>
#include <string>

namespace agatevane {

//! State of the latest attempt of a non-idempotent request, as its record states it.
enum class ClaimState {
    Claimed, //!< the attempt may have been sent, and may be running or have run
    Done, //!< the attempt ran; the record holds the answer, or only its length and digest
    NotRun //!< the attempt never ran and never will; a new attempt may be claimed
};

template <> struct EnumNames<ClaimState> {
    static constexpr std::array<std::pair<ClaimState, std::string_view>, 3> table { {
        { ClaimState::Claimed, "claimed" },
        { ClaimState::Done, "done" },
        { ClaimState::NotRun, "not_run" },
    } };
};

//! The worker to which an attempt is addressed.
struct ClaimWorker {
    WorkerId id;
    std::string address;
    std::string instance; //!< changes when the worker restarts, which loses its knowledge of earlier attempts

    bool operator==(const ClaimWorker&) const = default;
};

//! The answer of a completed attempt.
struct ClaimAnswer {
    int status = 0;
    std::string contentType;
    std::uint64_t length = 0; //!< bytes of the complete body
    std::string digest; //!< result of digestOf for the complete body
    bool hasBody = true; //!< false if the body exceeds `maxRecordedBodyBytes`; the worker still holds it then
    std::string body;

    bool operator==(const ClaimAnswer&) const = default;
};

//! The record of one idempotency key of one workspace.
struct Claim {
    std::string key; //!< idempotency key as the caller sent it
    std::string requestDigest; //!< covers service and body; a different request under the same key is refused
    std::string token; //!< unique for each write, so that a writer that got no answer can recognise its own write
    AttemptId attempt;
    ClaimWorker worker;
    ClaimState state = ClaimState::Claimed;
    ClaimAnswer answer; //!< set if `state` is Done

    bool operator==(const Claim&) const = default;
};

//! Largest answer body kept in a record, in bytes. The store limits values to 1 MB, and several records share a
//! transaction.
constexpr std::size_t maxRecordedBodyBytes = 512 << 10;
constexpr std::size_t maxIdempotencyKey = 256; //!< bytes

//! Key of the record in the store, "/agatevane/claims/<workspace>/<digest>". Two idempotency keys may in theory share a
//! digest, so the record holds the idempotency key itself.
std::string claimStoreKey(const WorkspaceId& workspace, const std::string& idempotencyKey);

//! Digest of service and body, which detects that an idempotency key is used for a different request.
std::string requestDigestOf(const ServiceId& service, const std::string& body);

//! Keeps the body in the answer. `hasBody` is false if the body exceeds `maxRecordedBodyBytes`; a record then omits it.
ClaimAnswer makeClaimAnswer(int status, std::string contentType, std::string body);

//! Whether the body matches the recorded length and digest, that is, is neither truncated nor corrupted.
bool isBodyIntact(const ClaimAnswer& answer);

//! Encodes a claim as one line of JSON, followed by the raw bytes of the body, since a body need not be valid UTF-8.
std::string encodeClaim(const Claim& claim);
//! Returns nothing if the text is not a valid claim or its body does not match the recorded length and digest.
std::optional<Claim> decodeClaim(const std::string& text);

} // namespace agatevane

#pragma once

#include "agatevane/base/enum_names.h"
#include "agatevane/base/id.h"
#include <cstdint>
#include <optional>
#include <string>

namespace agatevane {

//! What the record of a non-idempotent request says about its latest attempt.
enum class ClaimState {
    Claimed, //!< may have been sent, may run, may have run
    Done, //!< ran; the answer is in the record
    NotRun //!< never ran and never will; a new attempt may be claimed
};

template <> struct EnumNames<ClaimState> {
    static constexpr std::array<std::pair<ClaimState, std::string_view>, 3> table { {
        { ClaimState::Claimed, "claimed" },
        { ClaimState::Done, "done" },
        { ClaimState::NotRun, "not_run" },
    } };
};

//! The worker that an attempt was meant for.
struct ClaimWorker {
    WorkerId id;
    std::string address;
    std::string instance; //!< after a restart the worker knows nothing of earlier attempts

    bool operator==(const ClaimWorker&) const = default;
};

struct ClaimAnswer {
    int status = 0;
    std::string contentType;
    std::uint64_t length = 0; //!< of the whole body
    std::string digest; //!< digestOf the whole body
    bool hasBody = true; //!< false: too large for the record; the worker still has it
    std::string body;

    bool operator==(const ClaimAnswer&) const = default;
};

//! The record of one idempotency key of one workspace.
struct Claim {
    std::string key; //!< as the caller sent it
    std::string requestDigest; //!< of service and body; another request under the same key is refused
    std::string token; //!< unique for each write, so that a writer whose answer was lost recognises its own
    AttemptId attempt;
    ClaimWorker worker;
    ClaimState state = ClaimState::Claimed;
    ClaimAnswer answer; //!< if done

    bool operator==(const Claim&) const = default;
};

//! Longest body kept in a record. The store limits values to 1 MB, and several records share a transaction.
constexpr std::size_t maxRecordedBody = 512 << 10;
constexpr std::size_t maxIdempotencyKey = 256;

//! Under "/agatevane/claims/<workspace>/". Two different keys may in theory share it; the record holds the key itself.
std::string claimStoreKey(const WorkspaceId& workspace, const std::string& idempotencyKey);

std::string requestDigestOf(const ServiceId& service, const std::string& body);

//! The body is kept only up to `maxRecordedBody`.
ClaimAnswer makeClaimAnswer(int status, std::string contentType, std::string body);

//! Whether the body is the one that length and digest describe.
bool isBodyIntact(const ClaimAnswer& answer);

//! One line of JSON and then the body as it is, since a body need not be valid UTF-8.
std::string encodeClaim(const Claim& claim);
//! Nothing if the text is not a claim or its body is not whole.
std::optional<Claim> decodeClaim(const std::string& text);

} // namespace agatevane

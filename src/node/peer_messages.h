#pragma once

#include "agatevane/desired_state/desired_state.h"
#include "node/ports.h"
#include "node/records.h"
#include <cstdint>
#include <string>
#include <vector>

//! Messages between nodes.
namespace agatevane::node {

//! Number 4 was a message of earlier builds. A node that doesn't know a message answers with nothing.
enum class PeerMessage : std::uint16_t { Pull = 1, Call = 2, Page = 3, StatePart = 5, Submission = 6 };

//! Asks another node for a newer owner, the revision of its desired state and its peers, and carries the sender's own
//! knowledge. A larger desired state is asked for in parts, see StatePartRequest.
struct PullRequest {
    std::string name;
    net::PeerAddress address;
    OwnerView owner;
    kv::Revision desiredRevision = 0;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(name, address.address, address.port, owner, desiredRevision);
    }
};

//! A node and the address at which other nodes reach it.
struct PeerEntry {
    std::string name;
    net::PeerAddress address;

    template <typename Archive> void serialize(Archive& archive) { archive(name, address.address, address.port); }
};

struct PullReply {
    OwnerView owner;
    bool isServingOwner = false; //!< the answering node owns the fleet and has loaded it
    kv::Revision desiredRevision = 0;
    std::string desiredState; //!< encoded desired state; empty unless it is small and newer than the requester's
    std::vector<PeerEntry> peers;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(owner, isServingOwner, desiredRevision, desiredState, peers);
    }
};

//! Asks the owner of the fleet for the operator page at `path`.
struct PageRequest {
    std::string path;

    template <typename Archive> void serialize(Archive& archive) { archive(path); }
};

struct PageReply {
    bool isOwner = false;
    bool isFound = false;
    std::string body;

    template <typename Archive> void serialize(Archive& archive) { archive(isOwner, isFound, body); }
};

//! A caller's request that another node forwards to the owner of the fleet.
struct ForwardedCall {
    CallKind kind = CallKind::QueryState;
    fleet::JobId job;
    fleet::JobSpec spec;
    desired_state::Queue queue; //!< from the sender's desired state; the owner may not have received this version yet
    std::string tenant;
    std::int64_t timeoutMs = 0; //!< remaining time in which the caller waits for the answer

    template <typename Archive> void serialize(Archive& archive)
    {
        auto baseMs = static_cast<std::int64_t>(queue.objectiveBase.count());
        archive(kind, job, spec, tenant, timeoutMs);
        archive(queue.name, queue.host, queue.prefix, queue.service, queue.priority, queue.maxAttempts,
            queue.objectiveFactor, queue.allowsAnonymous, queue.needsTickets, baseMs);
        queue.objectiveBase = Millis(baseMs);
    }
};

//! A time on the clock of an owner. Other nodes only hand it back to that owner.
struct OwnerTime {
    std::uint32_t tenure = 0; //!< 0: none
    std::int64_t bootNs = 0; //!< nanoseconds on the owner's clock of bootNow()

    template <typename Archive> void serialize(Archive& archive) { archive(tenure, bootNs); }
};

//! A submission with what bounds its age from above, however long the message is on its way. An owner of an earlier
//! build does not know this message; the submission is then sent as a ForwardedCall.
struct ForwardedSubmission {
    ForwardedCall call;
    std::int64_t heldMs = 0; //!< the sender has held the submission for at most this long
    OwnerTime askedAt; //!< from the SubmissionAnswer that has made the sender send the submission again

    template <typename Archive> void serialize(Archive& archive) { archive(call, heldMs, askedAt); }
};

struct ForwardedAnswer {
    CallStatus status = CallStatus::OutcomeUnknown;
    std::int32_t state = -1; //!< a fleet::VisibleState; -1: none
    std::int64_t waitingJobs = -1; //!< number of waiting jobs of the queue; -1: none
    std::string reason;

    template <typename Archive> void serialize(Archive& archive) { archive(status, state, waitingJobs, reason); }
};

//! Answers a ForwardedSubmission. With `askedAt`, the owner has not decided, because the submission may be older than
//! an answer that it has given about the job. A sender that still holds the submission sends it again with that time.
struct SubmissionAnswer {
    ForwardedAnswer answer;
    OwnerTime askedAt;

    template <typename Archive> void serialize(Archive& archive) { archive(answer, askedAt); }
};

ForwardedAnswer toForwardedAnswer(const CallerAnswer& answer);
CallerAnswer toCallerAnswer(const ForwardedAnswer& answer);

} // namespace agatevane::node

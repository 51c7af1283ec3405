#pragma once

#include "agatevane/desired_state/desired_state.h"
#include "node/ports.h"
#include "node/records.h"
#include <cstdint>
#include <string>
#include <vector>

//! What nodes tell each other.
namespace agatevane::node {

enum class PeerMessage : std::uint16_t { Pull = 1, Call = 2, Page = 3 };

//! Asks for news and tells what the sender has.
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

struct PeerEntry {
    std::string name;
    net::PeerAddress address;

    template <typename Archive> void serialize(Archive& archive) { archive(name, address.address, address.port); }
};

struct PullReply {
    OwnerView owner;
    bool isServingOwner = false; //!< the answering node owns the fleet and has loaded it
    kv::Revision desiredRevision = 0;
    std::string desiredState; //!< the item's bytes if the asker's are older
    std::vector<PeerEntry> peers;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(owner, isServingOwner, desiredRevision, desiredState, peers);
    }
};

//! Asks the owner of the fleet for a page for operators.
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

//! A caller's request on its way to the owner of the fleet.
struct ForwardedCall {
    CallKind kind = CallKind::QueryState;
    fleet::JobId job;
    fleet::JobSpec spec;
    desired_state::Queue queue; //!< as the sender knows it; the owner may not have it yet
    std::string tenant;
    std::int64_t patienceMs = 0; //!< the caller waits that much longer

    template <typename Archive> void serialize(Archive& archive)
    {
        auto baseMs = static_cast<std::int64_t>(queue.objectiveBase.count());
        archive(kind, job, spec, tenant, patienceMs);
        archive(queue.name, queue.host, queue.prefix, queue.service, queue.priority, queue.maxAttempts,
            queue.objectiveFactor, queue.allowsAnonymous, queue.needsTickets, baseMs);
        queue.objectiveBase = Millis(baseMs);
    }
};

struct ForwardedAnswer {
    CallStatus status = CallStatus::OutcomeUnknown;
    std::int32_t state = -1; //!< -1: none
    std::int64_t waiting = -1; //!< -1: none
    std::string reason;

    template <typename Archive> void serialize(Archive& archive) { archive(status, state, waiting, reason); }
};

ForwardedAnswer encodeForwarded(const CallerAnswer& answer);
CallerAnswer decodeForwarded(const ForwardedAnswer& answer);

} // namespace agatevane::node
